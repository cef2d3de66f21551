"""What the log has on its disk, and what it is after a start: records in order, on top of a base.

A record that was not synced may be missing, with all that follow it; none is missing in between. Nothing that
depends on a record leaves before it is synced, so whatever another node has seen is here.
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
    """All that entries up to `position` came to: the log's own state, and each machine's."""

    position: Position
    last: Entry | None  # the entry there
    chain: Annotated[bytes, Meta(max_length=32)]  # BLAKE2b over all entries
    voters: Voters = msgspec.field(name="panel")
    applied_proposals: tuple[AppliedProposal, ...] = msgspec.field(name="once")
    deduplication_floor: Position = msgspec.field(name="once_floor")
    machines: dict[str, bytes]
    failed_machines: tuple[str, ...] = msgspec.field(
        name="failed", default=()
    )  # stopped at who made it: their state is not here


class Base(WireStruct, frozen=True):
    """What takes the place of all records so far."""

    disk: DiskIdentity
    start_count: StartCount = msgspec.field(name="starts")
    runs: Runs
    promised: Ballot
    accepted_at: Ballot
    accepted: Batch
    snapshot: Snapshot


class Record(WireStruct, frozen=True, tag_field="kind"):
    """One record."""


class DiskStarted(Record, frozen=True, tag="started"):
    """This disk was started once more."""

    run: Run


class RunRecorded(Record, frozen=True, tag="wrote"):
    """Another disk's newest run is known, and is part of each vote."""

    run: Run


class BallotPromised(Record, frozen=True, tag="promised"):
    """A ballot was promised."""

    ballot: Ballot


class BatchAccepted(Record, frozen=True, tag="voted"):
    """A batch was accepted."""

    ballot: Ballot
    entries: Batch


class StateAdopted(Record, frozen=True, tag="raised"):
    """What other voters had promised and accepted, adopted at a start."""

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
    """What the disk says. As made, it is that of a disk that was never used."""

    disk: str = ""  # empty where it was never started
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
    """A record, base or snapshot as msgpack."""
    return msgspec.msgpack.encode(record)


def decode_snapshot(data: bytes) -> Snapshot:
    """The snapshot in `data`; raises a ValueError where it is none."""
    return _snapshot_decoder.decode(data)  # msgspec's errors are ValueErrors


def recover(base: bytes | None, records: Sequence[bytes]) -> Recovered:
    """What the disk says; Raises a ValueError where it makes no sense; then this disk must not vote."""
    recovered = Recovered()
    if base is not None:
        known = _base_decoder.decode(base)
        recovered.disk = known.disk
        recovered.start_count = known.start_count
        recovered.snapshot = known.snapshot
        recovered.runs = {run.disk: run for run in known.runs}
        recovered.acceptor = Acceptor(known.promised, known.accepted_at, known.accepted)
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
