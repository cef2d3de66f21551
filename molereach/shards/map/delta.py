"""What changed from one version of a map to a later one: shards are cut, so pieces are only added."""

from molereach.coordination.interface.identifiers import WireStruct
from molereach.shards.map.shard_map import MOST_SHARDS, Pieces, ShardMap, ShardNumber, Version, unsound


class Delta(WireStruct, frozen=True):
    """The pieces that are new."""

    since: Version
    version: Version
    new: Pieces
    last_shard: ShardNumber


def between(old: ShardMap, new: ShardMap) -> Delta:
    """ValueError where the later one does not follow from the earlier."""
    before = set(old.pieces)
    if old.version >= new.version or not before <= set(new.pieces):
        raise ValueError(f"version: {new.version} does not follow {old.version}")
    pieces = tuple(each for each in new.pieces if each not in before)
    return Delta(old.version, new.version, pieces, new.last_shard)


def applied(old: ShardMap, delta: Delta) -> ShardMap:
    """The later version; ValueError where the delta is for another one, or leaves a map that is not sound."""
    if delta.since != old.version or delta.version <= delta.since:
        raise ValueError(f"version: a delta from {delta.since} to {delta.version}, here is {old.version}")
    if len(old.pieces) + len(delta.new) > MOST_SHARDS:
        raise ValueError(f"pieces: more than {MOST_SHARDS}")
    pieces = tuple(sorted((*old.pieces, *delta.new), key=lambda piece: piece.first))
    found = ShardMap(delta.version, pieces, delta.last_shard)
    if any(piece.shard <= old.last_shard for piece in delta.new):
        raise ValueError("new: a shard's number is used again")
    if said := unsound(found):
        raise ValueError(said)
    return found
