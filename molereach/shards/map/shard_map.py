"""The map from member IDs to shards: contiguous ID ranges, each kept by one cell.

A map is valid when each member is in exactly one shard: the first range starts at 0, each ends where the next
starts, and the last ends at `MEMBER_ID_LIMIT`. A shard's number is never reused for another shard.
"""

from typing import Annotated

from msgspec import Meta, field

from molereach.coordination.interface.identifiers import Name, WireStruct

MEMBER_ID_LIMIT = 1 << 33  # exclusive
MAX_SHARDS = 512  # of one map
NUMBER_LIMIT = 1 << 40  # exclusive, for shard numbers and for map versions

MemberId = Annotated[int, Meta(ge=0, lt=MEMBER_ID_LIMIT)]
ShardNumber = Annotated[int, Meta(ge=1, lt=NUMBER_LIMIT)]
MapVersion = Annotated[int, Meta(ge=0, lt=NUMBER_LIMIT)]


class CellId(WireStruct, frozen=True, order=True, array_like=True):
    """A cell, whose servers may keep shards, and the building that it is in."""

    building: Name
    name: Name


class ShardRange(WireStruct, frozen=True, array_like=True):
    """The members of one shard: from `first` up to the start of the next range."""

    first: MemberId
    shard: ShardNumber
    cell: CellId


ShardRanges = Annotated[tuple[ShardRange, ...], Meta(max_length=MAX_SHARDS)]


class ShardMap(WireStruct, frozen=True):
    """All ranges of one version, in the order of their first members."""

    version: MapVersion
    ranges: ShardRanges = field(name="pieces")
    last_shard: ShardNumber  # the highest number that any version up to this one has used

    def range_end(self, index: int) -> int:
        """The end of the range at an index, exclusive."""
        return self.ranges[index + 1].first if index + 1 < len(self.ranges) else MEMBER_ID_LIMIT

    def index_of(self, shard: int) -> int | None:
        """The index of a shard's range; None if the map has no such shard."""
        return next((index for index, each in enumerate(self.ranges) if each.shard == shard), None)


def map_error(shard_map: ShardMap) -> str:
    """Why a map is not valid, in one line; empty for a valid map.

    The text becomes the outcome of a log entry, so it names fields as they are encoded.
    """
    firsts = [each.first for each in shard_map.ranges]
    if not firsts or firsts[0] != 0:
        return "pieces: the first must begin at 0"
    if firsts != sorted(set(firsts)):
        return "pieces: not in order"
    shards = {each.shard for each in shard_map.ranges}
    if len(shards) != len(firsts):
        return "pieces: a shard is there twice"
    if max(shards) > shard_map.last_shard:
        return "last_shard: below a shard's number"
    return ""
