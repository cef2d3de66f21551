"""The next version of a map: one shard cut in two, the upper part to another cell of its building.

The lower part keeps the number, and what was counted for it less what moved; the upper has a new one.
"""

from molereach.shards.map.shard_map import MOST_SHARDS, Home, Piece, ShardMap


def wrong(found: ShardMap, shard: int, cut: int, to: Home) -> str:
    """Why this cut cannot be, in one line; empty where it can."""
    index = found.find(shard)
    if index is None:
        return f"shard: no shard {shard}"
    piece = found.pieces[index]
    if not piece.first < cut < found.end(index):
        return f"cut: {cut} leaves a part of {shard} empty"
    if len(found.pieces) >= MOST_SHARDS:
        return f"pieces: more than {MOST_SHARDS}"
    if to.building != piece.home.building:
        return f"to: not in {piece.home.building}"
    if to == piece.home:
        return f"to: {to.cell} has the shard already"
    return ""


def after(found: ShardMap, shard: int, cut: int, to: Home) -> ShardMap:
    """The version after the cut; ValueError where it cannot be."""
    if said := wrong(found, shard, cut, to):
        raise ValueError(said)
    index = found.find(shard)
    assert index is not None
    piece, last = found.pieces[index], found.last_shard
    halves = (piece, Piece(cut, last + 1, to))
    pieces = (*found.pieces[:index], *halves, *found.pieces[index + 1 :])
    return ShardMap(found.version + 1, pieces, last + 1)
