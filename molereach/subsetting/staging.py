"""Entries of one list that is received in parts; each is packed on arrival. No I/O.

The entries are kept in slices that are released one at a time. To free 100,000 entries at once would block
the event loop, and so would a garbage collection that has to traverse one object for each entry.
"""

from array import array
from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import Endpoint, EndpointState
from molereach.subsetting.entry_budget import EntryBudget
from molereach.subsetting.interface import EndpointListError
from molereach.subsetting.packed_records import encode_name, pack
from molereach.subsetting.placement import backend_position

STEP_ENTRIES = 500  # processed in one turn of the event loop: some milliseconds


class StagedEntry(NamedTuple):
    """One entry: its position, and its record, or its encoded name if it is a removal."""

    position: int
    record: bytes
    is_removed: bool


def entry_of(endpoint: Endpoint, address: EndpointAddress | None) -> StagedEntry:
    """The entry for an endpoint; raises EndpointListError if it does not fit into a record."""
    name = encode_name(endpoint.name)
    if endpoint.state is EndpointState.REMOVED:
        return StagedEntry(backend_position(name), name, True)
    return StagedEntry(backend_position(name), pack(endpoint, address, name), False)


class EntrySlice:
    """Some entries, stored by column; `removed_indexes` has the indexes of removals."""

    __slots__ = ("positions", "records", "removed_indexes")

    def __init__(self) -> None:
        self.positions = array("Q")
        self.records = list[bytes]()
        self.removed_indexes = set[int]()

    def append(self, position: int, record: bytes, is_removed: bool) -> None:
        """Add an entry at the end."""
        if is_removed:
            self.removed_indexes.add(len(self.records))
        self.positions.append(position)
        self.records.append(record)

    def __iter__(self) -> Iterator[StagedEntry]:
        """The entries in order."""
        for index, (position, record) in enumerate(zip(self.positions, self.records, strict=True)):
            yield StagedEntry(position, record, index in self.removed_indexes)


class Staging:
    """Entries in order of arrival: at most `max_entries`, and within the budget."""

    __slots__ = ("__weakref__", "added_count", "budget", "entry_count", "max_entries", "slices")

    def __init__(self, max_entries: int, budget: EntryBudget | None = None) -> None:
        """`budget`: None for a list received in one part, whose few entries are staged only briefly."""
        self.slices: deque[EntrySlice] = deque()
        self.max_entries = max_entries
        self.budget = budget
        self.added_count = 0
        self.entry_count = 0  # in the slices that are not consumed yet

    def add(self, endpoints: Sequence[Endpoint], addresses: Mapping[str, EndpointAddress]) -> None:
        """Add the entries of a part.

        Raises EndpointListError if the list would have too many entries, EntryBudgetExceededError if other
        lists use the memory.
        """
        if self.added_count + len(endpoints) > self.max_entries:
            raise EndpointListError(f"a list of over {self.max_entries} entries has no room in memory")
        if self.budget:
            self.budget.require(len(endpoints))
        for endpoint in endpoints:
            self.append(entry_of(endpoint, addresses.get(endpoint.name)))

    def append(self, entry: StagedEntry) -> None:
        """Add one entry without checking the limits."""
        if not self.slices or len(self.slices[-1].records) >= STEP_ENTRIES:
            self.slices.append(EntrySlice())
        self.slices[-1].append(*entry)
        self.added_count += 1
        self.entry_count += 1

    def consume_slices(self) -> Iterator[EntrySlice]:
        """Remove the slices one at a time and yield them."""
        while self.slices:
            consumed = self.slices.popleft()
            self.entry_count -= len(consumed.records)
            yield consumed
