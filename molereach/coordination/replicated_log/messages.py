"""The messages between the nodes of the log. All may be lost, duplicated, late or old.

Every message is typed and bounded; the transport's decoder rejects any other. `after` is always the position
of the last entry that the sender has: the message is about those that follow it.
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

DiskIdentity = Annotated[
    str, Meta(pattern=r"^[0-9a-f]{32}\Z")
]  # 128 random bits, drawn when its folder was made
StartCount = Annotated[int, Meta(ge=0, le=1 << 53)]
Batch = Annotated[tuple[Entry, ...], Meta(max_length=MAX_BATCH_ENTRIES)]


class Ballot(WireStruct, frozen=True, order=True):
    """An attempt to lead. No two runs can have the same one; that of nobody is the lowest."""

    number: InstanceNumber = 0
    name: Name = "0"
    instance_number: InstanceNumber = msgspec.field(name="life", default=0)


NOBODY = Ballot()


class Voter(WireStruct, frozen=True, order=True):
    """A voter: a node with its disk. Either alone is not the voter."""

    name: Name
    disk: DiskIdentity


Voters = Annotated[tuple[Voter, ...], Meta(max_length=MAX_VOTERS)]


class Run(WireStruct, frozen=True):
    """One start of one disk: how many there were, and the instance that it began."""

    disk: DiskIdentity
    start_count: StartCount = msgspec.field(name="starts")
    instance_number: InstanceNumber = msgspec.field(name="life")


class VoteSource(WireStruct, frozen=True):
    """Whose vote it is, and the runs of others that it has written down: votes of earlier ones are void."""

    run: Run
    known_runs: Annotated[tuple[Run, ...], Meta(max_length=MAX_VOTERS)] = msgspec.field(
        name="knows", default=()
    )


class LogMessage(WireStruct, frozen=True, tag_field="kind"):
    """A message of the log."""


# --- a start ---


class RunStarted(LogMessage, frozen=True, tag="l.start"):
    """This disk was started: what is known of it?"""

    run: Run
    after: Position


class RunAcknowledged(LogMessage, frozen=True, tag="l.noted"):
    """The run is written down, and no equal or higher one was; this was promised and accepted by me."""

    run: Run
    acknowledged_by: Run = msgspec.field(name="by")
    after: Position
    promised: Ballot
    accepted_at: Ballot = NOBODY
    accepted: Batch = ()


class RunConflict(LogMessage, frozen=True, tag="l.exists"):
    """An equal or higher start is known under another instance: the disk was rolled back."""

    run: Run
    known: Run


# --- an election ---


class PreVote(LogMessage, frozen=True, tag="l.poll"):
    """Would you promise this? Nothing is promised by the answer."""

    ballot: Ballot
    after: Position


class PreVoteReply(LogMessage, frozen=True, tag="l.polled"):
    """Whether the voter would promise the ballot, and what it has promised."""

    ballot: Ballot
    disk: DiskIdentity
    granted: bool
    promised: Ballot


class Prepare(LogMessage, frozen=True, tag="l.prepare"):
    """Phase 1: promise this ballot, for all positions after `after`."""

    ballot: Ballot
    after: Position


class Promise(LogMessage, frozen=True, tag="l.promise"):
    """Nothing under this ballot will be accepted, at any later position; and what was accepted before."""

    ballot: Ballot
    after: Position
    source: VoteSource = msgspec.field(name="voter")
    accepted_at: Ballot = NOBODY
    accepted: Batch = ()


class BallotRejected(LogMessage, frozen=True, tag="l.outbid"):
    """A higher ballot was promised than the one in the request."""

    ballot: Ballot
    promised: Ballot


# --- a leader ---


class Accept(LogMessage, frozen=True, tag="l.accept"):
    """Phase 2: accept these entries under this ballot."""

    ballot: Ballot
    entries: Annotated[tuple[Entry, ...], Meta(min_length=1, max_length=MAX_BATCH_ENTRIES)]


class Accepted(LogMessage, frozen=True, tag="l.accepted"):
    """The batch up to `last` was accepted and written to disk."""

    ballot: Ballot
    last: Position  # of the batch
    source: VoteSource = msgspec.field(name="voter")


class Heartbeat(LogMessage, frozen=True, tag="l.beat"):
    """The leader is alive; all up to `decided` is decided, also what was accepted of this ballot."""

    ballot: Ballot
    decided: Position
    round: Position


class HeartbeatReply(LogMessage, frozen=True, tag="l.follow"):
    """No higher ballot was promised here when this round's heartbeat came."""

    ballot: Ballot
    round: Position
    source: VoteSource = msgspec.field(name="voter")


# --- what is decided ---


class EntriesRequest(LogMessage, frozen=True, tag="l.want"):
    """Send the entries that follow this position."""

    after: Position


class EntriesReply(LogMessage, frozen=True, tag="l.known"):
    """Decided entries; `decided` is the sender's own position."""

    entries: Batch
    decided: Position


class SnapshotChunkRequest(LogMessage, frozen=True, tag="l.wantpiece"):
    """The next bytes of the snapshot of this position."""

    position: Position
    offset: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]


class SnapshotChunk(LogMessage, frozen=True, tag="l.piece"):
    """Some bytes of a snapshot. A chunk that does not continue what came before is ignored."""

    position: Position
    total: Annotated[int, Meta(ge=1, le=MAX_SNAPSHOT_BYTES)]
    offset: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    digest: Annotated[bytes, Meta(min_length=16, max_length=16)]  # BLAKE2b of the complete snapshot
    data: Annotated[bytes, Meta(min_length=1, max_length=MAX_CHUNK_BYTES)]


# --- proposals ---


class ProposalRequest(LogMessage, frozen=True, tag="l.ask"):
    """A proposal for the leader. `since` is what its proposer had applied when it first sent it."""

    machine: Annotated[str, Meta(max_length=64)]
    id: Id
    proposer: NodeInstance
    since: Position
    body: Annotated[bytes, Meta(max_length=MAX_ENTRY_BODY_BYTES)]


class LeaderHint(LogMessage, frozen=True, tag="l.leader"):
    """Another leads, as far as is known here."""

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
