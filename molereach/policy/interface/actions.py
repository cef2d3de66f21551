"""What a gateway may do: the answer to an event, to be carried out in order. Times are whole microseconds."""

from dataclasses import dataclass

from molereach.policy.interface.messages import GossipMessage, LimitMessage


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """Start an attempt.

    The last byte of the request is sent before `write_deadline_us` or never: the attempt may wait for a
    connection, and be read slowly.
    """

    request_id: str
    endpoint: str
    timeout_us: int = 0  # 0: none, until the client disconnects
    write_deadline_us: int = 0  # on the clock of the events; 0: none
    attempt: int = 0  # its number among the request's


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected, and a retry is harmless."""

    request_id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, with no promise about effects."""

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
    """Add to a number of the shared counter."""

    name: int
    amount: float
    lifetime_us: int


@dataclass(frozen=True, slots=True)
class SubscribeToEndpoints:
    """Subscribe to changes of the endpoint list, or end the subscription."""

    on: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


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
