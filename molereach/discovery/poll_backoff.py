"""When a front door calls discovery: a core.

One service holds the list for all front doors and takes calls in turn, a few a second; it also works on calls
that nobody waits for any more. A tier that calls in step, after a mass restart or when all watches broke at
once, fills its line with calls that are given up before their turn comes; if each of them is repeated soon,
the line never empties and nobody gets a list again. So the calls of a tier are spread over a time that grows
with the tier, and calls that failed come still further apart, each with chance of its own: jitter as in
Brooker, Exponential Backoff and Jitter (AWS Architecture Blog, 2015), over a window that the whole tier
shares. A small tier calls as if it were alone.

But a change counts as told 6 s after discovery had it and could be reached, whatever became of the calls
before. So no wait is longer than what is left of that with a dial that hangs and an answer: the window ends
there, however large the tier, and a discovery that takes fewer calls than come within it answers some late.
It is not jammed for that: whoever has a call in its line keeps it (`calling`).

That holds where the list must be asked for. Where changes are sent unasked, the address is an agent on the
front door's own machine: it answers at once and at no cost, and what it has counts as told. A call that waits
there helps nobody, and a front door that restarts would serve from a list that it was told is old.
"""

import math

from molereach.policy.interface.settings import Settings

POLL_COST_S = (
    0.2  # of discovery's time, for each front door of the tier: it takes one call from each in so long
)
UNSPREAD_POLLS = 8  # calls that may come in step and are no burden
BASE_BACKOFF_S, MAX_BACKOFF_S = 0.1, 1.0  # after failures, for one front door alone
MAX_AGENT_BACKOFF_S = 0.25  # the most where the address is an agent on the own machine
MAX_DOUBLINGS = 8  # more make no number that is of use
MAX_WINDOWS = 4  # failed calls come no further apart than so many windows, at their middle
# Of the time within which a front door must have asked, so that what was listed does not count as told
# unheard: the window ends by then, whatever the tier.
POLL_WITHIN_FRACTION = 0.8
# From when discovery could be reached until a change counts as told; less the answer's time and a dial that
# hangs, and a moment for the one after it: by then there must have been a call.
NOTIFICATION_LIMIT_S, RESPONSE_TIME_S, HUNG_CONNECT_S, RECONNECT_MARGIN_S = 6.0, 0.4, 1.0, 0.1
POLL_INTERVAL_LIMIT_S = NOTIFICATION_LIMIT_S - RESPONSE_TIME_S - HUNG_CONNECT_S - RECONNECT_MARGIN_S


class PollBackoff:
    """How long to wait before each call, in seconds; `draw` is evenly distributed from 0 to 1."""

    def __init__(self, doors: int, must_ask: bool = True, ask_within_s: float = 0.0) -> None:
        """`must_ask`: the list is not sent unasked; `ask_within_s`: 0 where no time is set for that."""
        self.must_poll = must_ask
        self.max_window_s = min(POLL_INTERVAL_LIMIT_S, POLL_WITHIN_FRACTION * ask_within_s or math.inf)
        self.window_s = (
            min(POLL_COST_S * max(0, doors - UNSPREAD_POLLS), self.max_window_s) if must_ask else 0.0
        )
        self.failures = 0

    @classmethod
    def from_settings(cls, settings: Settings) -> "PollBackoff":
        return cls(settings.proxy_count, settings.must_subscribe, settings.poll_within_us / 1e6)

    def initial_delay_s(self, draw: float) -> float:
        """Before the first call of a process that knows a list already: others may have started with it."""
        return self.window_s * draw

    def reset(self) -> None:
        """A call has brought news."""
        self.failures = 0

    def record_failure(self, draw: float) -> float:
        """A call failed, or a watch that had brought news broke: then maybe everybody's did."""
        alone_s = self.own_delay_s()
        shared = self.window_s * draw
        if self.failures:
            window_s = self.window_s * min(MAX_WINDOWS, 2 ** (self.failures - 1))
            shared = min(window_s, self.max_window_s / 1.5) * (0.5 + draw)
        self.failures += 1
        return max(alone_s, shared)

    def own_delay_s(self) -> float:
        """What a front door that is alone would wait after the failure that comes next."""
        most_s = MAX_BACKOFF_S if self.must_poll else MAX_AGENT_BACKOFF_S
        wait_s: float = min(most_s, BASE_BACKOFF_S * 2 ** min(self.failures, MAX_DOUBLINGS))
        return wait_s
