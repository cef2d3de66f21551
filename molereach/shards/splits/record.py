"""The replicated state of one split."""

from typing import Annotated

from msgspec import Meta, field

from molereach.coordination.interface.identifiers import Id, Position, WireStruct
from molereach.shards.map.shard_map import MEMBER_ID_LIMIT, CellId, MapVersion, MemberId, ShardNumber
from molereach.shards.splits.states import State


class SplitRecord(WireStruct, frozen=True):
    """A split and its state. The range from `split_point` up to `end` goes from `source` to `target`."""

    id: Id
    shard: ShardNumber
    split_point: MemberId = field(name="cut")
    end: Annotated[int, Meta(ge=1, le=MEMBER_ID_LIMIT)]  # exclusive
    source: CellId = field(name="home")
    target: CellId = field(name="to")
    state: State
    position: Position  # of the entry that led to this state
    since_ms: Annotated[int, Meta(ge=0, le=1 << 53)]  # Unix time of that entry
    new_shard: Annotated[int, Meta(ge=0, le=1 << 40)] = field(name="new", default=0)  # 0 before the hand-over
    map_version: MapVersion = field(name="version", default=0)  # of the hand-over; 0 before it
    reason: Annotated[str, Meta(max_length=128)] = field(name="why", default="")  # why it was abandoned

    @property
    def cells(self) -> tuple[CellId, CellId]:
        """The source and the target cell."""
        return self.source, self.target

    def in_range(self, member: int) -> bool:
        """Whether a member is in the range that goes to the target cell."""
        return self.split_point <= member < self.end
