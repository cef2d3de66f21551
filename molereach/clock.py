"""The clock that all components of a proxy use."""

import time


def now_us() -> int:
    """Return the time of the monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000
