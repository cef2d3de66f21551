"""What the core is told, what it does, and what front doors say to each other along the tree.

Words are arrays on the wire. An ask takes at most 48 bytes of msgpack for names of up to 21 characters and
positions below 2**32.
"""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import MAX_MEMBERS, Name, NodeInstance, Position, WireStruct
from molereach.coordination.interface.log import Entry
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest

__all__ = ["MOST_ENTRIES", "Down", "Message", "Redirect", "RenewalGrant", "RenewalRequest", "Up", "Whom"]

MOST_ENTRIES = 64  # in one word
MOST_DEPTH = 64

Ballot = Position
Count = Annotated[int, Meta(ge=0, le=1 << 62)]


# --- messages ---


class Word(WireStruct, frozen=True, array_like=True, tag_field="kind", tag=lambda name: "s." + name.lower()):
    """A message."""


class Up(Word, frozen=True):
    """From a child, once a beat: what it has, and the asks of all below it, its own first."""

    applied: Position
    below: Annotated[int, Meta(ge=1, le=MAX_MEMBERS)]  # front doors, itself counted
    asks: Annotated[tuple[RenewalRequest, ...], Meta(max_length=MAX_MEMBERS)] = ()


class Down(Word, frozen=True):
    """From a parent. A `number` that was not seen before is a pulse; only the leader makes new ones."""

    ballot: Ballot
    number: Count
    leader: Name
    depth: Annotated[int, Meta(ge=0, le=MOST_DEPTH)]  # of who speaks; 0 is the leader
    decided: Position  # applied by who speaks
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MOST_ENTRIES)] = ()
    grants: Annotated[tuple[RenewalGrant, ...], Meta(max_length=MAX_MEMBERS)] = ()


class Whom(Word, frozen=True):
    """From one that has a parent and would rather have this one."""


class Redirect(Word, frozen=True):
    """Take this parent (it may be who speaks), and hear of the newest leader known."""

    parent: Name
    ballot: Ballot
    leader: Name | None = None


Message = Up | Down | Whom | Redirect


# --- events, with `MessageReceived` and `Tick` of the interface ---


@dataclass(frozen=True, slots=True)
class View:
    """Who lives, by membership, and who leads, by the log; either may be wrong for a time."""

    alive: tuple[NodeInstance, ...]
    leader: str | None
    ballot: int
    panel: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Grown:
    """The log here has applied all up to `position`; `entries` are the newest of them, in order."""

    position: int
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Mine:
    """This front door's own ask, in the place of its last one."""

    ask: RenewalRequest


@dataclass(frozen=True, slots=True)
class Give:
    """At the leader: what the keeper of sessions gave."""

    grants: tuple[RenewalGrant, ...]


# --- actions, with `SendMessage` of the interface ---


@dataclass(frozen=True, slots=True)
class Learn:
    """For the log: entries that follow on what is applied here, or on what is already given to it."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Fetch:
    """The log here is behind and should catch up from this front door."""

    source: str


@dataclass(frozen=True, slots=True)
class Gathered:
    """At the leader: asks of all who came up, for the keeper."""

    asks: tuple[RenewalRequest, ...]


@dataclass(frozen=True, slots=True)
class Granted:
    """For this front door's own session."""

    grants: tuple[RenewalGrant, ...]


@dataclass(frozen=True, slots=True)
class Parent:
    """Whom this front door listens to from now on; None for the leader, or for nobody."""

    name: str | None


Action = Learn | Fetch | Gathered | Granted | Parent
