"""What the parts of the council give one another, and what stands on it is given.

Every core takes an event with the time in and returns actions in order; it has no clock, chance or socket of
its own. Times are whole microseconds of a monotonic clock that is this process's alone; only `Entry.at_ms` is
wall time, written once by the front door that proposed the entry and the same for all who read it.

The five parts, and what each promises:

- `membership`: which front doors live. A hint, never a proof: nothing that must be safe may rest on it.
- `log`: one value at each position, the same at every front door that has it, whoever fails. Safe without
  any clock; it goes on while a majority of its panel lives and hears one another.
- `leases`: each front door's session, a term it keeps to by its own clock. What a front door may do only
  while others can count on it, it does under its session; when that is over, it is over there first.
- `spread`: entries to all, and renewals of sessions back, along a tree, so that each front door's words do
  not grow with the number of front doors.
- `links` and `store`: the shells, TCP and the disk.

Decisions are made by entries alone. A state machine is given nothing else, so it comes to the same state
everywhere, also from a snapshot.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any, Protocol

import msgspec
from msgspec import Meta

SECOND_US = 1_000_000  # microseconds in a second

MAX_MEMBERS = 256  # of one council
MAX_NAME_CHARACTERS = 64
MAX_ENTRY_BODY_BYTES = 16 << 10  # of one entry
MAX_ID_CHARACTERS = 64
VOTER_COUNTS = (3, 5, 7)  # that accept; 3 is for trials, as it bears one loss only
NEVER_US = 1 << 62

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z"
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS, pattern=NAME_PATTERN)]
Id = Annotated[str, Meta(min_length=1, max_length=MAX_ID_CHARACTERS)]
Position = Annotated[int, Meta(ge=0, le=1 << 62)]
InstanceNumber = Annotated[int, Meta(ge=0, le=1 << 62)]


class WireStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes between front doors or to the disk: typed, bounded, and refused when it is not as it says."""


class NodeInstance(WireStruct, frozen=True, order=True):
    """One run of one front door: its name, and a number that is new and higher with each start.

    The number is Unix milliseconds at the start times 2**20 plus 20 random bits, drawn by the shell. A clock
    that was set back can give a lower one: who hears of a higher life under its own name must start anew.
    """

    name: Name
    number: InstanceNumber


# --- events and actions that the cores have in common ---


@dataclass(frozen=True, slots=True)
class Tick:
    """The time that a core's `wake_us` named has come, or has passed."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of another front door. The link has checked who it is from and that it is well formed."""

    sender: NodeInstance
    message: Any  # one of the core's own `Message` types


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a front door's newest life; it may be lost, late, doubled or overtaken.

    With `life` it is for that run alone: the link drops it for any other.
    """

    recipient: str
    message: Any
    instance_number: int | None = None


class Core(Protocol):
    """One part of the council at one front door."""

    @property
    def wake_us(self) -> int:
        """When it wants a `Tick` if nothing happens before; `NEVER_US` for never."""

    def handle(self, now_us: int, event: Any) -> Sequence[Any]:  # noqa: ANN401
        """Take one event; what is to be done, in order. `now_us` never goes back within a run."""


# --- the log, as those on it see it ---


class Entry(WireStruct, frozen=True):
    """What was settled at one place of the log."""

    position: Position  # from 1
    machine: Name  # the state machine that it is for; "" for the log's own, which have none of their own
    id: Id  # drawn by who proposed it: the same proposal, told again, is applied once
    proposer: NodeInstance
    at_ms: Annotated[int, Meta(ge=0, le=1 << 53)]  # Unix time; never lower than in the entry before
    body: Annotated[bytes, Meta(max_length=MAX_ENTRY_BODY_BYTES)]  # msgspec JSON of the machine's own type


class Outcome(WireStruct, frozen=True):
    """What an entry came to, the same everywhere. `error` is one plain line, and then nothing changed."""

    error: str = ""
    value: bytes = b""  # msgspec JSON of the machine's own type


class StateMachine(Protocol):
    """What stands on the log: deterministic, no clock but the entry's, no chance, no I/O, bounded state.

    A body that is not understood, or that breaks a rule, is an `Outcome` with an error, at every front door
    alike; an exception is a fault of ours and stops the machine at that front door (it serves on by leases).
    """

    name: str

    def apply(self, entry: Entry) -> Outcome:
        """Take the next entry of this machine; positions only grow."""

    def snapshot(self) -> bytes:
        """All of the state, byte for byte the same wherever the same entries were applied."""

    def restore(self, data: bytes) -> None:
        """Be what a snapshot says, all of it; ValueError and unchanged where it makes no sense."""


class ProposalStatus(Enum):
    """How a proposal ended for who made it."""

    APPLIED = "settled"  # applied here, with its outcome
    UNKNOWN = "unknown"  # no word in time: it may be settled, now or later. Ask again with the same id
    REJECTED = "refused"  # certainly not settled by this proposal: too large, too many, no such machine


@dataclass(frozen=True, slots=True)
class Propose:
    """Event for the log: settle this. The same `id` again is the same proposal, at whatever front door."""

    machine: str
    id: str
    body: bytes
    timeout_us: int  # after that it is UNKNOWN


@dataclass(frozen=True, slots=True)
class ProposalFinished:
    """Action of the log: the one word on a proposal of this front door."""

    id: str
    status: ProposalStatus
    outcome: Outcome | None = None
    position: int = 0


@dataclass(frozen=True, slots=True)
class Applied:
    """Action of the log: an entry was applied here, in order, with what it came to."""

    entry: Entry
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Restored:
    """Action of the log: the state up to `position` came by snapshot; no `Applied` for what it holds."""

    position: int


@dataclass(frozen=True, slots=True)
class ConfirmLeadership:
    """Event for the log: is this front door the leader, also after this moment?"""

    token: int


@dataclass(frozen=True, slots=True)
class LeadershipConfirmed:
    """Action of the log: a majority of the panel followed this leader after `Confirm` came, so no other had
    been elected by then. A `Confirm` that is not answered was not confirmed."""

    token: int
    ballot: int


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """Action of the log: who leads, as far as is known here; None for nobody. `ballot` grows with each."""

    leader: str | None
    ballot: int
    is_self: bool


# --- the disk, as the log sees it ---


@dataclass(frozen=True, slots=True)
class Persist:
    """Action of the log: these records must be on the disk before anything that waits for `token` leaves.

    Records are appended in order; `base`, if given, takes the place of all that was written before.
    """

    token: int
    records: tuple[bytes, ...]
    base: bytes | None = None


@dataclass(frozen=True, slots=True)
class Persisted:
    """Event for the log: all up to and with `token` is on the disk."""

    token: int


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """Event for the log: a write or a sync failed. It accepts and promises nothing more in this run."""

    reason: str


# --- sessions and what hangs on them ---


@dataclass(frozen=True, slots=True)
class SessionTerms:
    """How long a session lasts, and by how much the rate of a clock may be wrong, either way.

    The holder counts from before it asked, the council from after it gave: the holder's end comes first.
    """

    duration_us: int = 5 * SECOND_US
    drift: float = 0.001

    @property
    def holder_duration_us(self) -> int:
        """For how long the holder counts on it, by its own clock, from when it asked."""
        return int(self.duration_us * (1 - self.drift))

    @property
    def expiry_us(self) -> int:
        """After how long it is certainly over, by anybody's clock, from when it was given or anything that
        came later."""
        return int(self.duration_us * (1 + self.drift)) + 1


RenewalNumber = Annotated[int, Meta(ge=1, le=1 << 62)]


class RenewalRequest(WireStruct, frozen=True, array_like=True):
    """Renew my session; and so far I have applied the log, in all that stands on it.

    It goes along the tree unchanged, at most 48 bytes of it for names of up to 21 characters.
    """

    name: Name
    instance_number: InstanceNumber
    fencing_token: Position
    number: RenewalNumber  # never again within this life: a grant is for one ask
    applied_position: Position
    lag: Position = 0  # by so many positions `clear` is behind

    @property
    def clear_position(self) -> int:
        """Up to where nothing that entries forbid is still under way there."""
        return max(0, self.applied_position - self.lag)


class RenewalGrant(WireStruct, frozen=True, array_like=True):
    """The session is renewed, from when this ask was made. It says nothing of any other ask."""

    name: Name
    instance_number: InstanceNumber
    fencing_token: Position
    number: RenewalNumber


class Session(Protocol):
    """What a front door asks before it does what others count on; asked anew each time, never kept."""

    def holds(self, now_us: int) -> bool:
        """Whether the session is held at this moment. After a stop it is found to be over before anything is
        done under it, as long as `now_us` was read after the stop."""

    @property
    def fence(self) -> int:
        """The log's position at which this session was opened: later ones have higher ones. 0 for none."""

    @property
    def applied(self) -> int:
        """Up to where the log was applied here, as the council was last told."""


class ClearanceEvidence(Enum):
    """How it is known that a front door does nothing any more that an entry forbids."""

    REPORTED = "said"  # it applied the entry, or is clear of what it forbids, and said so under its session
    RESTARTED = "anew"  # it has started since under a new life, which had the entry before it served
    SESSION_EXPIRED = "over"  # its session is certainly over, and it does without what hangs on it by itself
    LEFT = "left"  # it left in order


class NodeClearance(WireStruct, frozen=True):
    """One front door's part in the proof that an entry holds everywhere."""

    instance: NodeInstance = msgspec.field(name="door")
    evidence: ClearanceEvidence = msgspec.field(name="known")
    position: Position  # of the log, at which it was known
