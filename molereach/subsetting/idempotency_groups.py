"""Which backends stand in for each other: those of a cell or a zone, where repeats are dropped there. A core.

A keyed request that may have run is repeated within its group alone. So a view that holds one of a group
holds its next ones as well, in the order of their places, round the group.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator

from molereach.policy.interface.settings import DeduplicationScope, Idempotency, Settings
from molereach.subsetting.packed_records import cell_of, zone_of

STANDINS = 2  # of each backend in a view, of each kind of group: for two repeats


class Groups:
    """The places of those that are up, by their groups of one kind."""

    __slots__ = ("members", "of")

    def __init__(self, of: Callable[[bytes], int]) -> None:
        self.of = of
        self.members: dict[int, array[int]] = {}

    def add(self, place: int, record: bytes) -> None:
        group = self.of(record)
        places = self.members.get(group)
        if places is None:
            places = self.members[group] = array("Q")
        places.insert(bisect_left(places, place), place)

    def remove(self, place: int, record: bytes) -> None:
        group = self.of(record)
        places = self.members[group]
        del places[bisect_left(places, place)]
        if not places:
            del self.members[group]

    def standins(self, place: int, record: bytes) -> Iterator[int]:
        """The places of the next ones after it."""
        places = self.members[self.of(record)]
        after = bisect_right(places, place)
        for step in range(min(STANDINS, len(places) - 1)):
            yield places[(after + step) % len(places)]


def kinds(settings: Settings) -> list[Callable[[bytes], int]]:
    """The kinds of groups within which some class is repeated."""
    groups = {
        rule.deduplication_scope
        for rule in settings.classes
        if rule.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    }
    return [
        of
        for kind, of in ((DeduplicationScope.ZONE, zone_of), (DeduplicationScope.CELL, cell_of))
        if kind in groups
    ]
