"""The tree by rank: living front doors by name, the leader first; the parent of rank r is (r - 1) // fan."""

from collections.abc import Iterable
from functools import cached_property

from molereach.coordination.interface.identifiers import MAX_MEMBERS


class RankedTree:
    """One view of the tree; a new one is made for each change. `me` is always part of it."""

    def __init__(self, me: str, alive: Iterable[str] = (), leader: str | None = None, fan: int = 8) -> None:
        names = sorted({me, *alive} - {leader})[: MAX_MEMBERS - 1]
        if me != leader and me not in names:
            names[-1] = me
        self.local_name, self.leader, self.fanout = me, leader, fan
        self.names = [leader, *names] if leader is not None else names
        self.rank = {name: rank for rank, name in enumerate(self.names)}

    def parent_of(self, name: str | None) -> str | None:
        """None for the first, and for one that is not known here."""
        rank = self.rank.get(name, 0) if name is not None else 0
        return self.names[(rank - 1) // self.fanout] if rank else None

    @cached_property
    def parent(self) -> str | None:
        return self.parent_of(self.local_name)

    @cached_property
    def children(self) -> frozenset[str]:
        first = self.rank[self.local_name] * self.fanout + 1
        return frozenset(self.names[first : first + self.fanout])
