"""Unix time that does not step: read once, then advanced by the monotonic clock.

Orders lapse by it, so a step of the machine's clock neither ends an order early nor revives one. What is left
is the error of the clock at the start, and its drift since.
"""

import time
from collections.abc import Callable


def anchored_unix_ms() -> Callable[[], int]:
    """Return a clock that reads Unix time in milliseconds, anchored now."""
    start_ms = time.time_ns() // 1_000_000 - time.monotonic_ns() // 1_000_000
    return lambda: start_ms + time.monotonic_ns() // 1_000_000
