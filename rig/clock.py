"""The clock of the test bed, and a measure of its own lateness."""

import asyncio
import time

from rig.facts import Fact, Late

HEARTBEAT_S = 0.01
RECORDED_LATENESS_US = 5_000  # larger lateness is recorded each time; the largest is always recorded


def now_us() -> int:
    """Microseconds of the monotonic clock, which the front doors read too."""
    return time.monotonic_ns() // 1000


def unix_ms() -> int:
    """Milliseconds of the wall clock."""
    return time.time_ns() // 1_000_000


class Heartbeat:
    """Records by how much the event loop runs late: times observed then are inexact."""

    def __init__(self, facts: list[Fact]) -> None:
        self.facts, self.max_late_us = facts, 0
        self.due_us = 0
        self.handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the next beat."""
        self.due_us = now_us() + round(HEARTBEAT_S * 1e6)
        self.handle = asyncio.get_running_loop().call_later(HEARTBEAT_S, self.beat)

    def beat(self) -> None:
        """Record the lateness of this beat and schedule the next."""
        late_us = now_us() - self.due_us
        self.max_late_us = max(self.max_late_us, late_us)
        if late_us > RECORDED_LATENESS_US:
            self.facts.append(Late(now_us(), late_us))
        self.start()

    def stop(self) -> None:
        """Stop, and record the largest lateness."""
        if self.handle:
            self.handle.cancel()
            self.handle = None
            self.facts.append(Late(now_us(), self.max_late_us))
