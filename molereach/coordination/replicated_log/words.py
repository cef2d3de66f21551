"""What the parts of the log say to one another, between front doors. All may be lost, doubled, late or old.

Every word is typed and bounded; a word of another kind is refused by the link's decoder. `after` is always
the position of the last entry that the speaker has: what is asked or told is about those that follow it.
"""

from typing import Annotated

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
from molereach.coordination.replicated_log.settings import MOST_BATCH, MOST_PIECE_BYTES, MOST_SNAPSHOT_BYTES

MOST_SEATS = 7

Disk = Annotated[str, Meta(pattern=r"^[0-9a-f]{32}\Z")]  # 128 random bits, drawn when its folder was made
Starts = Annotated[int, Meta(ge=0, le=1 << 53)]
Batch = Annotated[tuple[Entry, ...], Meta(max_length=MOST_BATCH)]


class Ballot(WireStruct, frozen=True, order=True):
    """A try to lead. No two runs can have the same one; that of nobody is the lowest."""

    number: InstanceNumber = 0
    name: Name = "0"
    life: InstanceNumber = 0


NOBODY = Ballot()


class Seat(WireStruct, frozen=True, order=True):
    """One place of the panel: a front door and its disk. Either alone is not the seat."""

    name: Name
    disk: Disk


Panel = Annotated[tuple[Seat, ...], Meta(max_length=MOST_SEATS)]


class Run(WireStruct, frozen=True):
    """One start of one disk: how many there were, and the life that it began."""

    disk: Disk
    starts: Starts
    life: InstanceNumber


class Voter(WireStruct, frozen=True):
    """Whose vote it is, and the runs of others that it has written down: votes of earlier ones are void."""

    run: Run
    knows: Annotated[tuple[Run, ...], Meta(max_length=MOST_SEATS)] = ()


class Word(WireStruct, frozen=True, tag_field="kind", tag=lambda name: "l." + name.lower()):
    """A message of the log."""


# --- a start ---


class Start(Word, frozen=True):
    """This disk was started: what do you know of it?"""

    run: Run
    after: Position


class Noted(Word, frozen=True):
    """The run is written down, and no equal or higher one was; this was promised and accepted by me."""

    run: Run
    by: Run
    after: Position
    promised: Ballot
    accepted_at: Ballot = NOBODY
    accepted: Batch = ()


class Exists(Word, frozen=True):
    """An equal or higher start is known under another life: the disk was set back."""

    run: Run
    known: Run


# --- an election ---


class Poll(Word, frozen=True):
    """Would you promise this? Nothing is promised by the answer."""

    ballot: Ballot
    after: Position


class Polled(Word, frozen=True):
    ballot: Ballot
    disk: Disk
    granted: bool
    promised: Ballot


class Prepare(Word, frozen=True):
    ballot: Ballot
    after: Position


class Promise(Word, frozen=True):
    """Nothing under this ballot will be accepted, at any later position; and what was accepted before."""

    ballot: Ballot
    after: Position
    voter: Voter
    accepted_at: Ballot = NOBODY
    accepted: Batch = ()


class Outbid(Word, frozen=True):
    """A higher ballot was promised than that of what was asked."""

    ballot: Ballot
    promised: Ballot


# --- a leader ---


class Accept(Word, frozen=True):
    ballot: Ballot
    entries: Annotated[tuple[Entry, ...], Meta(min_length=1, max_length=MOST_BATCH)]


class Accepted(Word, frozen=True):
    ballot: Ballot
    last: Position  # of the batch
    voter: Voter


class Beat(Word, frozen=True):
    """The leader lives; all up to `decided` is decided, and what was accepted of this ballot up to there."""

    ballot: Ballot
    decided: Position
    round: Position


class Follow(Word, frozen=True):
    """No higher ballot was promised here when this round's beat came."""

    ballot: Ballot
    round: Position
    voter: Voter


# --- what is decided ---


class Want(Word, frozen=True):
    after: Position


class Known(Word, frozen=True):
    entries: Batch
    decided: Position


class WantPiece(Word, frozen=True):
    """The next bytes of the snapshot of this position."""

    position: Position
    offset: Annotated[int, Meta(ge=0, le=MOST_SNAPSHOT_BYTES)]


class Piece(Word, frozen=True):
    """Some bytes of a snapshot. With one that does not fit to what came before nothing is done."""

    position: Position
    total: Annotated[int, Meta(ge=1, le=MOST_SNAPSHOT_BYTES)]
    offset: Annotated[int, Meta(ge=0, le=MOST_SNAPSHOT_BYTES)]
    digest: Annotated[bytes, Meta(min_length=16, max_length=16)]  # BLAKE2b of the whole
    data: Annotated[bytes, Meta(min_length=1, max_length=MOST_PIECE_BYTES)]


# --- proposals ---


class Ask(Word, frozen=True):
    """A proposal for the leader. `since` is what its proposer had applied when it first asked."""

    machine: Annotated[str, Meta(max_length=64)]
    id: Id
    proposer: NodeInstance
    since: Position
    body: Annotated[bytes, Meta(max_length=MAX_ENTRY_BODY_BYTES)]


class Leader(Word, frozen=True):
    """Another leads, as far as is known here."""

    ballot: Ballot


Message = (
    Start
    | Noted
    | Exists
    | Poll
    | Polled
    | Prepare
    | Promise
    | Outbid
    | Accept
    | Accepted
    | Beat
    | Follow
    | Want
    | Known
    | WantPiece
    | Piece
    | Ask
    | Leader
)
