"""How a front door ends that was told to: until when it takes requests, and by when all have answers. A
core.

Its clients go on using the connections that they have, and whoever sends them here notices its end only
after seconds: what it does not take until then is refused by a dead address. So it serves for as long as
an answer can be out before it is killed, which by the protocol ("Figures") is no sooner than the longest
deadline and 0.7 s more. All its moments follow from that one, however short the deadlines are.
"""

from collections.abc import Iterable

SECOND_US = 1_000_000
MAX_DEADLINE_US = 3 * SECOND_US  # no deadline counts for more
KILL_GRACE_US = 700_000  # from the longest deadline to the kill
RESPONSE_MARGIN_US = 200_000  # before that all answers are to be out
MIN_SERVICE_TIME_US = 700_000  # what is taken last has so long, or the longest deadline if that is shorter
DISCONNECT_SETTLE_US = 600_000  # new connections go on coming for up to 0.4 s
QUIET_PERIOD_US = 500_000  # nobody has asked for so long: there is nothing to stay for
LAST_READ_FRACTION = 0.25  # of the margin: who was taken in last is heard
EXIT_FRACTION = 0.25  # of the margin: for the end of the process itself


class GracefulShutdown:
    """From the word to end, at `told_us`; all times in microseconds of one clock."""

    def __init__(self, told_us: int, deadlines_us: Iterable[int]) -> None:
        longest = min(MAX_DEADLINE_US, max(deadlines_us, default=0))
        self.responses_due_at_us = (
            told_us + longest + KILL_GRACE_US - RESPONSE_MARGIN_US
        )  # then the listener closes
        self.accepts_until_us = self.responses_due_at_us - min(MIN_SERVICE_TIME_US, longest)
        self.settled_at_us = self.last_request_at_us = min(
            told_us + DISCONNECT_SETTLE_US, self.accepts_until_us
        )
        self.reads_until_us = self.responses_due_at_us + round(RESPONSE_MARGIN_US * LAST_READ_FRACTION)
        self.closes_at_us = self.responses_due_at_us + round(
            RESPONSE_MARGIN_US * (1 - EXIT_FRACTION)
        )  # all sockets are let go of

    def admit(self, now_us: int, left_us: int) -> int:
        """A request has come whose client waits for `left_us`; how long it may take here."""
        self.last_request_at_us = max(self.last_request_at_us, now_us)
        return min(left_us, max(1, self.responses_due_at_us - now_us))

    def closes_idle(self, now_us: int) -> bool:
        """Whether connections are to be closed as they become idle."""
        quiet = now_us - self.last_request_at_us >= QUIET_PERIOD_US
        return now_us >= self.accepts_until_us or (now_us >= self.settled_at_us and quiet)
