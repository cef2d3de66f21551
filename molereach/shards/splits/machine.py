"""The state machine "shards": the map, and the splits that change it.

It decides by entries alone, and by the sessions and upkeep as of the same position. A proposer may be wrong,
late, dead, or propose twice: each step is checked against the table of transitions, the position that it
names, and its proof. Texts of rejected entries are part of the replicated state, so they name fields as they
are encoded.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from molereach.coordination.interface.log import Entry, Outcome
from molereach.shards.counts.messages import MAX_BYTES
from molereach.shards.map.history import MapHistory
from molereach.shards.map.range_split import split_error, split_map
from molereach.shards.map.shard_map import CellId, ShardMap, map_error
from molereach.shards.proof import SessionHistory, proof_error
from molereach.shards.splits.bodies import (
    MACHINE,
    AbandonSplit,
    ClearRange,
    CloseRange,
    CreateMap,
    HandOver,
    PlanSplit,
    Proof,
    StartCopy,
    decode,
)
from molereach.shards.splits.record import SplitRecord
from molereach.shards.splits.registry import MAX_OPEN, SplitRegistry
from molereach.shards.splits.states import TRANSITIONS, State, Step
from molereach.shards.splits.upkeep_status import UpkeepStatus

replace = msgspec.structs.replace


@dataclass(frozen=True, slots=True)
class SplitSettings:
    """Settings from the operator file, the same at every front door."""

    window_ms: int = 600_000  # the longest time for which backends recognize repeats of a keyed request


class RejectedEntryError(ValueError):
    """An entry that changes nothing, with the reason in one line."""


class ShardsMachine:
    """The `StateMachine` of shards. `sessions` and `upkeep` follow the same log to the same position."""

    name = MACHINE

    def __init__(self, settings: SplitSettings, sessions: SessionHistory, upkeep: UpkeepStatus) -> None:
        self.settings, self._sessions, self._upkeep = settings, sessions, upkeep
        self.registry = SplitRegistry()

    # --- queries ---

    @property
    def map(self) -> ShardMap | None:
        """The current map; None before the first one is created."""
        return self.registry.history.map if self.registry.history else None

    def has_shard(self, shard: int) -> bool:
        """Whether the map has this shard."""
        return shard in self.registry.base_bytes

    def base_bytes(self, shard: int) -> int:
        """Bytes to add to a shard's counted bytes for its size; negative if splits moved more away."""
        return self.registry.base_bytes.get(shard, 0)

    def split_in_progress(self, cell: CellId) -> str:
        """For upkeep: the ID of the split that occupies this cell; empty if there is none."""
        return self.registry.split_in_progress(cell)

    # --- entries ---

    def apply(self, entry: Entry) -> Outcome:
        """Apply an entry; the outcome's value is the record of the split, if the entry is about one."""
        try:
            body = decode(entry.body)
            record = _HANDLERS[type(body)](self, entry, body)
        except ValueError as error:
            return Outcome(str(error))
        return Outcome(value=msgspec.json.encode(record) if record else b"")

    def _create_map(self, entry: Entry, body: CreateMap) -> None:
        if self.registry.history:
            raise RejectedEntryError("there is a map")
        if len(body.shard_bytes) != len(body.ranges):
            raise RejectedEntryError("bytes: not one for each piece")
        initial = ShardMap(1, body.ranges, max((each.shard for each in body.ranges), default=1))
        if error := map_error(initial):
            raise RejectedEntryError(error)
        self.registry.history = MapHistory(initial)
        self.registry.base_bytes = {
            each.shard: size for each, size in zip(body.ranges, body.shard_bytes, strict=True)
        }

    def _plan(self, entry: Entry, body: PlanSplit) -> SplitRecord:
        if (existing := self.registry.get(body.id)) is not None:
            return existing
        shard_map = self.map
        if shard_map is None:
            raise RejectedEntryError("there is no map")
        if error := split_error(shard_map, body.shard, body.split_point, body.target):
            raise RejectedEntryError(error)
        if len(self.registry.open) >= MAX_OPEN:
            raise RejectedEntryError(f"id: more than {MAX_OPEN} splits are open")
        index = shard_map.index_of(body.shard)
        assert index is not None  # checked by `split_error`
        source = shard_map.ranges[index].cell
        for cell in (source, body.target):
            if conflict := self.split_conflict(cell):
                raise RejectedEntryError(conflict)
        return self.registry.put(
            SplitRecord(
                body.id,
                body.shard,
                body.split_point,
                shard_map.range_end(index),
                source,
                body.target,
                State.PLANNED,
                entry.position,
                entry.at_ms,
            )
        )

    def split_conflict(self, cell: CellId) -> str:
        """The open split that has this cell, as a line of text; a cell can be in only one."""
        return self.registry.open_split(cell)

    def _start_copy(self, entry: Entry, body: StartCopy) -> SplitRecord:
        record = self._next_record(entry, body.id, Step.COPY)
        if conflict := self.upkeep_conflict(record, entry.at_ms):
            raise RejectedEntryError(conflict)
        return self.registry.put(record)

    def upkeep_conflict(self, record: SplitRecord, at_ms: int) -> str:
        """The upkeep that occupies one of the split's cells, as a line of text; empty if both are free."""
        return next(
            (
                f"{cell.name}: {occupied}"
                for cell in record.cells
                if (occupied := self._upkeep.occupied(cell, at_ms))
            ),
            "",
        )

    def _close(self, entry: Entry, body: CloseRange) -> SplitRecord:
        record = self._next_record(entry, body.id, Step.CLOSE, body.expected_position)
        if error := self.proof_error(body.proof, body.expected_position):
            raise RejectedEntryError(f"proof: {error}")
        return self.registry.put(record)

    def _hand_over(self, entry: Entry, body: HandOver) -> SplitRecord:
        record = self._next_record(entry, body.id, Step.HAND_OVER, body.expected_position)
        history, base_bytes = self.registry.history, self.registry.base_bytes
        assert history is not None  # a split exists only with a map
        try:
            shard_map = split_map(history.map, record.shard, record.split_point, record.target)
        except ValueError as error:
            raise RejectedEntryError(str(error)) from None
        if base_bytes[record.shard] - body.range_bytes < -MAX_BYTES:
            raise RejectedEntryError("moved: more than there can be")
        history.append(shard_map)
        base_bytes[record.shard] -= body.range_bytes
        base_bytes[shard_map.last_shard] = body.range_bytes
        return self.registry.put(
            replace(record, new_shard=shard_map.last_shard, map_version=shard_map.version)
        )

    def _clear(self, entry: Entry, body: ClearRange) -> SplitRecord:
        record = self._next_record(entry, body.id, Step.CLEAR, body.expected_position)
        handed_over_ms = self.registry.open[body.id].since_ms
        if entry.at_ms - handed_over_ms < self.settings.window_ms:
            raise RejectedEntryError(f"window: {entry.at_ms - handed_over_ms} ms since the hand-over")
        if error := self.proof_error(body.proof, body.expected_position):
            raise RejectedEntryError(f"proof: {error}")
        return self.registry.put(record)

    def _abandon(self, entry: Entry, body: AbandonSplit) -> SplitRecord:
        record = self._next_record(entry, body.id, Step.ABANDON, body.expected_position)
        return self.registry.put(replace(record, reason=body.reason))

    # --- checks of a step ---

    def _next_record(
        self, entry: Entry, id: str, step: Step, expected_position: int | None = None
    ) -> SplitRecord:
        """The record after a step, not yet stored; the step itself may still be rejected."""
        record = self.registry.get(id)
        if record is None:
            raise RejectedEntryError(f"id: no split {id}")
        state = TRANSITIONS.get((record.state, step))
        if state is None:
            raise RejectedEntryError(f"step: {id} is {record.state.value}")
        if expected_position is not None and expected_position != record.position:
            raise RejectedEntryError(f"begun: {id} is {record.state.value} by {record.position}")
        return replace(record, state=state, position=entry.position, since_ms=entry.at_ms)

    def proof_error(self, proof: Proof, entry_position: int) -> str:
        """What a proof lacks, in one line; empty for a complete one."""
        return proof_error(proof, self._sessions, entry_position)

    # --- snapshots ---

    def snapshot(self) -> bytes:
        """The whole state as JSON, the same bytes wherever the same entries were applied."""
        return self.registry.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; ValueError, and no change, if it is malformed."""
        self.registry = SplitRegistry.restored(data)


_HANDLERS: dict[type, Callable[[ShardsMachine, Entry, Any], SplitRecord | None]] = {
    CreateMap: ShardsMachine._create_map,
    PlanSplit: ShardsMachine._plan,
    StartCopy: ShardsMachine._start_copy,
    CloseRange: ShardsMachine._close,
    HandOver: ShardsMachine._hand_over,
    ClearRange: ShardsMachine._clear,
    AbandonSplit: ShardsMachine._abandon,
}
