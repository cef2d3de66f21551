"""The records of the log on disk, and the state recovered from them: a base, followed by records in order.

The base is a checkpoint of the whole state. After a crash, records that were not synced may be missing, but
only from the end of the sequence. No message that depends on a record is sent before the record is synced,
so the disk holds all state that other nodes may rely on.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import Position, WireStruct
from molereach.coordination.interface.log import Entry
from molereach.coordination.replicated_log.acceptor import Acceptor, are_consecutive
from molereach.coordination.replicated_log.deduplication import AppliedProposal
from molereach.coordination.replicated_log.errors import CorruptRecordsError
from molereach.coordination.replicated_log.messages import (
    NOBODY,
    Ballot,
    Batch,
    DiskIdentity,
    Run,
    StartCount,
    Voters,
)
from molereach.coordination.replicated_log.settings import MAX_RUNS

Runs = Annotated[tuple[Run, ...], Meta(max_length=MAX_RUNS)]


class Snapshot(WireStruct, frozen=True):
    """The state after all entries up to `position`: that of the log itself and of each state machine."""

    position: Position
    last: Entry | None  # the entry at `position`
    chain: Annotated[bytes, Meta(max_length=32)]  # hash chain (BLAKE2b) over all entries
    voters: Voters = msgspec.field(name="panel")
    applied_proposals: tuple[AppliedProposal, ...] = msgspec.field(name="once")
    deduplication_floor: Position = msgspec.field(name="once_floor")
    machines: dict[str, bytes]
    # Machines that had failed at the node that made the snapshot; it does not contain their state.
    failed_machines: tuple[str, ...] = msgspec.field(name="failed", default=())


class Base(WireStruct, frozen=True):
    """A checkpoint that replaces all records written before it."""

    disk: DiskIdentity
    start_count: StartCount = msgspec.field(name="starts")
    runs: Runs
    promised: Ballot
    accepted_at: Ballot
    accepted: Batch
    snapshot: Snapshot


class Record(WireStruct, frozen=True, tag_field="kind"):
    """Base class of the records."""


class DiskStarted(Record, frozen=True, tag="started"):
    """A run was started on this disk."""

    run: Run


class RunRecorded(Record, frozen=True, tag="wrote"):
    """The newest known run of another disk; if that is a voter's, each vote of this disk names it."""

    run: Run


class BallotPromised(Record, frozen=True, tag="promised"):
    """The acceptor promised a ballot."""

    ballot: Ballot


class BatchAccepted(Record, frozen=True, tag="voted"):
    """The acceptor accepted a batch."""

    ballot: Ballot
    entries: Batch


class StateAdopted(Record, frozen=True, tag="raised"):
    """Promises and votes reported by other voters after a start of this disk, adopted by its acceptor."""

    promised: Ballot
    accepted_at: Ballot
    accepted: Batch


class EntriesDecided(Record, frozen=True, tag="decided"):
    """Decided entries, in order."""

    entries: Batch


_decoder = msgspec.msgpack.Decoder(
    DiskStarted | RunRecorded | BallotPromised | BatchAccepted | StateAdopted | EntriesDecided
)
_base_decoder = msgspec.msgpack.Decoder(Base)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


@dataclass(slots=True)
class Recovered:
    """The state recovered from a disk. The defaults are those of an unused disk."""

    disk: str = ""  # empty for an unused disk
    start_count: int = 0
    runs: dict[str, Run] = field(default_factory=dict)
    acceptor: Acceptor = field(default_factory=Acceptor)
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)  # decided after the snapshot

    @property
    def position(self) -> int:
        """The position of the last decided entry on the disk; 0 for none."""
        if self.entries:
            return self.entries[-1].position
        return self.snapshot.position if self.snapshot else 0


def encode(record: Record | Base | Snapshot) -> bytes:
    """Encode a record, base or snapshot as msgpack."""
    return msgspec.msgpack.encode(record)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot; raise a ValueError if `data` is malformed."""
    return _snapshot_decoder.decode(data)  # msgspec's errors are ValueErrors


def recover(base: bytes | None, records: Sequence[bytes]) -> Recovered:
    """Recover the state from a base and records.

    Raises a ValueError if they are malformed or contradict one another; then this disk must not vote.
    """
    recovered = Recovered()
    if base is not None:
        decoded = _base_decoder.decode(base)
        recovered.disk = decoded.disk
        recovered.start_count = decoded.start_count
        recovered.snapshot = decoded.snapshot
        recovered.runs = {run.disk: run for run in decoded.runs}
        recovered.acceptor = Acceptor(decoded.promised, decoded.accepted_at, decoded.accepted)
    for data in records:
        _replay(recovered, _decoder.decode(data))
    return recovered


def _replay(recovered: Recovered, record: Record) -> None:
    match record:
        case DiskStarted(run):
            if recovered.disk not in ("", run.disk):
                raise CorruptRecordsError("records of two disks in one folder")
            recovered.disk = run.disk
            recovered.start_count = run.start_count
        case RunRecorded(run):
            recovered.runs.pop(run.disk, None)
            recovered.runs[run.disk] = run
        case BallotPromised(ballot):
            if not recovered.acceptor.promise(ballot):
                raise CorruptRecordsError("a promise was taken back")
        case BatchAccepted(ballot, entries):
            if (
                not entries
                or not are_consecutive(entries, recovered.position)
                or not recovered.acceptor.accept(ballot, entries)
            ):
                raise CorruptRecordsError("a vote out of order")
        case StateAdopted(promised, accepted_at, accepted):
            if accepted and not are_consecutive(accepted, recovered.position):
                raise CorruptRecordsError("a vote taken over out of order")
            recovered.acceptor.adopt(promised, accepted_at if accepted else NOBODY, accepted)
        case EntriesDecided(entries):
            if not entries or not are_consecutive(entries, recovered.position):
                raise CorruptRecordsError("a gap between decided entries")
            recovered.entries.extend(entries)
            recovered.acceptor.discard_decided(entries[-1])
