"""The events that a rollout handles and the actions that it returns.

The caller does the I/O: it reports the results of its requests and the passing of time as events, and carries
out the actions that `Rollout` returns.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from molereach.fleet.agreement import Message
from molereach.fleet.api_bodies import AgentSnapshot
from molereach.fleet.orders import Verb


@dataclass(frozen=True, slots=True)
class Draft:
    """An order whose base revision may still be unset.

    A `based_on` of None stands for the newest revision known at the first validation; `lapses_ms` is as in
    `Order`.
    """

    id: str
    verb: Verb
    subject: str
    issuer: str
    reason: str
    lapses_ms: int = 0
    forced: bool = False
    based_on: int | None = None


@dataclass(frozen=True, slots=True)
class Timeouts:
    """How long to wait, in microseconds: for a majority to agree, then for proxies to confirm the order."""

    agree_us: int = 5_000_000
    confirm_us: int = 3_000_000


# --- events ---


@dataclass(frozen=True, slots=True)
class SnapshotReceived:
    """An agent's snapshot arrived."""

    agent: str
    snapshot: AgentSnapshot


@dataclass(frozen=True, slots=True)
class ReplyReceived:
    """An agent replied to an agreement message."""

    agent: str
    message: Message


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """A request to an agent failed; `snapshot_requested` is False if it was an agreement message."""

    agent: str
    reason: str
    snapshot_requested: bool = False


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; the caller reports it at intervals."""


# --- actions ---


@dataclass(frozen=True, slots=True)
class RequestSnapshot:
    """Request an agent's snapshot."""

    agent: str


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send an agent an agreement message."""

    agent: str
    message: Message


@dataclass(frozen=True, slots=True)
class Step:
    """The rollout has reached a step, which is shown to operators; tests inject faults at these steps."""

    name: Literal[
        "looking", "judged", "promised", "accepting", "accepted", "decided", "told", "confirming", "reported"
    ]


Event = SnapshotReceived | ReplyReceived | RequestFailed | Tick
Action = RequestSnapshot | SendMessage | Step


def send_to_all(agents: Iterable[str], messages: Iterable[Message]) -> list[Action]:
    """Return the actions that send each message to every agent, in order of messages."""
    agents = tuple(agents)
    return [SendMessage(agent, message) for message in messages for agent in agents]
