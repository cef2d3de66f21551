"""The events, actions and messages of the dissemination tree.

Messages are arrays on the wire. A renewal request takes at most 48 bytes of MessagePack for names of up to 21
characters and positions below 2**32.
"""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import MAX_MEMBERS, Name, NodeInstance, Position, WireStruct
from molereach.coordination.interface.log import Entry
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest

MAX_ENTRIES = 64  # in one message
MAX_DEPTH = 64

Ballot = Position
Count = Annotated[int, Meta(ge=0, le=1 << 62)]


# --- messages ---


class TreeMessage(WireStruct, frozen=True, array_like=True, tag_field="kind"):
    """Base of the messages."""


class UpstreamReport(TreeMessage, frozen=True, tag="s.up"):
    """From a child, once an interval: its position, and the requests of its subtree, its own first."""

    applied_position: Position
    subtree_size: Annotated[int, Meta(ge=1, le=MAX_MEMBERS)]  # proxies, itself included
    renewal_requests: Annotated[tuple[RenewalRequest, ...], Meta(max_length=MAX_MEMBERS)] = ()


class DownstreamUpdate(TreeMessage, frozen=True, tag="s.down"):
    """From a parent. A new `heartbeat_number` is a heartbeat; only the leader makes new ones."""

    ballot: Ballot
    heartbeat_number: Count
    leader: Name
    depth: Annotated[int, Meta(ge=0, le=MAX_DEPTH)]  # of the sender; 0 is the leader
    applied_position: Position  # of the sender
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES)] = ()
    grants: Annotated[tuple[RenewalGrant, ...], Meta(max_length=MAX_MEMBERS)] = ()


class ParentRequest(TreeMessage, frozen=True, tag="s.whom"):
    """From a proxy that has a parent and would prefer the receiver."""


class Redirect(TreeMessage, frozen=True, tag="s.redirect"):
    """Follow this parent, which may be the sender; with the newest leader that the sender knows."""

    parent: Name
    ballot: Ballot
    leader: Name | None = None


Message = UpstreamReport | DownstreamUpdate | ParentRequest | Redirect


# --- events, with `MessageReceived` and `Tick` of the interface ---


@dataclass(frozen=True, slots=True)
class ClusterState:
    """The live proxies, by membership, and the leader, by the log; either may be wrong for a time."""

    live_instances: tuple[NodeInstance, ...]
    leader: str | None
    ballot: int
    voters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LogAdvanced:
    """The log here has applied everything up to `position`; `entries` are the newest of it, in order."""

    position: int
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class RenewalWanted:
    """This proxy's own renewal request, in place of its last one."""

    request: RenewalRequest


@dataclass(frozen=True, slots=True)
class GrantsIssued:
    """At the leader: the grants of the lease manager."""

    grants: tuple[RenewalGrant, ...]


# --- actions, with `SendMessage` of the interface ---


@dataclass(frozen=True, slots=True)
class EntriesReceived:
    """For the log: entries that follow what is applied here or was already given to it."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class FetchEntries:
    """The log here is behind and should catch up from this proxy."""

    source: str


@dataclass(frozen=True, slots=True)
class RequestsCollected:
    """At the leader: all renewal requests that came up, for the lease manager."""

    requests: tuple[RenewalRequest, ...]


@dataclass(frozen=True, slots=True)
class LocalGrants:
    """Grants for this proxy's own session."""

    grants: tuple[RenewalGrant, ...]


@dataclass(frozen=True, slots=True)
class ParentChanged:
    """The parent from now on; None for the leader, or for no parent."""

    name: str | None


Action = EntriesReceived | FetchEntries | RequestsCollected | LocalGrants | ParentChanged
