"""What a gateway may do: the answer to an event, to be carried out in order. Times are whole microseconds."""

from dataclasses import dataclass

from molereach.policy.interface.messages import GossipMessage, LimitMessage


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """Start an attempt; a time-out of 0 lasts until the client gives up.

    Its last byte is sent before `whole_by_us`, on the clock of the events, or never: it may wait for a
    connection, and be taken slowly. 0 is no such bound. `attempt` is its number among the request's.
    """

    request_id: str
    endpoint: str
    timeout_us: int = 0
    write_deadline_us: int = 0
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not taken, and trying again is harmless."""

    request_id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, with no promise about effects."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Timer event."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check whether a server answers."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this gateway's idle connections to a server."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send words to one peer."""

    peer: int
    messages: tuple[GossipMessage | LimitMessage, ...]


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a number that the shared counter keeps."""

    name: int
    amount: float
    lifetime_us: int


@dataclass(frozen=True, slots=True)
class SubscribeToEndpoints:
    """Follow the changes of the server list, or stop."""

    on: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask for the whole server list once."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """A line for those on call."""

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
