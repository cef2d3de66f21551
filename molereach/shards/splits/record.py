"""What is kept of one split."""

from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import Id, Position, WireStruct
from molereach.shards.map.shard_map import MEMBERS, Home, Member, ShardNumber, Version
from molereach.shards.splits.states import State


class Record(WireStruct, frozen=True):
    """A split, and where it stands."""

    id: Id
    shard: ShardNumber
    cut: Member
    end: Annotated[int, Meta(ge=1, le=MEMBERS)]  # the members of the range are below
    home: Home  # that has the shard
    to: Home  # that is to have the range
    state: State
    position: Position  # of the entry that brought it there
    since_ms: Annotated[int, Meta(ge=0, le=1 << 53)]
    new: Annotated[int, Meta(ge=0, le=1 << 40)] = 0  # the number of the upper shard, once handed over
    version: Version = 0  # of the map by which it was handed over
    why: Annotated[str, Meta(max_length=128)] = ""

    @property
    def homes(self) -> tuple[Home, Home]:
        return self.home, self.to

    def moves(self, member: int) -> bool:
        return self.cut <= member < self.end
