"""Time that a test's process lost because it did not run: stopped, or without a core.

A test on loopback plays client, front door and backend in one process, so all three stand still together.
That is no delay of the front door. Time in which the process was busy is not lost, so that a front door that
blocks its event loop is still late.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from molereach.clock import now_us

TICK_S = 0.002
TICK_TOLERANCE_US = 2_000  # a loop with milliseconds of resolution runs timers late by as much


class MachineDelay:
    """Counts lost time while it runs; in virtual time there is none."""

    def __init__(self) -> None:
        self.lost_us = 0
        self.loop = asyncio.get_running_loop()
        self.ticked_us, self.cpu_us = now_us(), cpu_time_us()
        self.timer = self.loop.call_later(TICK_S, self.tick)

    def measure(self) -> None:
        """Add the time since the last tick in which the process neither waited nor ran."""
        current_us, current_cpu_us = now_us(), cpu_time_us()
        waited_us = round(TICK_S * 1e6) + TICK_TOLERANCE_US
        self.lost_us += max(0, current_us - self.ticked_us - waited_us - (current_cpu_us - self.cpu_us))
        self.ticked_us, self.cpu_us = current_us, current_cpu_us

    def tick(self) -> None:
        """Measure, and schedule the next tick."""
        self.measure()
        self.timer = self.loop.call_later(TICK_S, self.tick)

    def running_us(self) -> int:
        """The clock of the front door less the time lost so far, in microseconds."""
        self.measure()
        return now_us() - self.lost_us


def cpu_time_us() -> int:
    """CPU time of this process in microseconds."""
    return time.process_time_ns() // 1000


@asynccontextmanager
async def machine_delay() -> AsyncIterator[MachineDelay]:
    """Count lost time while the block runs."""
    delay = MachineDelay()
    try:
        yield delay
    finally:
        delay.timer.cancel()
