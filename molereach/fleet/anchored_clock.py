"""Unix time that does not step: read once, then advanced by the monotonic clock.

The expiry of orders is checked against it, so a step of the system clock neither ends an order early nor
revives one. The remaining errors are that of the system clock at the start, and the drift since.
"""

import time
from collections.abc import Callable


def anchored_unix_ms() -> Callable[[], int]:
    """Return a function that gives Unix time in milliseconds, anchored at the time of this call."""
    offset_ms = time.time_ns() // 1_000_000 - time.monotonic_ns() // 1_000_000
    return lambda: offset_ms + time.monotonic_ns() // 1_000_000
