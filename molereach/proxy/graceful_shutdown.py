"""The times of a graceful shutdown: until when connections stay open, and by when all must be answered.

Clients keep using their connections, and whatever directs clients to this proxy notices the shutdown only
after seconds. If the proxy closed its address earlier, requests sent meanwhile would fail, as nothing would
listen there. It therefore accepts requests for as long as they can still be answered before it is killed. By
the platform's protocol the kill comes no sooner than the longest deadline, of which at most 3 s count, plus
0.7 s after the notification. All other times are derived from that of the kill, however short the deadlines
are.
"""

from collections.abc import Iterable

SECOND_US = 1_000_000
MAX_DEADLINE_US = 3 * SECOND_US  # for the time of the kill, longer deadlines count as this
KILL_GRACE_US = 700_000  # from the longest deadline to the kill
RESPONSE_MARGIN_US = 200_000  # how long before the kill all answers must be sent
MIN_SERVICE_TIME_US = (
    700_000  # left for answers when idle connections are closed; the longest deadline if shorter
)
# New connections keep arriving for up to 0.4 s after the notification, so idle ones are kept for 0.6 s.
DISCONNECT_SETTLE_US = 600_000
QUIET_PERIOD_US = 500_000  # after this time without a request, no more are expected
LAST_READ_FRACTION = 0.25  # of RESPONSE_MARGIN_US, to read from the connections that were accepted last
EXIT_FRACTION = 0.25  # of RESPONSE_MARGIN_US, for the process to exit


class GracefulShutdown:
    """The times of one shutdown, in microseconds of the monotonic clock."""

    def __init__(self, notified_at_us: int, deadlines_us: Iterable[int]) -> None:
        """`notified_at_us` is when the process was told to end, `deadlines_us` are those of the classes."""
        longest_us = min(MAX_DEADLINE_US, max(deadlines_us, default=0))
        kill_at_us = notified_at_us + longest_us + KILL_GRACE_US
        # When all answers must be sent; the listening socket is closed then, or once no request is open.
        self.responses_due_at_us = kill_at_us - RESPONSE_MARGIN_US
        # From then on idle connections are closed; requests on the others are still accepted, with less time
        # than MIN_SERVICE_TIME_US, or than the longest deadline if that is shorter.
        self.accepts_until_us = self.responses_due_at_us - min(MIN_SERVICE_TIME_US, longest_us)
        self.settled_at_us = min(notified_at_us + DISCONNECT_SETTLE_US, self.accepts_until_us)
        self.last_request_at_us = self.settled_at_us
        self.reads_until_us = self.responses_due_at_us + round(RESPONSE_MARGIN_US * LAST_READ_FRACTION)
        closing_us = round(RESPONSE_MARGIN_US * (1 - EXIT_FRACTION))
        self.closes_at_us = self.responses_due_at_us + closing_us  # when all sockets are closed

    def admit(self, now_us: int, remaining_us: int) -> int:
        """Record a request whose client waits for `remaining_us`; return the time in which to answer it.

        No request is refused here. The time ends at `responses_due_at_us`, but is at least 1 microsecond.
        """
        self.last_request_at_us = max(self.last_request_at_us, now_us)
        return min(remaining_us, max(1, self.responses_due_at_us - now_us))

    def closes_idle(self, now_us: int) -> bool:
        """Whether connections are to be closed when they become idle."""
        is_quiet = now_us - self.last_request_at_us >= QUIET_PERIOD_US
        return now_us >= self.accepts_until_us or (now_us >= self.settled_at_us and is_quiet)
