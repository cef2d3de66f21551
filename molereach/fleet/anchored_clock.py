"""Unix time that does not step: read once, then counted on by the monotonic clock.

An order lapses by it. A step of the machine's clock, forwards or back, neither ends an order early nor brings
one back; what is left is the clock's error at the start, and its drift since.
"""

import time
from collections.abc import Callable


def anchored_unix_ms() -> Callable[[], int]:
    """A clock in milliseconds of Unix time."""
    start_ms = time.time_ns() // 1_000_000 - time.monotonic_ns() // 1_000_000
    return lambda: start_ms + time.monotonic_ns() // 1_000_000
