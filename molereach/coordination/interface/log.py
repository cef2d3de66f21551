"""The replicated log as its users see it: entries, proposals, state machines, leadership."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Protocol

from msgspec import Meta

from molereach.coordination.interface.identifiers import Id, Name, NodeInstance, Position, WireStruct

MAX_ENTRY_BODY_BYTES = 16 << 10
VOTER_COUNTS = (3, 5, 7)  # three tolerate the loss of one only, so they are meant for trials


class Entry(WireStruct, frozen=True):
    """The value that was chosen at one position of the log."""

    position: Position  # from 1
    machine: Name  # the state machine that it is for; "" for the log's own entries
    id: Id  # drawn by the proposer: a proposal that is repeated under its id is applied once
    proposer: NodeInstance
    at_ms: Annotated[int, Meta(ge=0, le=1 << 53)]  # Unix time; never lower than in the entry before
    body: Annotated[bytes, Meta(max_length=MAX_ENTRY_BODY_BYTES)]  # msgspec JSON of the machine's own type


class Outcome(WireStruct, frozen=True):
    """The result of an entry, the same everywhere. With an `error`, one line of text, nothing changed."""

    error: str = ""
    value: bytes = b""  # msgspec JSON of the machine's own type


class StateMachine(Protocol):
    """A state machine on the log: deterministic, no clock but the entry's, no randomness, no I/O, bounded.

    A body that is malformed or breaks a rule gives an `Outcome` with an error, at every proxy alike. An
    exception is a fault of the program and stops the machine in that proxy, which serves on by leases.
    """

    name: str

    def apply(self, entry: Entry) -> Outcome:
        """Apply the next entry of this machine; positions only grow."""

    def snapshot(self) -> bytes:
        """The whole state, byte for byte the same wherever the same entries were applied."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; ValueError, and no change, if the snapshot is malformed."""


class ProposalStatus(Enum):
    """How a proposal ended for its proposer."""

    APPLIED = "settled"  # applied here, with its outcome
    UNKNOWN = "unknown"  # no result in time: it may be chosen, now or later; retry with the same id
    REJECTED = "refused"  # certainly not chosen by this proposal: too large, too many, no such machine


@dataclass(frozen=True, slots=True)
class Propose:
    """Event for the log: get this value chosen. The same `id` is the same proposal, at whatever proxy."""

    machine: str
    id: str
    body: bytes
    timeout_us: int  # without a result for so long it ends as UNKNOWN


@dataclass(frozen=True, slots=True)
class ProposalFinished:
    """Action of the log: the single report on a proposal of this proxy."""

    id: str
    status: ProposalStatus
    outcome: Outcome | None = None
    position: int = 0


@dataclass(frozen=True, slots=True)
class Applied:
    """Action of the log: an entry was applied here, in order, with its result."""

    entry: Entry
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Restored:
    """Action of the log: a snapshot gave the state up to `position`; no `Applied` follows for its entries."""

    position: int


@dataclass(frozen=True, slots=True)
class ConfirmLeadership:
    """Event for the log: is this proxy the leader, also after this moment?"""

    token: int


@dataclass(frozen=True, slots=True)
class LeadershipConfirmed:
    """Action of the log: a majority of the voters followed this leader after `ConfirmLeadership` came.

    So no other leader had been elected by then. A request without an answer was not confirmed.
    """

    token: int
    ballot: int


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """Action of the log: the leader as far as it is known here, None for none. `ballot` grows with each."""

    leader: str | None
    ballot: int
    is_self: bool
