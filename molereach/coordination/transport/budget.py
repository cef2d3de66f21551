"""Limits the work of all connections in one turn of the event loop. Sans-I/O.

A turn lasts at most 2 ms, so that client requests are served in between. A message is started only while more
than half of that time is left. Their number is limited as well, in case the clock has a coarse resolution.
"""

MAX_TURN_US = 2_000
MAX_STEP_START_US = MAX_TURN_US // 2
MAX_STEPS_PER_TURN = 64


class EventLoopBudget:
    """The budget of one turn that started at `start_us`."""

    __slots__ = ("max_steps", "max_us", "start_us", "steps")

    def __init__(
        self, start_us: int, max_steps: int = MAX_STEPS_PER_TURN, max_us: int = MAX_STEP_START_US
    ) -> None:
        self.start_us = start_us
        self.max_steps = max_steps
        self.max_us = max_us
        self.steps = 0

    def allows_step(self, now_us: int) -> bool:
        """Whether one more step may start. The first one always may, so that every turn makes progress."""
        if self.steps and (self.steps >= self.max_steps or now_us - self.start_us >= self.max_us):
            return False
        self.steps += 1
        return True
