"""When to dial a peer again: sooner after the first failure, later after more. A core.

The wait doubles from `LEAST_US` to `MOST_US`, and chance takes up to half of it away (never below the least),
so that those who lost the same peer do not all come back at once. A link counts as good when it has lasted
for `GOOD_US`: one that opens and breaks at once would otherwise be dialled without a pause.
"""

from collections.abc import Callable

LEAST_US, MOST_US = 200_000, 5_000_000
GOOD_US = MOST_US
MOST_DOUBLINGS = 5  # past the most in any case


class Retry:
    """One peer's; `draw` gives a number from 0 up to 1."""

    __slots__ = ("at_us", "draw", "failures", "up_us")

    def __init__(self, draw: Callable[[], float]) -> None:
        self.draw = draw
        self.failures = 0  # in a row
        self.at_us = 0  # not before
        self.up_us: int | None = None

    def wait_us(self, now_us: int) -> int:
        return max(0, self.at_us - now_us)

    def opened(self, now_us: int) -> None:
        self.up_us = now_us

    def closed(self, now_us: int) -> None:
        """In order; a peer that has no room and ends one link for another is not dialled without a pause."""
        self.failures, self.at_us, self.up_us = 0, now_us + LEAST_US, None

    def failed(self, now_us: int) -> None:
        """A dial that came to nothing, or a link that broke."""
        if self.up_us is not None and now_us - self.up_us >= GOOD_US:
            self.failures = 0
        whole = min(MOST_US, LEAST_US << min(self.failures, MOST_DOUBLINGS))
        self.at_us = now_us + max(LEAST_US, int(whole * (1 - self.draw() / 2)))
        self.failures, self.up_us = self.failures + 1, None
