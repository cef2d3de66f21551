"""What a gateway may do: the answer to an event, to be carried out in order. Times are whole microseconds."""

from dataclasses import dataclass

from molereach.policy.interface.messages import LimitWord, Word


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; a time-out of 0 lasts until the client gives up.

    Its last byte is sent before `whole_by_us`, on the clock of the events, or never: it may wait for a
    connection, and be taken slowly. 0 is no such bound. `attempt` is its number among the request's.
    """

    id: str
    server: str
    timeout_us: int = 0
    whole_by_us: int = 0
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not taken, and trying again is harmless."""

    id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise about effects."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Timer event."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check whether a server answers."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this gateway's idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Send words to one peer."""

    peer: int
    words: tuple[Word | LimitWord, ...]


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a number that the shared counter keeps."""

    name: int
    amount: float
    lifetime_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Follow the changes of the server list, or stop."""

    on: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask for the whole server list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for those on call."""

    text: str


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | Probe | CloseIdle | Tell | Count | Subscribe | FetchList | Log
)
