"""Groups of backends that can substitute each other: those of one deduplication scope, a zone or cell.

A request with an idempotency key that may have been executed is retried only within its deduplication scope.
A subset that has a backend of a group therefore also has the next ones of the group, in the order of their
positions, from the last on to the first. No I/O.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator

from molereach.policy.interface.settings import DeduplicationScope, Idempotency, Settings
from molereach.subsetting.packed_records import cell_of, zone_of

SUBSTITUTE_COUNT = 2  # for each member of a subset and each kind of group: enough for two retries

ScopeKey = Callable[[bytes], int]
"""Returns the number of the zone or cell of a record."""


class IdempotencyGroups:
    """The sorted positions of backends that are up, by zone or by cell."""

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
        """The positions of the next backends after one in its group."""
        positions = self.positions_by_scope[self.scope_of(record)]
        next_index = bisect_right(positions, position)
        for step in range(min(SUBSTITUTE_COUNT, len(positions) - 1)):
            yield positions[(next_index + step) % len(positions)]


def scope_keys(settings: Settings) -> list[ScopeKey]:
    """Keys of the kinds of groups, zones or cells, to which some request class restricts its retries."""
    scopes = {
        request_class.deduplication_scope
        for request_class in settings.classes
        if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    }
    keys = ((DeduplicationScope.ZONE, zone_of), (DeduplicationScope.CELL, cell_of))
    return [key for scope, key in keys if scope in scopes]
