"""The whole state of the state machine: the map with its latest changes, and the splits, open and ended."""

from typing import Annotated

import msgspec
from msgspec import Meta, field

from molereach.coordination.interface.identifiers import WireStruct
from molereach.shards.counts.messages import MAX_BYTES
from molereach.shards.map.history import MapHistory
from molereach.shards.map.shard_map import MAX_SHARDS, CellId, ShardMap, map_error
from molereach.shards.splits.record import SplitRecord
from molereach.shards.splits.states import FINAL, IN_PROGRESS

MAX_OPEN = 64
MAX_ENDED = 128  # remembered, so that a repeated plan is recognized and backends still get their commands

ByteOffset = Annotated[int, Meta(ge=-MAX_BYTES, le=MAX_BYTES)]


class _State(WireStruct, frozen=True):
    """The snapshot."""

    map: ShardMap | None
    base_bytes: Annotated[tuple[ByteOffset, ...], Meta(max_length=MAX_SHARDS)] = field(
        name="base"
    )  # in the order of the map
    open: Annotated[tuple[SplitRecord, ...], Meta(max_length=MAX_OPEN)]
    ended: Annotated[tuple[SplitRecord, ...], Meta(max_length=MAX_ENDED)] = field(
        name="past"
    )  # in the order in which they ended


class SplitRegistry:
    """The state without any rules; splits change only by `put`."""

    def __init__(self) -> None:
        self.history: MapHistory | None = None
        self.base_bytes: dict[int, int] = {}  # by shard: to be added to what was counted for it
        self.open: dict[str, SplitRecord] = {}  # by ID
        self.ended: dict[str, SplitRecord] = {}

    def get(self, id: str) -> SplitRecord | None:
        """An open split, or one that ended and is still remembered."""
        return self.open.get(id) or self.ended.get(id)

    def put(self, record: SplitRecord) -> SplitRecord:
        """Add or replace a split; beyond `MAX_ENDED` the one that ended first is forgotten."""
        if record.state not in FINAL:
            self.open[record.id] = record
            return record
        self.open.pop(record.id, None)
        self.ended[record.id] = record
        if len(self.ended) > MAX_ENDED:
            del self.ended[next(iter(self.ended))]
        return record

    def open_split(self, cell: CellId) -> str:
        """The open split of a cell, as a line of text; empty if there is none."""
        return next(
            (
                f"{cell.name}: split {each.id} is {each.state.value}"
                for each in self.open.values()
                if cell in each.cells
            ),
            "",
        )

    def split_in_progress(self, cell: CellId) -> str:
        """The ID of the split that occupies a cell; empty if there is none. A planned one does not yet."""
        return next(
            (each.id for each in self.open.values() if cell in each.cells and each.state in IN_PROGRESS), ""
        )

    def snapshot(self) -> bytes:
        """The state as JSON, without the map's deltas: readers of older versions get the complete map."""
        shard_map = self.history.map if self.history else None
        base_bytes = tuple(self.base_bytes[each.shard] for each in shard_map.ranges) if shard_map else ()
        open_splits = tuple(self.open[id] for id in sorted(self.open))
        return msgspec.json.encode(_State(shard_map, base_bytes, open_splits, tuple(self.ended.values())))

    @classmethod
    def restored(cls, data: bytes) -> "SplitRegistry":
        """The state of a snapshot; ValueError if it is malformed."""
        try:
            state = msgspec.json.decode(data, type=_State)
        except msgspec.DecodeError as error:
            raise ValueError(f"not a snapshot of shards: {error}") from None
        ranges = state.map.ranges if state.map else ()
        if (state.map and map_error(state.map)) or len(state.base_bytes) != len(ranges) or not _valid(state):
            raise ValueError("not a snapshot of shards: no log leads to this state")
        registry = cls()
        registry.history = MapHistory(state.map) if state.map else None
        registry.base_bytes = {each.shard: size for each, size in zip(ranges, state.base_bytes, strict=True)}
        registry.open = {record.id: record for record in state.open}
        registry.ended = {record.id: record for record in state.ended}
        return registry


def _valid(state: _State) -> bool:
    """Whether each split is listed once, among the open or the ended ones, and each cell has at most one."""
    open_ids, ended_ids = [each.id for each in state.open], [each.id for each in state.ended]
    if open_ids != sorted(set(open_ids)) or len({*open_ids, *ended_ids}) != len(open_ids) + len(ended_ids):
        return False
    cells = [cell for each in state.open for cell in each.cells]
    is_final = [each.state in FINAL for each in state.ended]
    return len(set(cells)) == len(cells) and all(is_final) and not any(e.state in FINAL for e in state.open)
