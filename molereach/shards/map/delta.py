"""What changed from one version of a map to a later one."""

from typing import Annotated

from msgspec import Meta

from molereach.council.interface import Wire
from molereach.shards.map.pieces import MOST_SHARDS, Pieces, ShardMap, ShardNumber, Version, unsound


class Delta(Wire, frozen=True):
    """Shards that are no more, and pieces that are new."""

    since: Version
    version: Version
    gone: Annotated[tuple[ShardNumber, ...], Meta(max_length=MOST_SHARDS)]
    new: Pieces
    last_shard: ShardNumber


def between(old: ShardMap, new: ShardMap) -> Delta:
    if old.version >= new.version:
        raise ValueError(f"version: {new.version} is not after {old.version}")
    before, now = set(old.pieces), set(new.pieces)
    gone = tuple(piece.shard for piece in old.pieces if piece not in now)
    return Delta(old.version, new.version, gone, tuple(each for each in new.pieces if each not in before),
                 new.last_shard)


def applied(old: ShardMap, delta: Delta) -> ShardMap:
    """The later version; ValueError where the delta is for another one, or leaves a map that is not sound."""
    if delta.since != old.version or delta.version <= delta.since:
        raise ValueError(f"version: a delta from {delta.since} to {delta.version}, here is {old.version}")
    gone = set(delta.gone)
    if not gone <= {piece.shard for piece in old.pieces}:
        raise ValueError("gone: a shard that is not there")
    kept = [piece for piece in old.pieces if piece.shard not in gone]
    pieces = tuple(sorted((*kept, *delta.new), key=lambda piece: piece.first))
    found = ShardMap(delta.version, pieces, delta.last_shard)
    if len(pieces) > MOST_SHARDS:
        raise ValueError(f"pieces: more than {MOST_SHARDS}")
    if delta.last_shard < old.last_shard or (said := unsound(found)):
        raise ValueError(said if delta.last_shard >= old.last_shard else "last_shard: goes back")
    return found
