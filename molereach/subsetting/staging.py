"""Entries of one object that comes in parts: packed as they come, so that few bytes hold them. A core."""

from array import array
from collections import deque
from collections.abc import Iterator, Mapping, Sequence

from molereach.policy.interface.events import Endpoint, EndpointState
from molereach.subsetting.entry_budget import Room
from molereach.subsetting.interface import Address, ListError
from molereach.subsetting.packed_records import name_bytes, pack
from molereach.subsetting.placement import place_of

STEP_ENTRIES = 500  # taken over in one turn: some milliseconds
Entry = tuple[int, bytes, bool]  # the place, the record (or the name of one that is gone), whether it is gone


def entry_of(server: Endpoint, address: Address | None) -> Entry:
    name = name_bytes(server.name)
    if server.state is EndpointState.GONE:
        return place_of(name), name, True
    return place_of(name), pack(server, address, name), False


class Slice:
    """Some entries, without an object of the collector's for each: to look through 100,000 of them takes it a
    turn of its own. One that is gone has its name for a record, and stands in `gone` by its number."""

    __slots__ = ("gone", "places", "records")

    def __init__(self) -> None:
        self.places, self.records, self.gone = array("Q"), list[bytes](), set[int]()

    def append(self, place: int, record: bytes, gone: bool) -> None:
        if gone:
            self.gone.add(len(self.records))
        self.places.append(place)
        self.records.append(record)

    def __iter__(self) -> Iterator[Entry]:
        for number, (place, record) in enumerate(zip(self.places, self.records, strict=True)):
            yield place, record, number in self.gone


class Staging:
    """In the order in which they came; `most` of them at most, and no more than there is room for.

    They stand in slices that are let go of one by one: to free 100,000 at once takes a turn of its own."""

    __slots__ = ("__weakref__", "count", "held", "most", "room", "slices")

    def __init__(self, most: int, room: Room | None = None) -> None:
        """Without a `room` for what came whole, and so is few entries for a moment."""
        self.slices: deque[Slice] = deque()
        self.most, self.room = most, room
        self.count = self.held = 0  # all that came, and those that have not been taken

    def add(self, servers: Sequence[Endpoint], addresses: Mapping[str, Address]) -> None:
        """ListError where the list needs more memory than it may have; RoomError where others have it."""
        if self.count + len(servers) > self.most:
            raise ListError(f"a list of over {self.most} entries has no room in memory")
        if self.room:
            self.room.need(len(servers))
        for server in servers:
            self.append(entry_of(server, addresses.get(server.name)))

    def append(self, entry: Entry) -> None:
        if not self.slices or len(self.slices[-1].records) >= STEP_ENTRIES:
            self.slices.append(Slice())
        self.slices[-1].append(*entry)
        self.count += 1
        self.held += 1

    def take(self) -> Iterator[Slice]:
        """Each slice once."""
        while self.slices:
            some = self.slices.popleft()
            self.held -= len(some.records)
            yield some
