"""The state machine "counts": what was counted by lives that are over.

A life is folded once its session is not open. It is kept apart by itself as long as it may come back, or a
front door may hold a later word of it; then it goes into the base, and no word of it counts. Where there is
no room, the one that was folded first of those that are dead, or whose name the sessions have dropped, goes
into the base without proof, and is counted in `hurried`; if its process comes back it must start anew.
"""

from typing import Annotated, Protocol

import msgspec
from msgspec import Meta

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import (
    InstanceNumber,
    Name,
    NodeInstance,
    Position,
    WireStruct,
)
from molereach.coordination.interface.log import Entry, Outcome
from molereach.shards.counts.bodies import MACHINE, Fold, Forget, decode
from molereach.shards.counts.counter import NONE, Count, rows
from molereach.shards.counts.messages import MOST_ROWS, Row
from molereach.shards.proof import SessionsAt, fault

MOST_KEPT_ROWS = 16_384  # of lives that are kept apart
MOST_NAMES = 4096  # of front doors, ever, of which a life was forgotten


class Shards(Protocol):
    """Of the state machine "shards", as the log has it at the same position."""

    def counted(self, shard: int) -> bool:
        """Whether it is one of the map."""


class _Kept(WireStruct, frozen=True):
    life: NodeInstance
    begun: Position  # at which it was first folded
    rows: Annotated[tuple[Row, ...], Meta(max_length=MOST_ROWS)]


class _State(WireStruct, frozen=True):
    base: Annotated[tuple[Row, ...], Meta(max_length=MOST_ROWS)]
    kept: Annotated[tuple[_Kept, ...], Meta(max_length=MOST_KEPT_ROWS)]
    horizon: Annotated[dict[Name, InstanceNumber], Meta(max_length=MOST_NAMES)]
    hurried: Annotated[int, Meta(ge=0, le=1 << 53)]


class Folds:
    """A `StateMachine`, and `Folded` for those who count."""

    name = MACHINE

    def __init__(self, sessions: SessionsAt, shards: Shards, most_rows: int = MOST_KEPT_ROWS) -> None:
        self._sessions, self._shards, self._most_rows = sessions, shards, most_rows
        self._base: dict[int, Count] = {}
        self._kept: dict[NodeInstance, dict[int, Count]] = {}
        self._begun: dict[NodeInstance, int] = {}
        self._horizon: dict[str, int] = {}
        self.hurried = 0

    # --- what is asked of it ---

    def base(self) -> dict[int, Count]:
        return self._base

    def kept(self) -> dict[NodeInstance, dict[int, Count]]:
        return self._kept

    def begun(self, life: NodeInstance) -> int | None:
        return self._begun.get(life)

    def forgotten(self, life: NodeInstance) -> bool:
        return life.number <= self._horizon.get(life.name, -1)

    def counted(self, shard: int) -> bool:
        return self._shards.counted(shard)

    def dead(self, life: NodeInstance) -> bool:
        """Whether it never comes back: it left, or a later life of its name has had a session."""
        last = self._sessions.latest_instance(life.name)
        if last is None:
            return False  # the name made room for others, and its process may yet come back
        if last > life:
            return True
        past = self._sessions.last_ended_session(life.name)
        return (
            last == life
            and past is not None
            and past.instance == life
            and past.evidence is ClearanceEvidence.LEFT
        )

    def over(self, life: NodeInstance) -> bool:
        """Whether it has no session, and it or a later one had."""
        opened, last = self._sessions.active_session(life.name), self._sessions.latest_instance(life.name)
        return (opened is None or opened.instance != life) and last is not None and last >= life

    # --- entries ---

    def apply(self, entry: Entry) -> Outcome:
        try:
            body = decode(entry.body)
        except ValueError as error:
            return Outcome(str(error))
        return self._fold(entry, body) if isinstance(body, Fold) else self._forget(body)

    def _fold(self, entry: Entry, body: Fold) -> Outcome:
        life = body.life
        if self.forgotten(life):
            return Outcome("this life is in the base")
        if not self.over(life):
            return Outcome("this life has a session")
        found = dict(self._kept.get(life, {}))
        for row in body.rows:
            if self.counted(row.shard):
                found[row.shard] = found.get(row.shard, NONE).max(Count(row.writes, row.bytes))
        if len(found) > MOST_ROWS:
            return Outcome(f"more than {MOST_ROWS} shards of one life")
        if not self._make_room(life, len(found)):
            return Outcome(f"more than {self._most_rows} rows of lives that may come back")
        self._kept[life] = found
        self._begun.setdefault(life, entry.position)
        return Outcome()

    def _forget(self, body: Forget) -> Outcome:
        life = body.life
        if self._begun.get(life) != body.begun:
            return Outcome("this life was not folded there")
        if not self.dead(life):
            return Outcome("this life may come back")
        if any(each.name == life.name and each < life for each in self._kept):
            return Outcome("an earlier life of this name is kept")
        if said := fault(body.proof, self._sessions, body.begun, may_be_over=False):
            return Outcome(f"proof: {said}")
        if life.name not in self._horizon and len(self._horizon) >= MOST_NAMES:
            return Outcome(f"more than {MOST_NAMES} names")
        self._into_base(life)
        return Outcome()

    def _into_base(self, life: NodeInstance) -> None:
        for shard, count in self._kept.pop(life).items():
            self._base[shard] = self._base.get(shard, NONE).plus(count)
        del self._begun[life]
        self._base = {shard: count for shard, count in self._base.items() if self.counted(shard)}
        self._horizon[life.name] = max(life.number, self._horizon.get(life.name, -1))

    def _make_room(self, life: NodeInstance, wanted: int) -> bool:
        """Also a life without rows takes a place."""
        while (
            sum(max(1, len(found)) for each, found in self._kept.items() if each != life) + max(1, wanted)
            > self._most_rows
        ):
            dead = [
                each
                for each in self._kept
                if each.name != life.name
                and (self.dead(each) or self._sessions.latest_instance(each.name) is None)
            ]
            if not dead or len(self._horizon) >= MOST_NAMES:
                return False
            first = min(dead, key=lambda each: self._begun[each])
            for each in sorted(each for each in dead if each.name == first.name and each <= first):
                self._into_base(each)
                self.hurried += 1
        return True

    # --- snapshots ---

    def snapshot(self) -> bytes:
        kept = tuple(_Kept(life, self._begun[life], rows(self._kept[life])) for life in sorted(self._kept))
        horizon = {name: self._horizon[name] for name in sorted(self._horizon)}
        return msgspec.json.encode(_State(rows(self._base), kept, horizon, self.hurried))

    def restore(self, data: bytes) -> None:
        try:
            state = msgspec.json.decode(data, type=_State)
        except msgspec.DecodeError as error:
            raise ValueError(f"not a snapshot of counts: {error}") from None
        lives = [each.life for each in state.kept]
        if lives != sorted(set(lives)) or any(
            life.number <= state.horizon.get(life.name, -1) for life in lives
        ):
            raise ValueError("not a snapshot of counts: not as any log leaves it")
        self._base = _counts(state.base)
        self._kept = {each.life: _counts(each.rows) for each in state.kept}
        self._begun = {each.life: each.begun for each in state.kept}
        self._horizon, self.hurried = dict(state.horizon), state.hurried


def _counts(told: tuple[Row, ...]) -> dict[int, Count]:
    return {row.shard: Count(row.writes, row.bytes) for row in told}
