"""Where a member is: a bisection over the first members, the same few steps for any map."""

from bisect import bisect_right

from molereach.shards.map.shard_map import MEMBERS, Piece, ShardMap, unsound


class Lookup:
    """Made once for each version; ValueError for a map that is not sound, or a member that is none."""

    def __init__(self, found: ShardMap) -> None:
        if said := unsound(found):
            raise ValueError(said)
        self.map = found
        self._firsts = [piece.first for piece in found.pieces]

    @property
    def version(self) -> int:
        return self.map.version

    def index(self, member: int) -> int:
        if not 0 <= member < MEMBERS:
            raise ValueError(f"member: {member} is no id")
        return bisect_right(self._firsts, member) - 1

    def at(self, member: int) -> Piece:
        return self.map.pieces[self.index(member)]
