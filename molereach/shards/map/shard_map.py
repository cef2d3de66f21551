"""A map of members to shards: ranges of ids, each kept by one cell.

A map is sound when each member is in exactly one shard: the first range begins at 0, each ends where the next
begins, the last at `MEMBERS`. The number of a shard is never given to another.
"""

from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import Name, WireStruct

MEMBERS = 1 << 33  # ids are below
MOST_SHARDS = 512  # of one map
MOST_NUMBER = 1 << 40  # of a shard, and of a version

Member = Annotated[int, Meta(ge=0, lt=MEMBERS)]
ShardNumber = Annotated[int, Meta(ge=1, lt=MOST_NUMBER)]
Version = Annotated[int, Meta(ge=0, lt=MOST_NUMBER)]


class Home(WireStruct, frozen=True, order=True, array_like=True):
    """The cell whose servers keep a shard, and the building that it is in."""

    building: Name
    cell: Name


class Piece(WireStruct, frozen=True, array_like=True):
    """A shard: the members from `first` up to where the next piece begins."""

    first: Member
    shard: ShardNumber
    home: Home


Pieces = Annotated[tuple[Piece, ...], Meta(max_length=MOST_SHARDS)]


class ShardMap(WireStruct, frozen=True):
    """All pieces at one version, by their first member."""

    version: Version
    pieces: Pieces
    last_shard: ShardNumber  # the highest number that any version up to this one has used

    def end(self, index: int) -> int:
        """The first member that is not in the piece any more."""
        return self.pieces[index + 1].first if index + 1 < len(self.pieces) else MEMBERS

    def find(self, shard: int) -> int | None:
        """The index of a shard's piece."""
        return next((index for index, piece in enumerate(self.pieces) if piece.shard == shard), None)


def unsound(found: ShardMap) -> str:
    """Why not each member is in exactly one shard, in one line; empty where each is."""
    firsts = [piece.first for piece in found.pieces]
    if not firsts or firsts[0] != 0:
        return "pieces: the first must begin at 0"
    if firsts != sorted(set(firsts)):
        return "pieces: not in order"
    shards = {piece.shard for piece in found.pieces}
    if len(shards) != len(firsts):
        return "pieces: a shard is there twice"
    if max(shards) > found.last_shard:
        return "last_shard: below a shard's number"
    return ""
