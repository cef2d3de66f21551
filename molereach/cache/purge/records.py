"""What the log knows of one purge: asked, then done. A done one never changes."""

from typing import Annotated

from msgspec import Meta

from molereach.cache.purge.bodies import MOST_SHARDS, ClassName, Member
from molereach.cache.purge.ids import PurgeId
from molereach.coordination.interface.identifiers import Name, Position, WireStruct

Millis = Annotated[int, Meta(ge=0, le=1 << 53)]
Number = Annotated[int, Meta(ge=1, le=1 << 62)]


class Asked(WireStruct, frozen=True):
    """A purge that is not done: its scope, the entry that asked for it, and whose session was open then."""

    id: PurgeId
    member: Member
    class_name: ClassName
    shards: Annotated[tuple[Name, ...], Meta(max_length=MOST_SHARDS)]
    position: Position
    at_ms: Millis
    cohort: Number  # the list of sessions that were open at `position`


class Finished(WireStruct, frozen=True):
    """A purge that is done: the entry that says so, and the list of how each front door is known."""

    asked: Asked
    position: Position
    at_ms: Millis
    roster: Number
