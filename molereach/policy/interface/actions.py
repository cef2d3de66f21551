"""Actions that a gateway returns for an event, to be carried out in order. Times are whole microseconds."""

from dataclasses import dataclass

from molereach.policy.interface.messages import GossipMessage, LimitMessage


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """Start an attempt.

    The request must be written completely before `write_deadline_us`, or else not at all: the attempt may
    wait for a connection, and the backend may read slowly.
    """

    request_id: str
    endpoint: str
    timeout_us: int = 0  # 0: no timeout, the attempt lasts until the client disconnects
    write_deadline_us: int = 0  # on the clock of the events; 0: no deadline
    attempt: int = 0  # index among the attempts of the request


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request is rejected and may safely be retried."""

    request_id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: the request failed and may or may not have taken effect."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerExpired` event."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check whether a backend answers."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this gateway's idle connections to a backend."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send messages to one peer."""

    peer: int
    messages: tuple[GossipMessage | LimitMessage, ...]


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add an amount to one entry of the shared counter."""

    name: int
    amount: float
    lifetime_us: int


@dataclass(frozen=True, slots=True)
class SubscribeToEndpoints:
    """Start or end the subscription to changes of the endpoint list."""

    on: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the full endpoint list once."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log."""

    text: str


Action = (
    ForwardAttempt
    | CancelAttempt
    | Reject
    | FailRequest
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | SendGossip
    | AddToCounter
    | SubscribeToEndpoints
    | FetchEndpoints
    | WriteLog
)
