"""How much is handled in one turn of the loop, over all links. A core.

No turn of the council is over 2 ms, so that clients' requests go in between. A message is begun only while
half of that is left, and few enough are taken that it holds also where the clock's steps are coarse.
"""

MOST_TURN_US = 2_000
BEGIN_US = MOST_TURN_US // 2
MOST_STEPS = 64


class Turn:
    """One turn, begun at `start_us`."""

    __slots__ = ("most_steps", "most_us", "start_us", "steps")

    def __init__(self, start_us: int, most_steps: int = MOST_STEPS, most_us: int = BEGIN_US) -> None:
        self.start_us, self.most_steps, self.most_us = start_us, most_steps, most_us
        self.steps = 0

    def another(self, now_us: int) -> bool:
        """Whether one more step may begin; the first always may, so that there is an end to all work."""
        if self.steps and (self.steps >= self.most_steps or now_us - self.start_us >= self.most_us):
            return False
        self.steps += 1
        return True
