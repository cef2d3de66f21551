"""Backends that can substitute each other: those of a cell or zone within which repeats are dropped. A core.

A request with an idempotency key that may have run is retried within its deduplication scope alone. So a
subset that holds one backend of a group holds the next ones as well, in the order of their positions, round
the group.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator

from molereach.policy.interface.settings import DeduplicationScope, Idempotency, Settings
from molereach.subsetting.packed_records import cell_of, zone_of

SUBSTITUTES = 2  # of each backend in a subset, for each kind of group: enough for two retries

ScopeKey = Callable[[bytes], int]
"""The number of the zone or cell of a record."""


class IdempotencyGroups:
    """The positions of backends that are up, by zone or by cell."""

    __slots__ = ("positions_by_scope", "scope_of")

    def __init__(self, scope_of: ScopeKey) -> None:
        self.scope_of = scope_of
        self.positions_by_scope: dict[int, array[int]] = {}

    def add(self, position: int, record: bytes) -> None:
        """Add a backend that is up."""
        scope = self.scope_of(record)
        positions = self.positions_by_scope.get(scope)
        if positions is None:
            positions = array("Q")
            self.positions_by_scope[scope] = positions
        positions.insert(bisect_left(positions, position), position)

    def remove(self, position: int, record: bytes) -> None:
        """Remove a backend that was added."""
        scope = self.scope_of(record)
        positions = self.positions_by_scope[scope]
        del positions[bisect_left(positions, position)]
        if not positions:
            del self.positions_by_scope[scope]

    def substitutes(self, position: int, record: bytes) -> Iterator[int]:
        """The positions of the backends next after one in its group."""
        positions = self.positions_by_scope[self.scope_of(record)]
        after = bisect_right(positions, position)
        for step in range(min(SUBSTITUTES, len(positions) - 1)):
            yield positions[(after + step) % len(positions)]


def scope_keys(settings: Settings) -> list[ScopeKey]:
    """The kinds of groups, zones and cells, to which some request class binds its retries."""
    scopes = {
        request_class.deduplication_scope
        for request_class in settings.classes
        if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    }
    keys = ((DeduplicationScope.ZONE, zone_of), (DeduplicationScope.CELL, cell_of))
    return [key for scope, key in keys if scope in scopes]
