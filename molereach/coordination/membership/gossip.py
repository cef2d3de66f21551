"""Rumours on their way: each rides on the next messages of this front door, the least told first.

Source: SWIM, section 4.1: told 3 log2(n + 1) times by each that has it, a rumour reaches all with high
probability; after that it is dropped here. What is missed all the same comes by `Sync`.
"""

import math
from collections.abc import Iterable

from molereach.coordination.membership.words import Rumour, Status, fit

TOLD_FACTOR = 3


def most_told(members: int) -> int:
    return TOLD_FACTOR * math.ceil(math.log2(members + 1))


class Gossip:
    """At most one rumour of each name, or one from each accuser that its suspicion counts."""

    __slots__ = ("told",)

    def __init__(self) -> None:
        self.told: dict[Rumour, int] = {}

    def spread(self, rumour: Rumour) -> None:
        """A rumour that is news here; what it replaces is told no more."""
        for other in [other for other in self.told if other.name == rumour.name]:
            both = other.status is rumour.status is Status.SUSPECT
            if not (both and (other.number, other.incarnation) == (rumour.number, rumour.incarnation)):
                del self.told[other]
        self.told[rumour] = 0

    def pick(self, members: int, most: int, first: Iterable[Rumour] = ()) -> tuple[Rumour, ...]:
        """What the next message carries: `first` in any case, then what was told the least."""
        before = tuple(first)
        if not self.told:
            return before
        waiting = sorted(self.told, key=self.told.__getitem__)
        chosen = tuple(fit((*before, *(rumour for rumour in waiting if rumour not in before)), most))
        limit = most_told(members)
        for rumour in chosen:
            if rumour in self.told:
                self.told[rumour] += 1
                if self.told[rumour] >= limit:
                    del self.told[rumour]
        return chosen
