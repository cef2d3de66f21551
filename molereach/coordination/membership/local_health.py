"""How far a proxy trusts itself: the local health multiplier of Lifeguard, section IV.A.

Against it count a probe without an ack, a helper that sent not even a nack, a suspicion that it had to
refute, and a stall of its own process; an acknowledged probe counts for it. The higher the score, the longer
it waits before it suspects another, and the less often it probes.
"""


class LocalHealth:
    """A score from 0, healthy, to `max_score`."""

    __slots__ = ("max_score", "score")

    def __init__(self, max_score: int) -> None:
        self.score = 0
        self.max_score = max_score

    def adjust(self, delta: int) -> bool:
        """Add `delta` within the bounds; whether the score has changed."""
        before = self.score
        self.score = max(0, min(self.max_score, before + delta))
        return self.score != before

    def scale(self, duration_us: int) -> int:
        """A timeout in microseconds, multiplied by the score plus one."""
        return duration_us * (self.score + 1)
