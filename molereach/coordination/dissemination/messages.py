"""The messages, events and actions of the dissemination tree.

Messages are encoded as arrays. A renewal request takes at most 48 bytes of MessagePack if its name has at
most 21 characters and its positions are below 2**32.
"""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import MAX_MEMBERS, Name, NodeInstance, Position, WireStruct
from molereach.coordination.interface.log import Entry
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest

MAX_ENTRIES = 64  # per message
MAX_DEPTH = 64

Ballot = Position
Count = Annotated[int, Meta(ge=0, le=1 << 62)]


# --- messages ---


class TreeMessage(WireStruct, frozen=True, array_like=True, tag_field="kind"):
    """Base class of the messages."""


class UpstreamReport(TreeMessage, frozen=True, tag="s.up"):
    """Sent to the parent each interval: the position, and the requests of the subtree, the own one first."""

    applied_position: Position
    subtree_size: Annotated[int, Meta(ge=1, le=MAX_MEMBERS)]  # number of proxies, the sender included
    renewal_requests: Annotated[tuple[RenewalRequest, ...], Meta(max_length=MAX_MEMBERS)] = ()


class DownstreamUpdate(TreeMessage, frozen=True, tag="s.down"):
    """Sent to a child. A new `heartbeat_number` marks a heartbeat; only the leader issues new numbers."""

    ballot: Ballot
    heartbeat_number: Count
    leader: Name
    depth: Annotated[int, Meta(ge=0, le=MAX_DEPTH)]  # of the sender; 0 for the leader
    applied_position: Position  # of the sender
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES)] = ()
    grants: Annotated[tuple[RenewalGrant, ...], Meta(max_length=MAX_MEMBERS)] = ()


class ParentRequest(TreeMessage, frozen=True, tag="s.whom"):
    """Asks the receiver to become the parent of a proxy that currently follows another."""


class Redirect(TreeMessage, frozen=True, tag="s.redirect"):
    """Tells the receiver which parent to follow (possibly the sender), and the newest known leader."""

    parent: Name
    ballot: Ballot
    leader: Name | None = None


Message = UpstreamReport | DownstreamUpdate | ParentRequest | Redirect


# --- events, in addition to `MessageReceived` and `Tick` of the interface ---


@dataclass(frozen=True, slots=True)
class ClusterState:
    """The live proxies according to membership, and the leader according to the log. Both may be outdated."""

    live_instances: tuple[NodeInstance, ...]
    leader: str | None
    ballot: int
    voters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LogAdvanced:
    """The local log has applied all entries up to `position`; `entries` are the newest of them, in order."""

    position: int
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class RenewalWanted:
    """This proxy's own renewal request, which replaces its previous one."""

    request: RenewalRequest


@dataclass(frozen=True, slots=True)
class GrantsIssued:
    """At the leader: grants issued by the lease manager."""

    grants: tuple[RenewalGrant, ...]


# --- actions, in addition to `SendMessage` of the interface ---


@dataclass(frozen=True, slots=True)
class EntriesReceived:
    """Entries for the local log that follow those it has applied or was given before."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class FetchEntries:
    """The local log is behind and should fetch missing entries from `source`."""

    source: str


@dataclass(frozen=True, slots=True)
class RequestsCollected:
    """At the leader: the collected renewal requests, for the lease manager."""

    requests: tuple[RenewalRequest, ...]


@dataclass(frozen=True, slots=True)
class LocalGrants:
    """Grants for this proxy's own session."""

    grants: tuple[RenewalGrant, ...]


@dataclass(frozen=True, slots=True)
class ParentChanged:
    """The new parent; None if this proxy leads or has no parent."""

    name: str | None


Action = EntriesReceived | FetchEntries | RequestsCollected | LocalGrants | ParentChanged
