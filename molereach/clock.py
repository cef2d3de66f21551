"""The one clock of a proxy."""

import time


def now_us() -> int:
    """Microseconds of the monotonic clock."""
    return time.monotonic_ns() // 1000
