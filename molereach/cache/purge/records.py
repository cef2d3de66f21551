"""The state that the log has of one purge: requested, then completed. A completed one never changes."""

from typing import Annotated

from msgspec import Meta, field

from molereach.cache.purge.bodies import MAX_SHARDS, ClassName, Member
from molereach.cache.purge.ids import PurgeId
from molereach.coordination.interface.identifiers import Name, Position, WireStruct

Millis = Annotated[int, Meta(ge=0, le=1 << 53)]
ListNumber = Annotated[int, Meta(ge=1, le=1 << 62)]


class RequestedPurge(WireStruct, frozen=True):
    """A purge that was requested: its scope, and the position and time of the entry that requested it."""

    id: PurgeId
    member: Member
    class_name: ClassName
    shards: Annotated[tuple[Name, ...], Meta(max_length=MAX_SHARDS)]
    position: Position
    at_ms: Millis
    cohort: ListNumber  # the list of sessions that were open at `position`


class CompletedPurge(WireStruct, frozen=True):
    """A purge that is complete, with the position and time of the entry that completed it."""

    requested: RequestedPurge = field(name="asked")
    position: Position
    at_ms: Millis
    roster: ListNumber  # the list of how each front door cleared it
