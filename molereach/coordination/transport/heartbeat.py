"""Whether a link lives, by beats that its owner counts. A core.

Each side says on a beat how many messages it has taken in, if that is news. So who has said something hears
of it within two beats of a peer that reads. Nothing at all heard for some beats while something is
unacknowledged: the peer is gone or the way is half open. Something heard, but nothing acknowledged and no
byte of what waits in our buffer taken: it does not read. Beats are counted, not time: a process that was
stopped for a minute has missed one beat, and hears first what came meanwhile.
"""

from enum import Enum


class ConnectionHealth(Enum):
    """What a beat found; the text is the reason for which a link ends."""

    ALIVE = "lives"
    SILENT = "nothing heard while something was unacknowledged"
    STALLED = "it does not read what it is sent"
    IDLE = "nothing to say"


class HeartbeatMonitor:
    """One link's. Figures are in beats."""

    __slots__ = (
        "acknowledged",
        "bytes_received",
        "drained_bytes",
        "idle_heartbeats",
        "max_idle_heartbeats",
        "max_silent_heartbeats",
        "max_stalled_heartbeats",
        "no_messages",
        "received",
        "reported",
        "sent",
        "silent_heartbeats",
        "stalled_heartbeats",
    )

    def __init__(self, most_silent: int, most_stalled: int, most_idle: int) -> None:
        self.max_silent_heartbeats, self.max_stalled_heartbeats, self.max_idle_heartbeats = (
            most_silent,
            most_stalled,
            most_idle,
        )
        self.sent = self.acknowledged = self.received = self.reported = 0  # messages
        self.bytes_received = self.no_messages = (
            True  # any bytes came since the last beat; no message went or came
        )
        self.silent_heartbeats = self.stalled_heartbeats = self.idle_heartbeats = 0  # for how many beats
        self.drained_bytes = 0  # bytes that had left our buffer by the last beat

    def on_bytes(self) -> None:
        self.bytes_received = True

    def on_sent(self) -> None:
        self.sent, self.no_messages = self.sent + 1, False

    def on_received(self) -> None:
        self.received, self.no_messages = self.received + 1, False

    def on_acknowledgement(self, heard: int) -> None:
        """ValueError for what was never sent, or was acknowledged before."""
        if not self.acknowledged <= heard <= self.sent:
            raise ValueError(f"{heard} messages acknowledged; {self.acknowledged} to {self.sent} can be")
        if heard > self.acknowledged:
            self.acknowledged, self.stalled_heartbeats = heard, 0

    @property
    def acknowledgement_due(self) -> bool:
        return self.received > self.reported

    def check(self, drained: int, waiting: int) -> ConnectionHealth:
        """`drained` bytes have left our buffer since the link began; `waiting` are in it."""
        self.idle_heartbeats = self.idle_heartbeats + 1 if self.no_messages else 0
        unacked = self.sent > self.acknowledged
        moved = waiting > 0 and drained > self.drained_bytes
        self.silent_heartbeats = self.silent_heartbeats + 1 if unacked and not self.bytes_received else 0
        self.stalled_heartbeats = self.stalled_heartbeats + 1 if unacked and not moved else 0
        self.bytes_received, self.no_messages, self.drained_bytes = False, True, drained
        if self.silent_heartbeats >= self.max_silent_heartbeats:
            return ConnectionHealth.SILENT
        if self.stalled_heartbeats >= self.max_stalled_heartbeats:
            return ConnectionHealth.STALLED
        return (
            ConnectionHealth.IDLE
            if self.idle_heartbeats >= self.max_idle_heartbeats
            else ConnectionHealth.ALIVE
        )
