"""Subsets of many proxies over one endpoint list, with the lookups that depend on the list alone done once.

These are the list's order on the ring and the substitutes of each backend. The proxy's own code computes
them; a change of the list clears the cache.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterator, Sequence
from itertools import chain, islice

from molereach.subsetting.placement import RING_SIZE
from molereach.subsetting.ring import Ring
from molereach.subsetting.subset import EndpointIndex, Subset

# Records by name, and the scopes of the record that they replace.
Substitutes = tuple[dict[bytes, bytes], list[set[int]]]


class SharedRing(Ring):
    """A ring that caches the order of the endpoints that are up."""

    __slots__ = ("up_backwards", "up_positions")

    def __init__(self) -> None:
        super().__init__()
        # Endpoints that are up, from the ring's end backwards; empty: not cached.
        self.up_backwards: list[tuple[int, bytes]] = []
        self.up_positions: list[int] = []  # their positions, from the ring's start

    def clear_cache(self) -> None:
        """Clear the cached order."""
        self.up_backwards, self.up_positions = [], []

    def up_backwards_from(self, start: int) -> Iterator[tuple[int, bytes]]:
        """Yield the endpoints that are up, backwards around the ring from `start`."""
        if not self.up_backwards:
            self.up_backwards = list(super().up_backwards_from(RING_SIZE - 1))
            self.up_positions = [position for position, _ in reversed(self.up_backwards)]
        first = len(self.up_positions) - bisect_left(self.up_positions, start + 1)
        return chain(islice(self.up_backwards, first, None), islice(self.up_backwards, first))


class SharedEndpointIndex(EndpointIndex):
    """An endpoint index that caches its order and the substitutes of each record."""

    __slots__ = ("shared_ring", "substitutes")

    def __init__(self, kinds: Sequence[Callable[[bytes], int]]) -> None:
        super().__init__(kinds)
        self.shared_ring = self.ring = SharedRing()
        self.substitutes: dict[bytes, Substitutes] = {}  # by the record that they replace

    def put(self, position: int, record: bytes) -> bytes | None:
        """Add or replace a record and clear the caches."""
        self.clear_cache()
        return super().put(position, record)

    def remove(self, position: int, name: bytes) -> bytes | None:
        """Remove a record and clear the caches."""
        self.clear_cache()
        return super().remove(position, name)

    def clear_cache(self) -> None:
        """Clear the cached order and substitutes."""
        self.shared_ring.clear_cache()
        self.substitutes.clear()


class SharedSubset(Subset):
    """A subset that takes the substitutes of its members from the shared index."""

    __slots__ = ()

    def add_substitutes(self, index: EndpointIndex, position: int, record: bytes) -> None:
        """Add the substitutes of a record, found once for all subsets."""
        if not index.groups:
            return
        assert isinstance(index, SharedEndpointIndex)
        cached = index.substitutes.get(record)
        if cached is None:
            cached = index.substitutes[record] = self.find_substitutes(index, position, record)
        self.members.update(cached[0])
        for scope, added in zip(self.scopes, cached[1], strict=True):
            scope |= added

    def find_substitutes(self, index: EndpointIndex, position: int, record: bytes) -> Substitutes:
        """Find a record's substitutes by the proxy's own code, in an empty subset."""
        empty = Subset(self.proxy_position, self.min_distance, self.min_size)
        empty.scopes = [set() for _ in index.groups]
        empty.add_substitutes(index, position, record)
        return empty.members, empty.scopes
