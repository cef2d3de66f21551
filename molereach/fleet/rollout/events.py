"""What is to be given, and the events and actions of its way.

The shell hands in what comes of its calls and the time, and carries out what a `Campaign` answers.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from molereach.fleet.agreement import Message
from molereach.fleet.api_bodies import View
from molereach.fleet.orders import Verb


@dataclass(frozen=True, slots=True)
class Draft:
    """An order before it is known what it is based on; `based_on` None: on what stands at the first look."""

    id: str
    verb: Verb
    subject: str
    issuer: str
    reason: str
    lapses_ms: int = 0
    forced: bool = False
    based_on: int | None = None


@dataclass(frozen=True, slots=True)
class Times:
    """How long to wait, in microseconds."""

    agree_us: int = 5_000_000  # for a majority
    confirm_us: int = 3_000_000  # for the front doors


# --- events ---


@dataclass(frozen=True, slots=True)
class Viewed:
    """An agent's view came."""

    agent: str
    view: View


@dataclass(frozen=True, slots=True)
class Replied:
    """An agent's reply to a message."""

    agent: str
    message: Message


@dataclass(frozen=True, slots=True)
class Silent:
    """An agent could not be asked; `look` if it was for its view."""

    agent: str
    why: str
    look: bool = False


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


# --- actions ---


@dataclass(frozen=True, slots=True)
class Look:
    """Ask an agent for its view."""

    agent: str


@dataclass(frozen=True, slots=True)
class Say:
    """Send an agent a message of the agreement."""

    agent: str
    message: Message


@dataclass(frozen=True, slots=True)
class Step:
    """How far it has come, for people and for tests that cut it there."""

    name: Literal[
        "looking", "judged", "promised", "accepting", "accepted", "decided", "told", "confirming", "reported"
    ]


Event = Viewed | Replied | Silent | Tick
Action = Look | Say | Step


def to_all(agents: Iterable[str], messages: Iterable[Message]) -> list[Action]:
    """Each message to every agent."""
    agents = tuple(agents)
    return [Say(agent, message) for message in messages for agent in agents]
