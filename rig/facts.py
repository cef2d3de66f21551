"""What the journals of clients, servers, discovery and front doors hold: one clock, microseconds.

A fact is what somebody outside the front doors saw. No front door is asked what it did.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a class of requests may run more than once; named as in the settings."""

    SAFE = "read_like"
    KEYED = "idempotency_key"
    UNSAFE = "non_idempotent"


class Kind(Enum):
    """What an answer to a client means."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Down(Enum):
    """How a front door came not to serve."""

    KILLED = "killed"
    STOPPED = "stopped"
    ENDED = "ended"  # after it was told to
    CRASHED = "crashed"


class Listed(Enum):
    """The state of a server as discovery lists it."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


@dataclass(frozen=True, slots=True)
class Asked:
    """A client wrote the last byte of a request, or could not: then it was never taken."""

    at_us: int
    id: str
    door: str
    customer: str
    effect: Effect
    group: str  # "all" or "zone": the servers that drop repeats of a keyed request
    window_us: int  # for how long they do
    plan: str
    units: float
    until_us: int  # the end of the client's time
    key: str = ""
    taken: bool = True


@dataclass(frozen=True, slots=True)
class Answered:
    """The last byte of an answer came."""

    at_us: int
    id: str
    door: str
    kind: Kind
    value: bytes = b""
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Extra:
    """A front door did what nobody asked for: an answer too many, a command of its own."""

    at_us: int
    door: str
    text: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The connection of a request ended before its answer; `again` if the client then asks once more."""

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
    """The last byte of a command came to a server."""

    at_us: int
    id: str
    server: str
    zone: str
    door: str
    first_us: int  # when its first byte came
    work_us: int  # of one core


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """A server answered that it never ran a command."""

    at_us: int
    id: str
    server: str
    door: str


@dataclass(frozen=True, slots=True)
class Ran:
    """A server began a command: from here on it has an effect."""

    at_us: int
    id: str
    server: str
    door: str
    customer: str
    units: str
    key: str
    value: bytes  # that it answers; nothing else has it


@dataclass(frozen=True, slots=True)
class Repeat:
    """A server dropped the repeat of a keyed request, and answers what the first one made."""

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
    """A cold server was pushed over."""

    at_us: int
    server: str
    sent_us: int  # work that came within the window
    able_us: int  # what it could do in that


@dataclass(frozen=True, slots=True)
class Told:
    """Discovery wrote a server's state to a front door."""

    at_us: int
    door: str
    server: str
    state: Listed


@dataclass(frozen=True, slots=True)
class DoorUp:
    """A front door answers: a start, or the end of a stop."""

    at_us: int
    door: str
    again: bool = False  # it is the same process as before


@dataclass(frozen=True, slots=True)
class DoorDown:
    """A front door does not serve from here on."""

    at_us: int
    door: str
    how: Down


@dataclass(frozen=True, slots=True)
class Late:
    """The rig itself was late by so much: what it saw around then has wrong times."""

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
