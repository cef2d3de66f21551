"""The messages between the nodes of the log. Each may be lost, duplicated, delayed or from an earlier run.

Every message is typed and bounded; the transport's decoder rejects any other. `after` is always the position
of the last entry that the sender has; the message concerns the positions that follow it.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import (
    Id,
    InstanceNumber,
    Name,
    NodeInstance,
    Position,
    WireStruct,
)
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES, Entry
from molereach.coordination.replicated_log.settings import (
    MAX_BATCH_ENTRIES,
    MAX_CHUNK_BYTES,
    MAX_SNAPSHOT_BYTES,
)

MAX_VOTERS = 7

# 128 random bits, drawn when the disk's folder was created.
DiskIdentity = Annotated[str, Meta(pattern=r"^[0-9a-f]{32}\Z")]
StartCount = Annotated[int, Meta(ge=0, le=1 << 53)]
Batch = Annotated[tuple[Entry, ...], Meta(max_length=MAX_BATCH_ENTRIES)]


class Ballot(WireStruct, frozen=True, order=True):
    """A Paxos ballot, which belongs to one run of one node. The default, `NOBODY`, is the lowest."""

    number: InstanceNumber = 0
    name: Name = "0"
    instance_number: InstanceNumber = msgspec.field(name="life", default=0)


NOBODY = Ballot()


class Voter(WireStruct, frozen=True, order=True):
    """A voter: a node together with its disk. The node with another disk is not this voter."""

    name: Name
    disk: DiskIdentity


Voters = Annotated[tuple[Voter, ...], Meta(max_length=MAX_VOTERS)]


class Run(WireStruct, frozen=True):
    """One run on one disk: the number of starts of the disk so far, and the instance that was started."""

    disk: DiskIdentity
    start_count: StartCount = msgspec.field(name="starts")
    instance_number: InstanceNumber = msgspec.field(name="life")


class VoteSource(WireStruct, frozen=True):
    """The run that votes, and the runs of other disks that it has recorded; votes of older runs are void."""

    run: Run
    known_runs: Annotated[tuple[Run, ...], Meta(max_length=MAX_VOTERS)] = msgspec.field(
        name="knows", default=()
    )


class LogMessage(WireStruct, frozen=True, tag_field="kind"):
    """Base class of the messages of the log."""


# --- a start ---


class RunStarted(LogMessage, frozen=True, tag="l.start"):
    """Announces a run of the sender's disk; the recipient records it and reports its own promise and vote."""

    run: Run
    after: Position


class RunAcknowledged(LogMessage, frozen=True, tag="l.noted"):
    """Confirms that the run is recorded, as it conflicts with no known run.

    Reports the promise and the vote of the sender.
    """

    run: Run
    acknowledged_by: Run = msgspec.field(name="by")
    after: Position
    promised: Ballot
    accepted_at: Ballot = NOBODY
    accepted: Batch = ()


class RunConflict(LogMessage, frozen=True, tag="l.exists"):
    """Reports that an equal or higher start count is known of another instance: the disk was rolled back."""

    run: Run
    known: Run


# --- an election ---


class PreVote(LogMessage, frozen=True, tag="l.poll"):
    """Asks whether the voter would promise a ballot, without promising it."""

    ballot: Ballot
    after: Position


class PreVoteReply(LogMessage, frozen=True, tag="l.polled"):
    """Whether the voter would promise the ballot, and the ballot that it has promised."""

    ballot: Ballot
    disk: DiskIdentity
    granted: bool
    promised: Ballot


class Prepare(LogMessage, frozen=True, tag="l.prepare"):
    """Phase 1: requests a promise of this ballot for all positions after `after`."""

    ballot: Ballot
    after: Position


class Promise(LogMessage, frozen=True, tag="l.promise"):
    """Promises to accept no lower ballot at any later position; reports the batch accepted so far."""

    ballot: Ballot
    after: Position
    source: VoteSource = msgspec.field(name="voter")
    accepted_at: Ballot = NOBODY
    accepted: Batch = ()


class BallotRejected(LogMessage, frozen=True, tag="l.outbid"):
    """Rejects a request, because another ballot with the same or a higher number was promised."""

    ballot: Ballot
    promised: Ballot


# --- a leader ---


class Accept(LogMessage, frozen=True, tag="l.accept"):
    """Phase 2: requests that the voter accept these entries under this ballot."""

    ballot: Ballot
    entries: Annotated[tuple[Entry, ...], Meta(min_length=1, max_length=MAX_BATCH_ENTRIES)]


class Accepted(LogMessage, frozen=True, tag="l.accepted"):
    """Confirms that the batch up to `last` was accepted and written to disk."""

    ballot: Ballot
    last: Position  # the last position of the batch
    source: VoteSource = msgspec.field(name="voter")


class Heartbeat(LogMessage, frozen=True, tag="l.beat"):
    """Shows that the leader is alive, and that all up to `decided` is decided.

    This includes entries that the recipient has accepted under this ballot.
    """

    ballot: Ballot
    decided: Position
    round: Position


class HeartbeatReply(LogMessage, frozen=True, tag="l.follow"):
    """Confirms that the voter had promised no higher ballot when the heartbeat of this round arrived."""

    ballot: Ballot
    round: Position
    source: VoteSource = msgspec.field(name="voter")


# --- what is decided ---


class EntriesRequest(LogMessage, frozen=True, tag="l.want"):
    """Requests the entries that follow a position."""

    after: Position


class EntriesReply(LogMessage, frozen=True, tag="l.known"):
    """Decided entries; `decided` is the position of the last one that the sender has."""

    entries: Batch
    decided: Position


class SnapshotChunkRequest(LogMessage, frozen=True, tag="l.wantpiece"):
    """Requests the next bytes of the snapshot of a position."""

    position: Position
    offset: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]


class SnapshotChunk(LogMessage, frozen=True, tag="l.piece"):
    """A chunk of a snapshot. One that does not continue the bytes received so far is ignored."""

    position: Position
    total: Annotated[int, Meta(ge=1, le=MAX_SNAPSHOT_BYTES)]
    offset: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    digest: Annotated[bytes, Meta(min_length=16, max_length=16)]  # BLAKE2b of the complete snapshot
    data: Annotated[bytes, Meta(min_length=1, max_length=MAX_CHUNK_BYTES)]


# --- proposals ---


class ProposalRequest(LogMessage, frozen=True, tag="l.ask"):
    """A proposal for the leader. `since` is the proposer's position when it first sent the proposal."""

    machine: Annotated[str, Meta(max_length=64)]
    id: Id
    proposer: NodeInstance
    since: Position
    body: Annotated[bytes, Meta(max_length=MAX_ENTRY_BODY_BYTES)]


class LeaderHint(LogMessage, frozen=True, tag="l.leader"):
    """The leader that is known to the sender."""

    ballot: Ballot


Message = (
    RunStarted
    | RunAcknowledged
    | RunConflict
    | PreVote
    | PreVoteReply
    | Prepare
    | Promise
    | BallotRejected
    | Accept
    | Accepted
    | Heartbeat
    | HeartbeatReply
    | EntriesRequest
    | EntriesReply
    | SnapshotChunkRequest
    | SnapshotChunk
    | ProposalRequest
    | LeaderHint
)
