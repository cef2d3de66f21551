"""A front door that measures how long the iterations of its event loop take and logs the longest at its end.

An iteration is the time between two callbacks, each scheduled for the next iteration, in CPU time of the
thread: other load on the machine adds nothing. The measurement keeps the loop from sleeping, so it is not
used where the CPU of a request is measured. SIGUSR1 resets the measurement; SIGUSR2 logs it and then resets
it.
"""

import asyncio
import json
import logging
import signal
import sys
import time
from collections.abc import Callable

from molereach.__main__ import front_door
from molereach.proxy.proxy import Proxy

log = logging.getLogger("molereach.turns")
LOG_PREFIX = "turns: "


class LoopIterationTimer:
    """The longest iteration since the last reset, in microseconds of CPU."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.stopped = loop, False
        self.reset()
        loop.call_soon(self.record_iteration)

    def reset(self) -> None:
        """Reset the measurement."""
        self.longest_us, self.count, self.last_ns = 0.0, 0, time.thread_time_ns()

    def record_iteration(self) -> None:
        """Record one iteration and schedule the next record."""
        now_ns = time.thread_time_ns()
        self.longest_us = max(self.longest_us, (now_ns - self.last_ns) / 1000)
        self.last_ns, self.count = now_ns, self.count + 1
        if not self.stopped:
            self.loop.call_soon(self.record_iteration)

    def stop(self) -> None:
        """Stop measuring and log the result."""
        self.stopped = True
        self.log_result()

    def log_result(self) -> None:
        """Log the longest iteration and the number of iterations."""
        log.info("%s%s", LOG_PREFIX, json.dumps({"longest_us": round(self.longest_us), "turns": self.count}))

    def log_and_reset(self) -> None:
        """Log the result and reset the measurement."""
        self.log_result()
        self.reset()


async def attach(door: Proxy) -> Callable[[], None]:
    """Measure a front door's loop from before its start until after its drain."""
    loop = asyncio.get_running_loop()
    timer = LoopIterationTimer(loop)
    loop.add_signal_handler(signal.SIGUSR1, timer.reset)
    loop.add_signal_handler(signal.SIGUSR2, timer.log_and_reset)
    return timer.stop


if __name__ == "__main__":
    sys.exit(front_door(attach=attach))
