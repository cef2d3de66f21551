"""The shard of a member, by bisection over the first members: logarithmic in the number of shards."""

from bisect import bisect_right

from molereach.shards.map.shard_map import MEMBER_ID_LIMIT, ShardMap, ShardRange, map_error


class ShardLookup:
    """Lookup in one version of the map; ValueError for a map that is not valid."""

    def __init__(self, shard_map: ShardMap) -> None:
        if error := map_error(shard_map):
            raise ValueError(error)
        self.map = shard_map
        self._firsts = [each.first for each in shard_map.ranges]

    @property
    def version(self) -> int:
        """The version of the map."""
        return self.map.version

    def index_of(self, member: int) -> int:
        """The index of the member's range; ValueError if the member ID is out of range."""
        if not 0 <= member < MEMBER_ID_LIMIT:
            raise ValueError(f"member: {member} is not a member ID")
        return bisect_right(self._firsts, member) - 1

    def range_of(self, member: int) -> ShardRange:
        """The range that the member is in; ValueError if the member ID is out of range."""
        return self.map.ranges[self.index_of(member)]
