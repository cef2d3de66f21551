"""When to dial a peer again: exponential backoff with jitter. Sans-I/O.

The delay doubles from `MIN_DELAY_US` to `MAX_DELAY_US`; jitter takes up to half of it away, never below the
minimum, so that peers that lost the same proxy do not all return at once. Only a connection that lasted for
`STABLE_AFTER_US` resets the backoff: one that opens and breaks at once would otherwise be dialled in a loop.
"""

from collections.abc import Callable

MIN_DELAY_US = 200_000
MAX_DELAY_US = 5_000_000
STABLE_AFTER_US = MAX_DELAY_US
MAX_DOUBLINGS = 5  # bounds the shift; the delay has reached its maximum by then


class RetryBackoff:
    """The backoff of one peer; `random` returns a number from 0 up to, not including, 1."""

    __slots__ = ("earliest_us", "failures", "opened_us", "random")

    def __init__(self, random: Callable[[], float]) -> None:
        self.random = random
        self.failures = 0  # consecutive
        self.earliest_us = 0
        self.opened_us: int | None = None

    def delay_us(self, now_us: int) -> int:
        """How long to wait before the next dial."""
        return max(0, self.earliest_us - now_us)

    def on_opened(self, now_us: int) -> None:
        """A connection is open."""
        self.opened_us = now_us

    def on_closed(self, now_us: int) -> None:
        """A connection closed in order. One that was evicted is not dialled again without a pause."""
        self.failures = 0
        self.earliest_us = now_us + MIN_DELAY_US
        self.opened_us = None

    def on_failed(self, now_us: int) -> None:
        """A dial failed or a connection broke."""
        if self.opened_us is not None and now_us - self.opened_us >= STABLE_AFTER_US:
            self.failures = 0
        full_delay_us = min(MAX_DELAY_US, MIN_DELAY_US << min(self.failures, MAX_DOUBLINGS))
        self.earliest_us = now_us + max(MIN_DELAY_US, int(full_delay_us * (1 - self.random() / 2)))
        self.failures += 1
        self.opened_us = None
