"""What the log has on its disk, and what it is after a start: records in order, on top of a base.

A record that was not synced may be missing, with all that follow it; none is missing in between. Nothing that
waits for a record leaves before it is synced, so whatever another front door has seen is here.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import Position, WireStruct
from molereach.coordination.interface.log import Entry
from molereach.coordination.replicated_log.acceptor import Acceptor, in_order
from molereach.coordination.replicated_log.once import Done
from molereach.coordination.replicated_log.settings import MOST_RUNS
from molereach.coordination.replicated_log.words import NOBODY, Ballot, Batch, Disk, Panel, Run, Starts

Runs = Annotated[tuple[Run, ...], Meta(max_length=MOST_RUNS)]


class Snapshot(WireStruct, frozen=True):
    """All that entries up to `position` came to: the log's own state, and each machine's."""

    position: Position
    last: Entry | None  # the entry there
    chain: Annotated[bytes, Meta(max_length=32)]  # BLAKE2b over all entries
    panel: Panel
    once: tuple[Done, ...]
    once_floor: Position
    machines: dict[str, bytes]
    failed: tuple[str, ...] = ()  # stopped at who made it: their state is not here


class Base(WireStruct, frozen=True):
    """What takes the place of all records so far."""

    disk: Disk
    starts: Starts
    runs: Runs
    promised: Ballot
    accepted_at: Ballot
    accepted: Batch
    snapshot: Snapshot


class Record(WireStruct, frozen=True, tag_field="kind", tag=str.lower):
    """One record."""


class Started(Record, frozen=True):
    """This disk was started once more."""

    run: Run


class Wrote(Record, frozen=True):
    """Another disk's newest run is known, and told with each vote."""

    run: Run


class Promised(Record, frozen=True):
    ballot: Ballot


class Voted(Record, frozen=True):
    ballot: Ballot
    entries: Batch


class Raised(Record, frozen=True):
    """What other seats had promised and accepted, taken over at a start."""

    promised: Ballot
    accepted_at: Ballot
    accepted: Batch


class Decided(Record, frozen=True):
    entries: Batch


_decoder = msgspec.msgpack.Decoder(Started | Wrote | Promised | Voted | Raised | Decided)
_base_decoder = msgspec.msgpack.Decoder(Base)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


@dataclass(slots=True)
class Recovered:
    """What the disk says. As made, it is that of a disk that was never used."""

    disk: str = ""  # empty where it was never started
    starts: int = 0
    runs: dict[str, Run] = field(default_factory=dict)
    acceptor: Acceptor = field(default_factory=Acceptor)
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)  # decided after the snapshot

    @property
    def position(self) -> int:
        if self.entries:
            return self.entries[-1].position
        return self.snapshot.position if self.snapshot else 0


def encode(record: Record | Base | Snapshot) -> bytes:
    return msgspec.msgpack.encode(record)


def decode_snapshot(data: bytes) -> Snapshot:
    """ValueError where it is none."""
    return _snapshot_decoder.decode(data)  # msgspec's errors are ValueErrors


def recover(base: bytes | None, records: Sequence[bytes]) -> Recovered:
    """What the disk says; ValueError where it makes no sense, and then this disk must not vote."""
    now = Recovered()
    if base is not None:
        known = _base_decoder.decode(base)
        now.disk, now.starts, now.snapshot = known.disk, known.starts, known.snapshot
        now.runs = {run.disk: run for run in known.runs}
        now.acceptor = Acceptor(known.promised, known.accepted_at, known.accepted)
    for data in records:
        _replay(now, _decoder.decode(data))
    return now


def _replay(now: Recovered, record: Record) -> None:
    match record:
        case Started(run):
            if now.disk not in ("", run.disk):
                raise ValueError("records of two disks in one folder")
            now.disk, now.starts = run.disk, run.starts
        case Wrote(run):
            now.runs.pop(run.disk, None)
            now.runs[run.disk] = run
        case Promised(ballot):
            if not now.acceptor.promise(ballot):
                raise ValueError("a promise was taken back")
        case Voted(ballot, entries):
            if not entries or not in_order(entries, now.position) or not now.acceptor.accept(ballot, entries):
                raise ValueError("a vote out of order")
        case Raised(promised, accepted_at, accepted):
            if accepted and not in_order(accepted, now.position):
                raise ValueError("a vote taken over out of order")
            now.acceptor.adopt(promised, accepted_at if accepted else NOBODY, accepted)
        case Decided(entries):
            if not entries or not in_order(entries, now.position):
                raise ValueError("a gap between decided entries")
            now.entries.extend(entries)
            now.acceptor.decided(entries[-1])
