"""All that the state machine keeps: the map with its last changes, and the splits, open and past."""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import WireStruct
from molereach.shards.counts.messages import MOST_BYTES
from molereach.shards.map.history import History
from molereach.shards.map.shard_map import MOST_SHARDS, Home, ShardMap, unsound
from molereach.shards.splits.record import Record
from molereach.shards.splits.states import AT_WORK, FINAL

MOST_OPEN = 64
MOST_PAST = 128  # remembered, so that one proposed again is known, and servers are told again

Bytes = Annotated[int, Meta(ge=-MOST_BYTES, le=MOST_BYTES)]


class _State(WireStruct, frozen=True):
    map: ShardMap | None
    base: Annotated[tuple[Bytes, ...], Meta(max_length=MOST_SHARDS)]  # in the order of the map
    open: Annotated[tuple[Record, ...], Meta(max_length=MOST_OPEN)]
    past: Annotated[tuple[Record, ...], Meta(max_length=MOST_PAST)]  # as they ended


class Book:
    """Plain state; `put` is the way in which splits change."""

    def __init__(self) -> None:
        self.history: History | None = None
        self.base: dict[int, int] = {}  # by shard
        self.open: dict[str, Record] = {}  # by id
        self.past: dict[str, Record] = {}

    def get(self, id: str) -> Record | None:
        return self.open.get(id) or self.past.get(id)

    def put(self, record: Record) -> Record:
        if record.state not in FINAL:
            self.open[record.id] = record
            return record
        self.open.pop(record.id, None)
        self.past[record.id] = record
        if len(self.past) > MOST_PAST:
            del self.past[next(iter(self.past))]
        return record

    def split_of(self, home: Home) -> str:
        """What to say where a split of this cell is open; empty where none is."""
        return next(
            (
                f"{home.cell}: split {each.id} is {each.state.value}"
                for each in self.open.values()
                if home in each.homes
            ),
            "",
        )

    def at_work(self, home: Home) -> str:
        return next(
            (each.id for each in self.open.values() if home in each.homes and each.state in AT_WORK), ""
        )

    def snapshot(self) -> bytes:
        """The history's deltas are not in it: who is further behind is given the whole map."""
        found = self.history.map if self.history else None
        base = tuple(self.base[piece.shard] for piece in found.pieces) if found else ()
        opened = tuple(self.open[id] for id in sorted(self.open))
        return msgspec.json.encode(_State(found, base, opened, tuple(self.past.values())))

    @classmethod
    def restored(cls, data: bytes) -> "Book":
        """ValueError where it makes no sense."""
        try:
            state = msgspec.json.decode(data, type=_State)
        except msgspec.DecodeError as error:
            raise ValueError(f"not a snapshot of shards: {error}") from None
        pieces = state.map.pieces if state.map else ()
        if (state.map and unsound(state.map)) or len(state.base) != len(pieces) or not _sound(state):
            raise ValueError("not a snapshot of shards: not as any log leaves it")
        book = cls()
        book.history = History(state.map) if state.map else None
        book.base = {piece.shard: size for piece, size in zip(pieces, state.base, strict=True)}
        book.open = {record.id: record for record in state.open}
        book.past = {record.id: record for record in state.past}
        return book


def _sound(state: _State) -> bool:
    """Whether each split is there once, and where it belongs."""
    opened, past = [each.id for each in state.open], [each.id for each in state.past]
    if opened != sorted(set(opened)) or len({*opened, *past}) != len(opened) + len(past):
        return False
    homes = [home for each in state.open for home in each.homes]
    ended = [each.state in FINAL for each in state.past]
    return len(set(homes)) == len(homes) and all(ended) and not any(e.state in FINAL for e in state.open)
