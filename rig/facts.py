"""Facts that clients, servers, discovery and the process supervisor record, in microseconds of one clock.

A fact is always observed from outside the front doors; none relies on what a front door says of itself. Names
of classes and fields appear in reports.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a class of requests may run more than once; the values are those of the settings."""

    SAFE = "read_like"
    KEYED = "idempotency_key"
    UNSAFE = "non_idempotent"


class Kind(Enum):
    """The meaning of an answer to a client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Down(Enum):
    """Why a front door does not serve."""

    KILLED = "killed"
    STOPPED = "stopped"
    ENDED = "ended"  # as requested
    CRASHED = "crashed"


class Listed(Enum):
    """The state of a server in the endpoint list."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


@dataclass(frozen=True, slots=True)
class Asked:
    """A client wrote the last byte of a request; or it could not connect, and `taken` is false."""

    at_us: int
    id: str
    door: str
    customer: str
    effect: Effect
    group: str  # "all" or "zone": the servers that share the deduplication of keyed requests
    window_us: int  # of deduplication
    plan: str
    units: float
    until_us: int  # the client's deadline
    key: str = ""
    taken: bool = True


@dataclass(frozen=True, slots=True)
class Answered:
    """A client received the last byte of an answer."""

    at_us: int
    id: str
    door: str
    kind: Kind
    value: bytes = b""
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Extra:
    """A front door did something unsolicited: an additional answer, or a command that no client sent."""

    at_us: int
    door: str
    text: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The connection ended before the answer; `again` if the client then sends the request once more."""

    at_us: int
    id: str
    door: str
    again: bool = False


@dataclass(frozen=True, slots=True)
class Left:
    """A client stopped waiting and closed its connection."""

    at_us: int
    id: str
    door: str


@dataclass(frozen=True, slots=True)
class Arrived:
    """A server received the last byte of a command."""

    at_us: int
    id: str
    server: str
    zone: str
    door: str
    first_us: int  # when its first byte arrived
    work_us: int  # on one core


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """A server rejected a command without executing it."""

    at_us: int
    id: str
    server: str
    door: str


@dataclass(frozen=True, slots=True)
class Ran:
    """A server started to execute a command, which has its effect from now on."""

    at_us: int
    id: str
    server: str
    door: str
    customer: str
    units: str
    key: str
    value: bytes  # the result, unique to this execution


@dataclass(frozen=True, slots=True)
class Repeat:
    """A server dropped a repeated keyed request and answers with the result of the first one."""

    at_us: int
    id: str
    server: str
    door: str
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Started:
    """A server started, with `cold_from` of its capacity (in cores) until it is warm after `warm_us`."""

    at_us: int
    server: str
    capacity: float
    cold_from: float
    warm_us: int


@dataclass(frozen=True, slots=True)
class Fell:
    """A cold server failed under overload."""

    at_us: int
    server: str
    sent_us: int  # work that arrived within the window
    able_us: int  # work that it could do in the window


@dataclass(frozen=True, slots=True)
class Told:
    """Discovery told a front door the state of a server."""

    at_us: int
    door: str
    server: str
    state: Listed


@dataclass(frozen=True, slots=True)
class DoorUp:
    """A front door answers after a start, or runs again after a stop."""

    at_us: int
    door: str
    again: bool = False  # the same process as before a stop


@dataclass(frozen=True, slots=True)
class DoorDown:
    """A front door does not serve from now on."""

    at_us: int
    door: str
    how: Down


@dataclass(frozen=True, slots=True)
class Late:
    """The test bed itself ran late by this much, so times observed then are inexact."""

    at_us: int
    by_us: int


Fact = (
    Asked
    | Answered
    | Extra
    | Ended
    | Left
    | Arrived
    | TurnedAway
    | Ran
    | Repeat
    | Started
    | Fell
    | Told
    | DoorUp
    | DoorDown
    | Late
)
