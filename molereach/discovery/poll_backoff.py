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

CALL_S = 0.2  # of discovery's time, for each front door of the tier: it takes one call from each in so long
AT_ONCE = 8  # calls that may come in step and are no burden
BACKOFF_S, MOST_BACKOFF_S = 0.1, 1.0  # after failures, for one front door alone
AGENT_BACKOFF_S = 0.25  # the most where the address is an agent on the own machine
MOST_DOUBLINGS = 8  # more make no number that is of use
MOST_WINDOWS = 4  # failed calls come no further apart than so many windows, at their middle
# Of the time within which a front door must have asked, so that what was listed does not count as told
# unheard: the window ends by then, whatever the tier.
ASK_PART = 0.8
# From when discovery could be reached until a change counts as told; less the answer's time and a dial that
# hangs, and a moment for the one after it: by then there must have been a call.
TOLD_S, ANSWERED_S, DIAL_S, AFTER_DIAL_S = 6.0, 0.4, 1.0, 0.1
CALL_BY_S = TOLD_S - ANSWERED_S - DIAL_S - AFTER_DIAL_S


class CallPacing:
    """How long to wait before each call, in seconds; `draw` is evenly distributed from 0 to 1."""

    def __init__(self, doors: int, must_ask: bool = True, ask_within_s: float = 0.0) -> None:
        """`must_ask`: the list is not sent unasked; `ask_within_s`: 0 where no time is set for that."""
        self.must_ask = must_ask
        self.most_s = min(CALL_BY_S, ASK_PART * ask_within_s or math.inf)
        self.window_s = min(CALL_S * max(0, doors - AT_ONCE), self.most_s) if must_ask else 0.0
        self.failures = 0

    @classmethod
    def of(cls, settings: Settings) -> "CallPacing":
        return cls(settings.proxy_count, settings.must_subscribe, settings.poll_within_us / 1e6)

    def first(self, draw: float) -> float:
        """Before the first call of a process that knows a list already: others may have started with it."""
        return self.window_s * draw

    def heard(self) -> None:
        """A call has brought news."""
        self.failures = 0

    def ended(self, draw: float) -> float:
        """A call failed, or a watch that had brought news broke: then maybe everybody's did."""
        alone_s = self.alone_s()
        shared = self.window_s * draw
        if self.failures:
            window_s = self.window_s * min(MOST_WINDOWS, 2 ** (self.failures - 1))
            shared = min(window_s, self.most_s / 1.5) * (0.5 + draw)
        self.failures += 1
        return max(alone_s, shared)

    def alone_s(self) -> float:
        """What a front door that is alone would wait after the failure that comes next."""
        most_s = MOST_BACKOFF_S if self.must_ask else AGENT_BACKOFF_S
        wait_s: float = min(most_s, BACKOFF_S * 2 ** min(self.failures, MOST_DOUBLINGS))
        return wait_s
