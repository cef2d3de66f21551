"""How far a front door trusts itself: the local health multiplier of Lifeguard, section IV.A.

What speaks against it: a probe without an answer, a helper that did not even say `Nack`, a suspicion that
it had to refute, an own stall. What speaks for it: a probe that was answered. The higher the doubt, the
longer it waits before it accuses, and the more seldom it asks.
"""


class Doubt:
    """A level from 0 to `most`."""

    __slots__ = ("level", "most")

    def __init__(self, most: int) -> None:
        self.level, self.most = 0, most

    def change(self, by: int) -> bool:
        """Whether the level is another one now."""
        before = self.level
        self.level = max(0, min(self.most, before + by))
        return self.level != before

    def stretched(self, us: int) -> int:
        return us * (self.level + 1)
