"""When to dial a peer again: sooner after the first failure, later after more. A core.

The wait doubles from `LEAST_US` to `MOST_US`, and chance takes up to half of it away (never below the least),
so that those who lost the same peer do not all come back at once. A link counts as good when it has lasted
for `GOOD_US`: one that opens and breaks at once would otherwise be dialled without a pause.
"""

from collections.abc import Callable

MIN_DELAY_US, MAX_DELAY_US = 200_000, 5_000_000
STABLE_AFTER_US = MAX_DELAY_US
MAX_DOUBLINGS = 5  # past the most in any case


class RetryBackoff:
    """One peer's; `draw` gives a number from 0 up to 1."""

    __slots__ = ("earliest_us", "failures", "opened_us", "random")

    def __init__(self, draw: Callable[[], float]) -> None:
        self.random = draw
        self.failures = 0  # in a row
        self.earliest_us = 0  # not before
        self.opened_us: int | None = None

    def delay_us(self, now_us: int) -> int:
        return max(0, self.earliest_us - now_us)

    def on_opened(self, now_us: int) -> None:
        self.opened_us = now_us

    def on_closed(self, now_us: int) -> None:
        """In order; a peer that has no room and ends one link for another is not dialled without a pause."""
        self.failures, self.earliest_us, self.opened_us = 0, now_us + MIN_DELAY_US, None

    def on_failed(self, now_us: int) -> None:
        """A dial that came to nothing, or a link that broke."""
        if self.opened_us is not None and now_us - self.opened_us >= STABLE_AFTER_US:
            self.failures = 0
        whole = min(MAX_DELAY_US, MIN_DELAY_US << min(self.failures, MAX_DOUBLINGS))
        self.earliest_us = now_us + max(MIN_DELAY_US, int(whole * (1 - self.random() / 2)))
        self.failures, self.opened_us = self.failures + 1, None
