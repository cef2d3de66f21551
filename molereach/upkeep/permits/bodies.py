"""The bodies of entries for the state machine "upkeep", and their decoder."""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import MAX_MEMBERS, Id, Name, Position, WireStruct
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES
from molereach.upkeep.permits.lifecycle import Step
from molereach.upkeep.requests.work_item import MAX_TIMESTAMP_MS, WorkItem
from molereach.upkeep.rules.fleet_facts import (
    MAX_ORDERED_MACHINES,
    MAX_SERVERS,
    MAX_VOTERS,
    ProxyFacts,
    ServerFacts,
)

MACHINE = "upkeep"
MAX_PARTS = 16  # parts of one set of facts
MAX_CLEARANCES = 2 * MAX_MEMBERS  # in a proof: up to two sessions of each name count
_BODY_PREFIX = (
    b'{"kind":"'  # the tag comes first, so that the decoder never skips over nested data to find it
)


class RequestMaintenance(WireStruct, frozen=True, tag_field="kind", tag="ask"):
    """Requests maintenance. A repeated request is answered with the current record of the item."""

    work: WorkItem


class ReportFacts(WireStruct, frozen=True, tag_field="kind", tag="seen"):
    """One part of a set of facts. The parts come in order from one proposer; a first part starts a new
    set."""

    number: Position
    part: Annotated[int, Meta(ge=0, lt=MAX_PARTS)]
    parts: Annotated[int, Meta(ge=1, le=MAX_PARTS)]
    age_ms: Annotated[int, Meta(ge=0, le=MAX_TIMESTAMP_MS)]  # age of the oldest measurement when proposed
    servers: Annotated[tuple[ServerFacts, ...], Meta(max_length=MAX_SERVERS)] = ()
    doors: Annotated[tuple[ProxyFacts, ...], Meta(max_length=MAX_MEMBERS)] = ()
    panel: Annotated[tuple[Name, ...], Meta(max_length=MAX_VOTERS)] = ()  # the voters of the log
    spares: Annotated[int, Meta(ge=0, le=MAX_MEMBERS)] = 0
    ordered: Annotated[tuple[Name, ...], Meta(max_length=MAX_ORDERED_MACHINES)] = ()


class SetFallbackServers(WireStruct, frozen=True, tag_field="kind", tag="stand"):
    """Replaces the fallback servers, which proxies may use for long without a session."""

    servers: Annotated[tuple[Name, ...], Meta(max_length=MAX_SERVERS)]


class TakeStep(WireStruct, frozen=True, tag_field="kind", tag="move"):
    """Takes a step of a work item. `begun` is the position of the entry that started its draining, 0 if none
    did."""

    id: Id
    step: Step
    begun: Position = 0


class SessionClearance(WireStruct, frozen=True, array_like=True):
    """The clearance of one session, by its fencing token: a `NodeClearance` in few bytes, as 256 must fit in
    an entry."""

    fence: Position  # fencing token
    known: ClearanceEvidence
    position: Position  # the clear position, or that of the entry that ended the session


class GrantPermit(WireStruct, frozen=True, tag_field="kind", tag="out"):
    """Grants the permit, with the proof for the draining that started at `begun`."""

    id: Id
    begun: Position
    proof: Annotated[tuple[SessionClearance, ...], Meta(max_length=MAX_CLEARANCES)]


class ReportReturn(WireStruct, frozen=True, tag_field="kind", tag="back"):
    """Reports that the machine with this permit has returned, under this name."""

    id: Id
    permit: Annotated[int, Meta(ge=1, le=MAX_TIMESTAMP_MS)]
    name: Name


Body = RequestMaintenance | ReportFacts | SetFallbackServers | TakeStep | GrantPermit | ReportReturn

_DECODER: msgspec.json.Decoder[Body] = msgspec.json.Decoder(Body)


def encode(body: Body) -> bytes:
    """Encodes a body for the log."""
    return msgspec.json.encode(body)


def decode(data: bytes) -> Body:
    """Decodes a body. Raises ValueError if it is none of them."""
    if len(data) > MAX_ENTRY_BODY_BYTES or not data.startswith(_BODY_PREFIX):
        raise ValueError("not understood")
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:  # not its message, which may differ between versions of the library
        raise ValueError("not understood") from None
