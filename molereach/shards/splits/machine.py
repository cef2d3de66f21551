"""The state machine "shards": the map, and the splits that change it.

It decides by entries alone, and by what the sessions and upkeep are at the same position. Whoever proposes
may be wrong, late, doubled or dead: the table, the position that a step names and its proof are asked each
time.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from molereach.coordination.interface.log import Entry, Outcome
from molereach.shards.counts.messages import MOST_BYTES
from molereach.shards.map.history import History
from molereach.shards.map.range_split import after, wrong
from molereach.shards.map.shard_map import Home, ShardMap, unsound
from molereach.shards.proof import SessionsAt, fault
from molereach.shards.splits.bodies import (
    MACHINE,
    Clear,
    Close,
    Copy,
    Found,
    GiveUp,
    Hand,
    Plan,
    Proof,
    decode,
)
from molereach.shards.splits.record import Record
from molereach.shards.splits.registry import MOST_OPEN, Book
from molereach.shards.splits.states import TABLE, State, Step
from molereach.shards.splits.upkeep_view import Rooms

replace = msgspec.structs.replace


@dataclass(frozen=True, slots=True)
class SplitSettings:
    """The same at every front door: of the operator file."""

    window_ms: int = 600_000  # the longest in which servers drop repeats of a keyed request


class RefusedError(ValueError):
    """An entry changes nothing; the text is one plain line."""


class Shards:
    """A `StateMachine`. `sessions` and `rooms` are of the same log, applied to the same position."""

    name = MACHINE

    def __init__(self, settings: SplitSettings, sessions: SessionsAt, rooms: Rooms) -> None:
        self.settings, self._sessions, self._rooms = settings, sessions, rooms
        self.book = Book()

    # --- what is asked of it ---

    @property
    def map(self) -> ShardMap | None:
        return self.book.history.map if self.book.history else None

    def counted(self, shard: int) -> bool:
        """Whether it is one of the map."""
        return shard in self.book.base

    def base(self, shard: int) -> int:
        """Bytes to add to what was counted for a shard, for its size; below 0 where more was moved away."""
        return self.book.base.get(shard, 0)

    def at_work(self, home: Home) -> str:
        """For upkeep: the split that has this cell, if one has."""
        return self.book.at_work(home)

    # --- entries ---

    def apply(self, entry: Entry) -> Outcome:
        try:
            body = decode(entry.body)
            record = _TAKES[type(body)](self, entry, body)
        except ValueError as error:
            return Outcome(str(error))
        return Outcome(value=msgspec.json.encode(record) if record else b"")

    def _found(self, entry: Entry, body: Found) -> None:
        if self.book.history:
            raise RefusedError("there is a map")
        if len(body.bytes) != len(body.pieces):
            raise RefusedError("bytes: not one for each piece")
        first = ShardMap(1, body.pieces, max((piece.shard for piece in body.pieces), default=1))
        if said := unsound(first):
            raise RefusedError(said)
        self.book.history = History(first)
        self.book.base = {piece.shard: size for piece, size in zip(body.pieces, body.bytes, strict=True)}

    def _plan(self, entry: Entry, body: Plan) -> Record:
        if (there := self.book.get(body.id)) is not None:
            return there
        found = self.map
        if found is None:
            raise RefusedError("there is no map")
        if said := wrong(found, body.shard, body.cut, body.to):
            raise RefusedError(said)
        if len(self.book.open) >= MOST_OPEN:
            raise RefusedError(f"id: more than {MOST_OPEN} splits are open")
        index = found.find(body.shard)
        assert index is not None  # as the map was asked
        home = found.pieces[index].home
        for each in (home, body.to):
            if said := self.in_the_way(each):
                raise RefusedError(said)
        return self.book.put(
            Record(
                body.id,
                body.shard,
                body.cut,
                found.end(index),
                home,
                body.to,
                State.PLANNED,
                entry.position,
                entry.at_ms,
            )
        )

    def in_the_way(self, home: Home) -> str:
        """The split of a cell that is open; there is one at most."""
        return self.book.split_of(home)

    def _copy(self, entry: Entry, body: Copy) -> Record:
        record = self._stepped(entry, body.id, Step.COPY)
        if said := self.no_room(record, entry.at_ms):
            raise RefusedError(said)
        return self.book.put(record)

    def no_room(self, record: Record, at_ms: int) -> str:
        """The upkeep that has one of the cells."""
        return next(
            (f"{home.cell}: {said}" for home in record.homes if (said := self._rooms.taken(home, at_ms))), ""
        )

    def _close(self, entry: Entry, body: Close) -> Record:
        record = self._stepped(entry, body.id, Step.CLOSE, body.begun)
        if said := self.fault(body.proof, body.begun):
            raise RefusedError(f"proof: {said}")
        return self.book.put(record)

    def _hand(self, entry: Entry, body: Hand) -> Record:
        record = self._stepped(entry, body.id, Step.HAND, body.begun)
        history, base = self.book.history, self.book.base
        assert history is not None  # as there is a split
        try:
            now = after(history.map, record.shard, record.cut, record.to)
        except ValueError as error:
            raise RefusedError(str(error)) from None
        if base[record.shard] - body.moved < -MOST_BYTES:
            raise RefusedError("moved: more than there can be")
        history.put(now)
        base[record.shard] -= body.moved
        base[now.last_shard] = body.moved
        return self.book.put(replace(record, new=now.last_shard, version=now.version))

    def _clear(self, entry: Entry, body: Clear) -> Record:
        record = self._stepped(entry, body.id, Step.CLEAR, body.begun)
        handed_ms = self.book.open[body.id].since_ms
        if entry.at_ms - handed_ms < self.settings.window_ms:
            raise RefusedError(f"window: {entry.at_ms - handed_ms} ms since the hand-over")
        if said := self.fault(body.proof, body.begun):
            raise RefusedError(f"proof: {said}")
        return self.book.put(record)

    def _give_up(self, entry: Entry, body: GiveUp) -> Record:
        record = self._stepped(entry, body.id, Step.GIVE_UP, body.begun)
        return self.book.put(replace(record, why=body.why))

    # --- what each step asks for ---

    def _stepped(self, entry: Entry, id: str, step: Step, begun: int | None = None) -> Record:
        """The record after the step, not yet put."""
        record = self.book.get(id)
        if record is None:
            raise RefusedError(f"id: no split {id}")
        state = TABLE.get((record.state, step))
        if state is None:
            raise RefusedError(f"step: {id} is {record.state.value}")
        if begun is not None and begun != record.position:
            raise RefusedError(f"begun: {id} is {record.state.value} by {record.position}")
        return replace(record, state=state, position=entry.position, since_ms=entry.at_ms)

    def fault(self, proof: Proof, begun: int) -> str:
        return fault(proof, self._sessions, begun)

    # --- snapshots ---

    def snapshot(self) -> bytes:
        return self.book.snapshot()

    def restore(self, data: bytes) -> None:
        self.book = Book.restored(data)


_TAKES: dict[type, Callable[[Shards, Entry, Any], Record | None]] = {
    Found: Shards._found,
    Plan: Shards._plan,
    Copy: Shards._copy,
    Close: Shards._close,
    Hand: Shards._hand,
    Clear: Shards._clear,
    GiveUp: Shards._give_up,
}
