"""Entries of one list that arrives in pieces, packed as they arrive. A core.

The entries are in slices that are released one by one: to free 100,000 of them at once, or to have the
garbage collector look through one object for each, would block the event loop.
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

STEP_ENTRIES = 500  # taken over in one turn of the event loop: some milliseconds


class StagedEntry(NamedTuple):
    """One entry: its position, its record or, where it is removed, its encoded name."""

    position: int
    record: bytes
    is_removed: bool


def entry_of(server: Endpoint, address: EndpointAddress | None) -> StagedEntry:
    """The entry of an endpoint; raises EndpointListError where it fits no record."""
    name = encode_name(server.name)
    if server.state is EndpointState.REMOVED:
        return StagedEntry(backend_position(name), name, True)
    return StagedEntry(backend_position(name), pack(server, address, name), False)


class EntrySlice:
    """Some entries, by column; those that are removed are in `removed_numbers` by their index."""

    __slots__ = ("positions", "records", "removed_numbers")

    def __init__(self) -> None:
        self.positions = array("Q")
        self.records = list[bytes]()
        self.removed_numbers = set[int]()

    def append(self, position: int, record: bytes, is_removed: bool) -> None:
        """Add an entry at the end."""
        if is_removed:
            self.removed_numbers.add(len(self.records))
        self.positions.append(position)
        self.records.append(record)

    def __iter__(self) -> Iterator[StagedEntry]:
        """The entries in order."""
        for number, (position, record) in enumerate(zip(self.positions, self.records, strict=True)):
            yield StagedEntry(position, record, number in self.removed_numbers)


class Staging:
    """Entries in the order in which they arrived: `max_entries` at most, within the budget."""

    __slots__ = ("__weakref__", "added_count", "budget", "entry_count", "max_entries", "slices")

    def __init__(self, max_entries: int, budget: EntryBudget | None = None) -> None:
        """Without a budget for a list that arrived in one piece, which is a few entries for a moment."""
        self.slices: deque[EntrySlice] = deque()
        self.max_entries = max_entries
        self.budget = budget
        self.added_count = 0
        self.entry_count = 0  # of the slices that are not consumed

    def add(self, servers: Sequence[Endpoint], addresses: Mapping[str, EndpointAddress]) -> None:
        """Add the entries of a piece.

        Raises EndpointListError where the list would have too many entries, EntryBudgetExceededError where
        other lists use the memory.
        """
        if self.added_count + len(servers) > self.max_entries:
            raise EndpointListError(f"a list of over {self.max_entries} entries has no room in memory")
        if self.budget:
            self.budget.require(len(servers))
        for server in servers:
            self.append(entry_of(server, addresses.get(server.name)))

    def append(self, entry: StagedEntry) -> None:
        """Add one entry, whatever the bounds."""
        if not self.slices or len(self.slices[-1].records) >= STEP_ENTRIES:
            self.slices.append(EntrySlice())
        self.slices[-1].append(*entry)
        self.added_count += 1
        self.entry_count += 1

    def consume_slices(self) -> Iterator[EntrySlice]:
        """Each slice once; what was consumed is no longer held here."""
        while self.slices:
            consumed = self.slices.popleft()
            self.entry_count -= len(consumed.records)
            yield consumed
