"""How reliable this proxy is as an observer: the local health multiplier of Lifeguard, section IV.A.

A probe without an ack, a helper that sent neither ack nor nack, a suspicion of itself that it had to refute,
and a stall of its own process raise the score; an acknowledged probe lowers it. The higher the score, the
longer the proxy waits before it suspects another member, and the less often it probes.
"""


class LocalHealth:
    """A score from 0 (healthy) to `max_score`."""

    __slots__ = ("max_score", "score")

    def __init__(self, max_score: int) -> None:
        self.score = 0
        self.max_score = max_score

    def adjust(self, delta: int) -> bool:
        """Add `delta`, clamped to the bounds; returns whether the score changed."""
        before = self.score
        self.score = max(0, min(self.max_score, before + delta))
        return self.score != before

    def scale(self, duration_us: int) -> int:
        """Multiply a timeout or interval by the score plus one."""
        return duration_us * (self.score + 1)
