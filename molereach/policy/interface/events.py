"""What a gateway is told: each event is handed to `Gateway.handle(now_us, event)`.

All times are whole microseconds.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.policy.interface.messages import GossipMessage, LimitMessage


class AttemptResult(Enum):
    """How an attempt, a health check or a call of the shared counter ended, and whether it was executed."""

    OK = "ok"
    ERROR = "error"  # executed
    REJECTED = "full"  # not executed: the backend has no capacity
    TIMEOUT = "timeout"  # maybe executed
    CONNECT_FAILED = "connect_failed"  # not executed: not written completely, for whatever reason
    RESET = "reset"  # maybe executed: the connection ended after the command was written
    MALFORMED = "spoilt"  # executed: the answer cannot be parsed
    CANCELLED = "cancelled"  # maybe executed
    NOT_SENT = "moot"  # not executed: withdrawn here, or no socket was free


class EndpointState(Enum):
    """The state of a backend in the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """What an endpoint list event holds."""

    FULL = "full"
    SAVED = "saved"
    CHANGES = "changes"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A backend's report on itself; None where a value is missing."""

    in_flight: float | None = None
    queue_length: float | None = None
    cpu_utilization: float | None = None
    service_time_ms: float | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend in the endpoint list."""

    name: str
    zone: int
    kind: int
    cell: int
    state: EndpointState
    size: float = 1.0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """The complete endpoint list, changes to it, or a failure to get it.

    `sharing_proxies` is how many gateways share each of the backends; 0: all do.
    """

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
    is_client_retry: bool = False
    is_write: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStreamStarted:
    """A streamed answer has begun: nothing more is owed but the rest of the stream."""

    request_id: str
    attempt: int
    endpoint: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended; there is one for each `ForwardAttempt`."""

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
    """The client has disconnected; nothing is owed any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer that the gateway set has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a `CheckHealth`."""

    endpoint: str
    result: AttemptResult
    latency_us: int
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Messages of another gateway."""

    sender: int
    messages: tuple[GossipMessage | LimitMessage, ...]
    incarnation: int | None = None  # new with each start of a sender that sends spending totals
    is_receiving: bool = True  # whether the sender has received messages of this gateway recently


@dataclass(frozen=True, slots=True)
class CounterUpdated:
    """The shared counter's reply to an `AddToCounter`."""

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
