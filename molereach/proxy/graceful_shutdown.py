"""When a proxy stops: until when it takes requests, and by when all have answers.

Its clients go on using the connections that they have, and whoever directs them here notices the shutdown
only after seconds: what it does not take until then is refused by a dead address. So it serves for as long as
an answer can be in progress before it is killed, which by the platform's protocol is no sooner than the
longest deadline and 0.7 s more. All its moments follow from that one, however short the deadlines are.
"""

from collections.abc import Iterable

SECOND_US = 1_000_000
MAX_DEADLINE_US = 3 * SECOND_US  # no deadline counts for more
KILL_GRACE_US = 700_000  # from the longest deadline to the kill
RESPONSE_MARGIN_US = 200_000  # before the kill all answers are to be sent
MIN_SERVICE_TIME_US = 700_000  # what is taken last has so long, or the longest deadline if that is shorter
DISCONNECT_SETTLE_US = 600_000  # new connections go on coming for up to 0.4 s
QUIET_PERIOD_US = 500_000  # without a request for so long, there is nothing to wait for
LAST_READ_FRACTION = 0.25  # of the margin: to read from connections accepted last
EXIT_FRACTION = 0.25  # of the margin: for the end of the process itself


class GracefulShutdown:
    """The times of one shutdown, all in microseconds of one clock."""

    def __init__(self, notified_at_us: int, deadlines_us: Iterable[int]) -> None:
        """`notified_at_us`: when the process was notified to end; `deadlines_us`: those of the classes."""
        longest_us = min(MAX_DEADLINE_US, max(deadlines_us, default=0))
        kill_at_us = notified_at_us + longest_us + KILL_GRACE_US
        self.responses_due_at_us = kill_at_us - RESPONSE_MARGIN_US  # then the listener closes
        self.accepts_until_us = self.responses_due_at_us - min(MIN_SERVICE_TIME_US, longest_us)
        self.settled_at_us = min(notified_at_us + DISCONNECT_SETTLE_US, self.accepts_until_us)
        self.last_request_at_us = self.settled_at_us
        self.reads_until_us = self.responses_due_at_us + round(RESPONSE_MARGIN_US * LAST_READ_FRACTION)
        closing_us = round(RESPONSE_MARGIN_US * (1 - EXIT_FRACTION))
        self.closes_at_us = self.responses_due_at_us + closing_us  # all sockets are closed

    def admit(self, now_us: int, remaining_us: int) -> int:
        """A request has come whose client waits for `remaining_us`; how long it may take here."""
        self.last_request_at_us = max(self.last_request_at_us, now_us)
        return min(remaining_us, max(1, self.responses_due_at_us - now_us))

    def closes_idle(self, now_us: int) -> bool:
        """Whether connections are to be closed as they become idle."""
        is_quiet = now_us - self.last_request_at_us >= QUIET_PERIOD_US
        return now_us >= self.accepts_until_us or (now_us >= self.settled_at_us and is_quiet)
