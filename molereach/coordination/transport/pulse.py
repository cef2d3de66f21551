"""Whether a link lives, by beats that its owner counts. A core.

Each side says on a beat how many messages it has taken in, if that is news. So who has said something hears
of it within two beats of a peer that reads. Nothing at all heard for some beats while something is
unacknowledged: the peer is gone or the way is half open. Something heard, but nothing acknowledged and no
byte of what waits in our buffer taken: it does not read. Beats are counted, not time: a process that was
stopped for a minute has missed one beat, and hears first what came meanwhile.
"""

from enum import Enum


class Verdict(Enum):
    """What a beat found; the text is the reason for which a link ends."""

    LIVES = "lives"
    SILENT = "nothing heard while something was unacknowledged"
    STALLED = "it does not read what it is sent"
    IDLE = "nothing to say"


class Pulse:
    """One link's. Figures are in beats."""

    __slots__ = (
        "acked",
        "drained",
        "fresh",
        "heard",
        "idle",
        "most_idle",
        "most_silent",
        "most_stalled",
        "quiet",
        "sent",
        "silent",
        "stalled",
        "told",
    )

    def __init__(self, most_silent: int, most_stalled: int, most_idle: int) -> None:
        self.most_silent, self.most_stalled, self.most_idle = most_silent, most_stalled, most_idle
        self.sent = self.acked = self.heard = self.told = 0  # messages
        self.fresh = self.quiet = True  # any bytes came since the last beat; no message went or came
        self.silent = self.stalled = self.idle = 0  # for how many beats
        self.drained = 0  # bytes that had left our buffer by the last beat

    def on_bytes(self) -> None:
        self.fresh = True

    def on_sent(self) -> None:
        self.sent, self.quiet = self.sent + 1, False

    def on_heard(self) -> None:
        self.heard, self.quiet = self.heard + 1, False

    def on_ack(self, heard: int) -> None:
        """ValueError for what was never sent, or was acknowledged before."""
        if not self.acked <= heard <= self.sent:
            raise ValueError(f"{heard} messages acknowledged; {self.acked} to {self.sent} can be")
        if heard > self.acked:
            self.acked, self.stalled = heard, 0

    @property
    def ack_due(self) -> bool:
        return self.heard > self.told

    def beat(self, drained: int, waiting: int) -> Verdict:
        """`drained` bytes have left our buffer since the link began; `waiting` are in it."""
        self.idle = self.idle + 1 if self.quiet else 0
        unacked = self.sent > self.acked
        moved = waiting > 0 and drained > self.drained
        self.silent = self.silent + 1 if unacked and not self.fresh else 0
        self.stalled = self.stalled + 1 if unacked and not moved else 0
        self.fresh, self.quiet, self.drained = False, True, drained
        if self.silent >= self.most_silent:
            return Verdict.SILENT
        if self.stalled >= self.most_stalled:
            return Verdict.STALLED
        return Verdict.IDLE if self.idle >= self.most_idle else Verdict.LIVES
