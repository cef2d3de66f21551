"""Events that a gateway receives: each is passed to `Gateway.handle(now_us, event)`.

All times are whole microseconds.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.policy.interface.messages import GossipMessage, LimitMessage


class AttemptResult(Enum):
    """How an attempt, a health check or a call to the shared counter ended."""

    # The comments say whether the request was executed.
    OK = "ok"  # executed
    ERROR = "error"  # executed
    REJECTED = "full"  # not executed: the backend has no capacity
    TIMEOUT = "timeout"  # maybe executed
    CONNECT_FAILED = "connect_failed"  # not executed: the request was not written completely, for any reason
    RESET = "reset"  # maybe executed: the connection ended after the command was written
    MALFORMED = "spoilt"  # executed, but the answer cannot be parsed
    CANCELLED = "cancelled"  # maybe executed
    NOT_SENT = "moot"  # not executed: cancelled before it was sent, or no socket was free


class EndpointState(Enum):
    """The state of a backend in the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """What an `EndpointListReceived` event contains."""

    FULL = "full"
    SAVED = "saved"
    CHANGES = "changes"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a backend reports about itself; None where a value is missing."""

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
    """The full endpoint list, changes to it, or a failure to obtain it.

    `sharing_proxies` is the number of gateways that share each backend; 0 means all of them.
    """

    kind: EndpointListKind
    version: int
    endpoints: tuple[Endpoint, ...] = ()
    sharing_proxies: int = 0


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request; the gateway must give it exactly one final answer."""

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
    """A streamed answer has begun: the client needs no other answer than the rest of the stream."""

    request_id: str
    attempt: int
    endpoint: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; there is exactly one such event for each `ForwardAttempt`."""

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
    """The client has disconnected and needs no answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer set by `SetTimer` has expired."""

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
    """Messages from another gateway."""

    sender: int
    messages: tuple[GossipMessage | LimitMessage, ...]
    incarnation: int | None = None  # changes with each start of a sender that sends spending totals
    is_receiving: bool = True  # whether the sender has recently received messages from this gateway


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
