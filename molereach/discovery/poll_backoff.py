"""When a proxy polls discovery: jittered backoff over a window that the whole tier shares.

One service holds the list for all proxies and takes requests in turn, a few a second; it also works on
requests that nobody waits for any more. A tier that polls in step, after a mass restart or when all watches
broke at once, fills its queue with requests that are abandoned before their turn comes; if each of them is
repeated soon, the queue never empties and nobody gets a list. So the polls of a tier are distributed over a
time that grows with the tier, and those that failed come still further apart, each with a jitter of its own
(Brooker, Exponential Backoff and Jitter, AWS Architecture Blog, 2015). A small tier polls as if each proxy
were alone.

But a change counts as known 6 s after discovery had it and could be reached, whatever became of the polls
before. So no delay is longer than what is left of that with a connect that hangs and a response: the window
ends there, however large the tier, and a discovery that takes fewer requests than come within it answers some
late. Its queue does not collapse for that: whoever has a request in it keeps it (`watch_supervisor`).

That holds where the list must be polled for. Where changes are sent unasked, the address is an agent on the
proxy's own machine: it answers at once and at no cost, and what it has counts as known. A delay helps nobody
there, and a proxy that restarts would serve from a list that it was told is old.
"""

import math

from molereach.policy.interface.settings import Settings

POLL_COST_S = (
    0.2  # of discovery's time, for each proxy of the tier: it takes one request from each in so long
)
UNSPREAD_POLLS = 8  # that may come in step and are no burden
BASE_BACKOFF_S = 0.1  # after a first failure, for one proxy alone
MAX_BACKOFF_S = 1.0
MAX_LOCAL_DISCOVERY_BACKOFF_S = 0.25  # where the address is an agent on the own machine
MAX_DOUBLINGS = 8  # more make no number that is of use
MAX_WINDOWS = 4  # polls that failed come no further apart than so many windows, at their middle
# Of the time within which a proxy must have polled, so that what was listed does not count as known before
# it has been received: the window ends by then, whatever the tier.
POLL_WITHIN_FRACTION = 0.8
NOTIFICATION_LIMIT_S = 6.0  # from when discovery could be reached until a change counts as known
RESPONSE_TIME_S = 0.4
HUNG_CONNECT_S = 1.0  # a connect that hangs takes so long
RECONNECT_MARGIN_S = 0.1  # for the connect after one that hangs
# By when there must have been a poll, so that the response comes within the limit even after a hung connect.
POLL_INTERVAL_LIMIT_S = NOTIFICATION_LIMIT_S - RESPONSE_TIME_S - HUNG_CONNECT_S - RECONNECT_MARGIN_S


class PollBackoff:
    """How long to wait before each poll, in seconds; `draw` is evenly distributed from 0 to 1."""

    def __init__(self, proxy_count: int, must_poll: bool = True, poll_within_s: float = 0.0) -> None:
        """`must_poll`: the list is not sent unasked; `poll_within_s`: 0 where no time is set for that."""
        self.must_poll = must_poll
        self.max_window_s = min(POLL_INTERVAL_LIMIT_S, POLL_WITHIN_FRACTION * poll_within_s or math.inf)
        tier_window_s = POLL_COST_S * max(0, proxy_count - UNSPREAD_POLLS)
        self.window_s = min(tier_window_s, self.max_window_s) if must_poll else 0.0
        self.failures = 0

    @classmethod
    def from_settings(cls, settings: Settings) -> "PollBackoff":
        """The backoff for a tier of the settings' size."""
        return cls(settings.proxy_count, settings.must_poll_endpoints, settings.poll_within_us / 1e6)

    def initial_delay_s(self, draw: float) -> float:
        """Before the first poll of a process that has a list already: others may have started with it."""
        return self.window_s * draw

    def reset(self) -> None:
        """Forget failures: a poll has brought an update."""
        self.failures = 0

    def record_failure(self, draw: float) -> float:
        """Count a failed poll, or a watch that broke after an update; the delay before the next poll.

        A watch that broke counts too, as the watches of the whole tier may have broken with it.
        """
        single_s = self.single_proxy_delay_s()
        shared_s = self.window_s * draw
        if self.failures:
            window_s = self.window_s * min(MAX_WINDOWS, 2 ** (self.failures - 1))
            shared_s = min(window_s, self.max_window_s / 1.5) * (0.5 + draw)
        self.failures += 1
        return max(single_s, shared_s)

    def single_proxy_delay_s(self) -> float:
        """What a tier of one proxy would wait after the failure that comes next."""
        limit_s = MAX_BACKOFF_S if self.must_poll else MAX_LOCAL_DISCOVERY_BACKOFF_S
        delay_s: float = min(limit_s, BASE_BACKOFF_S * 2 ** min(self.failures, MAX_DOUBLINGS))
        return delay_s
