"""What a gateway is told: each event is handed to `Gateway.handle(now_us, event)`.

All times are whole microseconds.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.policy.interface.messages import GossipMessage, LimitMessage


class AttemptResult(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    MALFORMED = "spoilt"  # an answer that cannot be read: it ran
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


class EndpointState(Enum):
    """What the server list says of a server."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class EndpointListKind(Enum):
    """What a piece of news from the server list holds."""

    FULL = "full"
    SAVED = "saved"
    CHANGES = "changes"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a server says of itself; None where it says nothing of the kind."""

    in_flight: float | None = None
    queue_length: float | None = None
    cpu_utilization: float | None = None
    service_time_ms: float | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the server list."""

    name: str
    zone: int
    kind: int
    cell: int
    state: EndpointState
    size: float = 1.0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """News of the servers: the whole list, changes to it, or word that a call failed.

    `seen_by` is how many gateways share each of the servers; 0: all do."""

    kind: EndpointListKind
    version: int
    endpoints: tuple[Endpoint, ...] = ()
    sharing_proxies: int = 0


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request; the gateway now owes one final answer."""

    request_id: str
    class_index: int
    plan_index: int
    customer: str
    remaining_us: int
    units: float = 1.0
    set_size: int = 1
    set_first: int = 0
    is_retry: bool = False
    is_write: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStreamStarted:
    """A streamed answer has begun: the attempt belongs to the client."""

    request_id: str
    attempt: int
    endpoint: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended; each Send gets one."""

    request_id: str
    is_request_closed: bool
    attempt: int
    endpoint: str
    result: AttemptResult
    latency_us: int
    used_percent: int = 0
    actual_units: float = 0.0
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; nothing is owed any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer that the gateway set has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a Probe."""

    endpoint: str
    result: AttemptResult
    latency_us: int
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A message from another gateway. `generation` is new with each start of a sender that tells totals;
    `hears` says whether it has heard this gateway of late."""

    sender: int
    messages: tuple[GossipMessage | LimitMessage, ...]
    incarnation: int | None = None
    is_heard: bool = True


@dataclass(frozen=True, slots=True)
class CounterUpdated:
    """The shared counter's reply to a Count."""

    name: int
    result: AttemptResult
    total: float
    latency_us: int


Event = (
    EndpointListReceived
    | RequestReceived
    | ResponseStreamStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerExpired
    | HealthCheckEnded
    | GossipReceived
    | CounterUpdated
)
