"""The tree by rank: the leader, then the live proxies by name; the parent of rank r is (r - 1) // fanout."""

from collections.abc import Iterable
from functools import cached_property

from molereach.coordination.interface.identifiers import MAX_MEMBERS


class RankedTree:
    """An immutable tree, replaced on each change. It always contains the local proxy."""

    def __init__(
        self, local_name: str, live: Iterable[str] = (), leader: str | None = None, fanout: int = 8
    ) -> None:
        names = sorted({local_name, *live} - {leader})[: MAX_MEMBERS - 1]
        if local_name != leader and local_name not in names:
            names[-1] = local_name
        self.local_name = local_name
        self.leader = leader
        self.fanout = fanout
        self.names = [leader, *names] if leader is not None else names
        self.rank = {name: rank for rank, name in enumerate(self.names)}

    def parent_of(self, name: str | None) -> str | None:
        """The parent by rank; None for the first proxy and for unknown names."""
        rank = self.rank.get(name, 0) if name is not None else 0
        return self.names[(rank - 1) // self.fanout] if rank else None

    @cached_property
    def parent(self) -> str | None:
        """The local proxy's parent by rank."""
        return self.parent_of(self.local_name)

    @cached_property
    def children(self) -> frozenset[str]:
        """The local proxy's children by rank."""
        first = self.rank[self.local_name] * self.fanout + 1
        return frozenset(self.names[first : first + self.fanout])
