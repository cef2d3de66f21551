"""The interface of the replicated log: entries, proposals, state machines, leadership."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Protocol

from msgspec import Meta

from molereach.coordination.interface.identifiers import Id, Name, NodeInstance, Position, WireStruct

MAX_ENTRY_BODY_BYTES = 16 << 10
VOTER_COUNTS = (3, 5, 7)  # three voters tolerate the loss of only one, so they are meant for trials


class Entry(WireStruct, frozen=True):
    """The value chosen at one position of the log."""

    position: Position  # from 1
    machine: Name  # the state machine that applies it; "log" for entries that change the voters
    id: Id  # drawn by the proposer; a proposal that is repeated under the same id is applied once
    proposer: NodeInstance
    at_ms: Annotated[int, Meta(ge=0, le=1 << 53)]  # Unix time; not lower than that of the previous entry
    body: Annotated[bytes, Meta(max_length=MAX_ENTRY_BODY_BYTES)]  # msgspec JSON, of a type of the machine


class Outcome(WireStruct, frozen=True):
    """The result of applying an entry, the same at every proxy.

    `error` is one line of text; if it is not empty, the entry changed nothing.
    """

    error: str = ""
    value: bytes = b""  # msgspec JSON, of a type of the machine


class StateMachine(Protocol):
    """A deterministic state machine on the log.

    It has no clock but `Entry.at_ms`, no randomness and no I/O, and its state is bounded. A body that is
    malformed or breaks a rule gives an `Outcome` with an error, the same at every proxy. An exception is a
    bug: it stops the machine in that proxy, which continues to serve under its leases.
    """

    name: str

    def apply(self, entry: Entry) -> Outcome:
        """Apply the next entry of this machine; positions increase."""

    def snapshot(self) -> bytes:
        """Return the complete state, byte for byte the same wherever the same entries were applied."""

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot. A malformed one raises a ValueError and changes nothing."""


class ProposalStatus(Enum):
    """The final status of a proposal at its proposer."""

    APPLIED = "settled"  # applied at this proxy; the outcome is known
    UNKNOWN = "unknown"  # no result in time; it may still be chosen, so retry with the same id
    REJECTED = "refused"  # never sent: too large, too many pending proposals, or no such machine


@dataclass(frozen=True, slots=True)
class Propose:
    """Event for the log: get this value chosen. Equal ids mean the same proposal, also at other proxies."""

    machine: str
    id: str
    body: bytes
    timeout_us: int  # without a result by then the proposal ends as UNKNOWN


@dataclass(frozen=True, slots=True)
class ProposalFinished:
    """Action of the log: the result of a proposal of this proxy, reported once."""

    id: str
    status: ProposalStatus
    outcome: Outcome | None = None
    position: int = 0


@dataclass(frozen=True, slots=True)
class Applied:
    """Action of the log: an entry was applied at this proxy. Entries are reported in order."""

    entry: Entry
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Restored:
    """Action of the log: the state up to `position` was restored, without an `Applied` for its entries."""

    position: int


@dataclass(frozen=True, slots=True)
class ConfirmLeadership:
    """Event for the log: confirm that this proxy is still the leader when the event is handled."""

    token: int


@dataclass(frozen=True, slots=True)
class LeadershipConfirmed:
    """Action of the log: a majority of the voters followed this leader after the `ConfirmLeadership` event.

    So no other leader had been elected when that event was handled. A request without this action was not
    confirmed.
    """

    token: int
    ballot: int


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """Action of the log: another leader is known at this proxy, or none (None).

    `ballot` is the number of its ballot, which increases with each leader; without a leader, of the last one.
    """

    leader: str | None
    ballot: int
    is_self: bool
