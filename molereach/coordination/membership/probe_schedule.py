"""The order in which members are probed.

Source: SWIM, section 4.3: round robin over a shuffled list bounds the time between two probes of a member to
two rounds.
"""

from collections.abc import Callable, Iterable

RandomSource = Callable[[], float]  # uniform in [0, 1)


def sample(names: Iterable[str], count: int, draw: RandomSource) -> list[str]:
    """Up to `count` names chosen at random, in the order in which they are drawn."""
    remaining = list(names)
    chosen = list[str]()
    while remaining and len(chosen) < count:
        index = min(len(remaining) - 1, int(draw() * len(remaining)))
        remaining[index], remaining[-1] = remaining[-1], remaining[index]
        chosen.append(remaining.pop())
    return chosen


class ProbeSchedule:
    """The live members, each once per round; the order is shuffled for each round."""

    __slots__ = ("draw", "index", "names")

    def __init__(self, draw: RandomSource) -> None:
        self.names: list[str] = []
        self.index = 0
        self.draw = draw

    def add(self, name: str) -> None:
        """Insert at a random position, so that a new member is not probed by all others at once."""
        position = int(self.draw() * (len(self.names) + 1))
        self.names.insert(position, name)
        self.index += position < self.index

    def remove(self, name: str) -> None:
        """Remove a member; raises ValueError if it is not scheduled."""
        position = self.names.index(name)
        del self.names[position]
        self.index -= position < self.index

    def next(self) -> str | None:
        """The next member to probe; None if there are no other members."""
        if self.index >= len(self.names):
            self.names = sample(self.names, len(self.names), self.draw)
            self.index = 0
        if not self.names:
            return None
        self.index += 1
        return self.names[self.index - 1]
