"""How much work is done in one turn of the event loop, over all connections. A core.

No turn exceeds 2 ms, so that clients' requests are served in between. A message is begun only while half of
that is left, and their number is bounded, which holds also where the clock's steps are coarse.
"""

MAX_TURN_US = 2_000
BEGIN_US = MAX_TURN_US // 2
MAX_STEPS = 64


class EventLoopBudget:
    """The budget of one turn, begun at `start_us`."""

    __slots__ = ("max_steps", "max_us", "start_us", "steps")

    def __init__(self, start_us: int, max_steps: int = MAX_STEPS, max_us: int = BEGIN_US) -> None:
        self.start_us = start_us
        self.max_steps = max_steps
        self.max_us = max_us
        self.steps = 0

    def allows_step(self, now_us: int) -> bool:
        """Whether one more step may begin; the first always may, or work would never end."""
        if self.steps and (self.steps >= self.max_steps or now_us - self.start_us >= self.max_us):
            return False
        self.steps += 1
        return True
