"""The state machine "counts": writes and bytes by shard, as counted by front-door instances that ended.

- Fold: once an instance has no open session, an entry can store the counts of its last known report. Further
  folds of the instance are merged by maximum, as counts only grow.
- Retire: the counts of a folded instance are stored separately while the instance may return, or another
  front door may still hold a report of it that is newer than what was folded. An entry that proves that
  neither is possible retires the instance: its counts are added to the base, which has the totals of all
  retired instances, and reports of it are ignored from then on.
- Retire without proof: if there is no room for a fold, instances of other names are retired without such a
  proof, those folded earliest first, provided that they never return or that the state machine "sessions" has
  dropped their names. `unproven_retirements` counts these. A process whose instance was retired that way must
  restart, as its further reports are ignored.
"""

from typing import Annotated, Protocol

import msgspec
from msgspec import Meta, field

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import (
    InstanceNumber,
    Name,
    NodeInstance,
    Position,
    WireStruct,
)
from molereach.coordination.interface.log import Entry, Outcome
from molereach.shards.counts.bodies import MACHINE, Fold, Retire, decode
from molereach.shards.counts.counter import ZERO, Count, count_rows
from molereach.shards.counts.messages import MAX_ROWS, CountRow
from molereach.shards.proof import SessionHistory, proof_error

MAX_FOLDED_ROWS = 16_384  # of all instances that are not retired
MAX_NAMES = 4096  # of front doors with a retired instance, ever


class ShardSet(Protocol):
    """The state machine "shards" as of the same position of the log."""

    def has_shard(self, shard: int) -> bool:
        """Whether the map has this shard."""


class _FoldedInstance(WireStruct, frozen=True):
    """The counts of one instance that ended."""

    instance: NodeInstance = field(name="life")
    folded_at: Position = field(name="begun")  # of its first fold
    rows: Annotated[tuple[CountRow, ...], Meta(max_length=MAX_ROWS)]


class _State(WireStruct, frozen=True):
    """The snapshot."""

    base: Annotated[tuple[CountRow, ...], Meta(max_length=MAX_ROWS)]
    folded: Annotated[tuple[_FoldedInstance, ...], Meta(max_length=MAX_FOLDED_ROWS)] = field(name="kept")
    retired: Annotated[dict[Name, InstanceNumber], Meta(max_length=MAX_NAMES)] = field(name="horizon")
    unproven_retirements: Annotated[int, Meta(ge=0, le=1 << 53)] = field(name="hurried")


class CountsMachine:
    """Implements `StateMachine`, and `LoggedCounts` for the code that merges reports."""

    name = MACHINE

    def __init__(self, sessions: SessionHistory, shards: ShardSet, max_rows: int = MAX_FOLDED_ROWS) -> None:
        self._sessions, self._shards, self._max_rows = sessions, shards, max_rows
        self._base: dict[int, Count] = {}
        self._folded: dict[NodeInstance, dict[int, Count]] = {}
        self._folded_at: dict[NodeInstance, int] = {}
        self._retired: dict[str, int] = {}  # the highest retired instance number of each name
        self.unproven_retirements = 0

    # --- queries ---

    def base(self) -> dict[int, Count]:
        """Totals by shard of retired instances."""
        return self._base

    def folded(self) -> dict[NodeInstance, dict[int, Count]]:
        """Counts by shard of instances that ended and are not retired."""
        return self._folded

    def folded_at(self, instance: NodeInstance) -> int | None:
        """The position of the instance's first fold; None if it is not folded, or is retired."""
        return self._folded_at.get(instance)

    def is_retired(self, instance: NodeInstance) -> bool:
        """Whether this instance, or a later one of its name, is in the base."""
        return instance.number <= self._retired.get(instance.name, -1)

    def has_shard(self, shard: int) -> bool:
        """Whether the map has this shard."""
        return self._shards.has_shard(shard)

    def never_returns(self, instance: NodeInstance) -> bool:
        """Whether the instance's last session ended by an orderly leave, or a later instance of its name has
        had a session."""
        latest = self._sessions.latest_instance(instance.name)
        if latest is None:
            return False  # the sessions dropped the name to make room, and the process may still return
        if latest > instance:
            return True
        ended = self._sessions.last_ended_session(instance.name)
        return (
            latest == instance
            and ended is not None
            and ended.instance == instance
            and ended.evidence is ClearanceEvidence.LEFT
        )

    def has_ended(self, instance: NodeInstance) -> bool:
        """Whether the instance has no open session, and it or a later one of its name has had one."""
        active, latest = (
            self._sessions.active_session(instance.name),
            self._sessions.latest_instance(instance.name),
        )
        return (active is None or active.instance != instance) and latest is not None and latest >= instance

    # --- entries ---

    def apply(self, entry: Entry) -> Outcome:
        """Apply a fold or a retirement."""
        try:
            body = decode(entry.body)
        except ValueError as error:
            return Outcome(str(error))
        return self._fold(entry, body) if isinstance(body, Fold) else self._retire(body)

    def _fold(self, entry: Entry, body: Fold) -> Outcome:
        instance = body.instance
        if self.is_retired(instance):
            return Outcome("this life is in the base")
        if not self.has_ended(instance):
            return Outcome("this life has a session")
        counts = dict(self._folded.get(instance, {}))
        for row in body.rows:
            if self.has_shard(row.shard):
                counts[row.shard] = counts.get(row.shard, ZERO).max(Count(row.writes, row.bytes))
        if len(counts) > MAX_ROWS:
            return Outcome(f"more than {MAX_ROWS} shards of one life")
        if not self._retire_until_fits(instance, len(counts)):
            return Outcome(f"more than {self._max_rows} rows of lives that may come back")
        self._folded[instance] = counts
        self._folded_at.setdefault(instance, entry.position)
        return Outcome()

    def _retire(self, body: Retire) -> Outcome:
        instance = body.instance
        if self._folded_at.get(instance) != body.folded_at:
            return Outcome("this life was not folded there")
        if not self.never_returns(instance):
            return Outcome("this life may come back")
        if any(each.name == instance.name and each < instance for each in self._folded):
            return Outcome("an earlier life of this name is kept")
        if error := proof_error(body.proof, self._sessions, body.folded_at, may_be_expired=False):
            return Outcome(f"proof: {error}")
        if instance.name not in self._retired and len(self._retired) >= MAX_NAMES:
            return Outcome(f"more than {MAX_NAMES} names")
        self._add_to_base(instance)
        return Outcome()

    def _add_to_base(self, instance: NodeInstance) -> None:
        for shard, count in self._folded.pop(instance).items():
            self._base[shard] = self._base.get(shard, ZERO).plus(count)
        del self._folded_at[instance]
        self._base = {shard: count for shard, count in self._base.items() if self.has_shard(shard)}
        self._retired[instance.name] = max(instance.number, self._retired.get(instance.name, -1))

    def _retire_until_fits(self, instance: NodeInstance, row_count: int) -> bool:
        """Retire instances of other names until `row_count` rows of this one fit; False if they cannot.

        An instance without rows counts as one row.
        """
        while (
            sum(max(1, len(counts)) for each, counts in self._folded.items() if each != instance)
            + max(1, row_count)
            > self._max_rows
        ):
            retirable = [
                each
                for each in self._folded
                if each.name != instance.name
                and (self.never_returns(each) or self._sessions.latest_instance(each.name) is None)
            ]
            if not retirable or len(self._retired) >= MAX_NAMES:
                return False
            earliest = min(retirable, key=lambda each: self._folded_at[each])
            for each in sorted(each for each in retirable if each.name == earliest.name and each <= earliest):
                self._add_to_base(each)
                self.unproven_retirements += 1
        return True

    # --- snapshots ---

    def snapshot(self) -> bytes:
        """The whole state as JSON, the same bytes wherever the same entries were applied."""
        folded = tuple(
            _FoldedInstance(instance, self._folded_at[instance], count_rows(self._folded[instance]))
            for instance in sorted(self._folded)
        )
        retired = {name: self._retired[name] for name in sorted(self._retired)}
        return msgspec.json.encode(_State(count_rows(self._base), folded, retired, self.unproven_retirements))

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; ValueError, and no change, if it is malformed."""
        try:
            state = msgspec.json.decode(data, type=_State)
        except msgspec.DecodeError as error:
            raise ValueError(f"not a snapshot of counts: {error}") from None
        instances = [each.instance for each in state.folded]
        if instances != sorted(set(instances)) or any(
            instance.number <= state.retired.get(instance.name, -1) for instance in instances
        ):
            raise ValueError("not a snapshot of counts: no log leads to this state")
        self._base = _counts_by_shard(state.base)
        self._folded = {each.instance: _counts_by_shard(each.rows) for each in state.folded}
        self._folded_at = {each.instance: each.folded_at for each in state.folded}
        self._retired, self.unproven_retirements = dict(state.retired), state.unproven_retirements


def _counts_by_shard(rows: tuple[CountRow, ...]) -> dict[int, Count]:
    return {row.shard: Count(row.writes, row.bytes) for row in rows}
