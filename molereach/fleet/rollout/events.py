"""What goes into a rollout and what comes out of it.

The shell reports the results of its calls and the passing of time as events, and carries out the actions that
`Rollout` returns.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from molereach.fleet.agreement import Message
from molereach.fleet.api_bodies import AgentSnapshot
from molereach.fleet.orders import Verb


@dataclass(frozen=True, slots=True)
class Draft:
    """An order whose base revision is not fixed yet.

    `based_on` None stands for the newest revision of the first observation; `lapses_ms` is as in `Order`.
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
    """How long to wait, in microseconds: for agreement of a majority, then for confirmations of proxies."""

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
    """An agent replied to a message of the agreement."""

    agent: str
    message: Message


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """A request to an agent failed; `snapshot_requested` tells which kind of request it was."""

    agent: str
    reason: str
    snapshot_requested: bool = False


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


# --- actions ---


@dataclass(frozen=True, slots=True)
class RequestSnapshot:
    """Request an agent's snapshot."""

    agent: str


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send an agent a message of the agreement."""

    agent: str
    message: Message


@dataclass(frozen=True, slots=True)
class Step:
    """A step that was reached: shown to operators, and a point at which tests interrupt a rollout."""

    name: Literal[
        "looking", "judged", "promised", "accepting", "accepted", "decided", "told", "confirming", "reported"
    ]


Event = SnapshotReceived | ReplyReceived | RequestFailed | Tick
Action = RequestSnapshot | SendMessage | Step


def send_to_all(agents: Iterable[str], messages: Iterable[Message]) -> list[Action]:
    """Return actions that send each message to every agent, message by message."""
    agents = tuple(agents)
    return [SendMessage(agent, message) for message in messages for agent in agents]
