"""When to dial a peer again: exponential backoff with jitter. Sans-I/O.

The delay doubles from `MIN_DELAY_US` to `MAX_DELAY_US`. Jitter shortens it by up to half, but not below the
minimum, so that peers that lost the same proxy do not all reconnect at once. A failure resets the backoff
only if the connection lasted for `STABLE_AFTER_US`: a connection that fails right after opening would
otherwise be dialled in a tight loop.
"""

from collections.abc import Callable

MIN_DELAY_US = 200_000
MAX_DELAY_US = 5_000_000
STABLE_AFTER_US = MAX_DELAY_US
MAX_DOUBLINGS = 5  # limits the shift; the delay reaches its maximum before


class RetryBackoff:
    """The backoff of one peer; `random` returns a number in [0, 1)."""

    __slots__ = ("earliest_us", "failures", "opened_us", "random")

    def __init__(self, random: Callable[[], float]) -> None:
        self.random = random
        self.failures = 0  # consecutive
        self.earliest_us = 0
        self.opened_us: int | None = None

    def delay_us(self, now_us: int) -> int:
        """The remaining delay before the next dial."""
        return max(0, self.earliest_us - now_us)

    def on_opened(self, now_us: int) -> None:
        """Record that a connection opened."""
        self.opened_us = now_us

    def on_closed(self, now_us: int) -> None:
        """Record a graceful close; the minimum delay prevents an immediate redial after an eviction."""
        self.failures = 0
        self.earliest_us = now_us + MIN_DELAY_US
        self.opened_us = None

    def on_failed(self, now_us: int) -> None:
        """Record a failed dial or a broken connection."""
        if self.opened_us is not None and now_us - self.opened_us >= STABLE_AFTER_US:
            self.failures = 0
        full_delay_us = min(MAX_DELAY_US, MIN_DELAY_US << min(self.failures, MAX_DOUBLINGS))
        self.earliest_us = now_us + max(MIN_DELAY_US, int(full_delay_us * (1 - self.random() / 2)))
        self.failures += 1
        self.opened_us = None
