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

__all__ = [
    "MAX_ENTRIES",
    "DownstreamUpdate",
    "Message",
    "ParentRequest",
    "Redirect",
    "RenewalGrant",
    "RenewalRequest",
    "UpstreamReport",
]

MAX_ENTRIES = 64  # in one word
MAX_DEPTH = 64

Ballot = Position
Count = Annotated[int, Meta(ge=0, le=1 << 62)]


# --- messages ---


class TreeMessage(WireStruct, frozen=True, array_like=True, tag_field="kind"):
    """A message."""


class UpstreamReport(TreeMessage, frozen=True, tag="s.up"):
    """From a child, once a beat: what it has, and the asks of all below it, its own first."""

    applied_position: Position
    subtree_size: Annotated[int, Meta(ge=1, le=MAX_MEMBERS)]  # front doors, itself counted
    renewal_requests: Annotated[tuple[RenewalRequest, ...], Meta(max_length=MAX_MEMBERS)] = ()


class DownstreamUpdate(TreeMessage, frozen=True, tag="s.down"):
    """From a parent. A `number` that was not seen before is a pulse; only the leader makes new ones."""

    ballot: Ballot
    heartbeat_number: Count
    leader: Name
    depth: Annotated[int, Meta(ge=0, le=MAX_DEPTH)]  # of who speaks; 0 is the leader
    applied_position: Position  # applied by who speaks
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES)] = ()
    grants: Annotated[tuple[RenewalGrant, ...], Meta(max_length=MAX_MEMBERS)] = ()


class ParentRequest(TreeMessage, frozen=True, tag="s.whom"):
    """From one that has a parent and would rather have this one."""


class Redirect(TreeMessage, frozen=True, tag="s.redirect"):
    """Take this parent (it may be who speaks), and hear of the newest leader known."""

    parent: Name
    ballot: Ballot
    leader: Name | None = None


Message = UpstreamReport | DownstreamUpdate | ParentRequest | Redirect


# --- events, with `MessageReceived` and `Tick` of the interface ---


@dataclass(frozen=True, slots=True)
class ClusterState:
    """Who lives, by membership, and who leads, by the log; either may be wrong for a time."""

    live_instances: tuple[NodeInstance, ...]
    leader: str | None
    ballot: int
    voters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LogAdvanced:
    """The log here has applied all up to `position`; `entries` are the newest of them, in order."""

    position: int
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class RenewalWanted:
    """This front door's own ask, in the place of its last one."""

    request: RenewalRequest


@dataclass(frozen=True, slots=True)
class GrantsIssued:
    """At the leader: what the keeper of sessions gave."""

    grants: tuple[RenewalGrant, ...]


# --- actions, with `SendMessage` of the interface ---


@dataclass(frozen=True, slots=True)
class EntriesReceived:
    """For the log: entries that follow on what is applied here, or on what is already given to it."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class FetchEntries:
    """The log here is behind and should catch up from this front door."""

    source: str


@dataclass(frozen=True, slots=True)
class RequestsCollected:
    """At the leader: asks of all who came up, for the keeper."""

    requests: tuple[RenewalRequest, ...]


@dataclass(frozen=True, slots=True)
class LocalGrants:
    """For this front door's own session."""

    grants: tuple[RenewalGrant, ...]


@dataclass(frozen=True, slots=True)
class ParentChanged:
    """Whom this front door listens to from now on; None for the leader, or for nobody."""

    name: str | None


Action = EntriesReceived | FetchEntries | RequestsCollected | LocalGrants | ParentChanged
