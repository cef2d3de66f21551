"""The difference between two versions of a map. Shards are only ever split, so it is a list of new ranges."""

from msgspec import field

from molereach.coordination.interface.identifiers import WireStruct
from molereach.shards.map.shard_map import (
    MAX_SHARDS,
    MapVersion,
    ShardMap,
    ShardNumber,
    ShardRanges,
    map_error,
)


class Delta(WireStruct, frozen=True):
    """The ranges that `version` adds to the version `since`."""

    since: MapVersion
    version: MapVersion
    added: ShardRanges = field(name="new")
    last_shard: ShardNumber


def delta_between(old: ShardMap, new: ShardMap) -> Delta:
    """The delta between two versions; ValueError if the later one does not follow from the earlier."""
    before = set(old.ranges)
    if old.version >= new.version or not before <= set(new.ranges):
        raise ValueError(f"version: {new.version} does not follow {old.version}")
    added = tuple(each for each in new.ranges if each not in before)
    return Delta(old.version, new.version, added, new.last_shard)


def apply_delta(old: ShardMap, delta: Delta) -> ShardMap:
    """The later version; ValueError if the delta starts from another version or the result is not valid."""
    if delta.since != old.version or delta.version <= delta.since:
        raise ValueError(
            f"version: the delta leads from {delta.since} to {delta.version}, the map has {old.version}"
        )
    if len(old.ranges) + len(delta.added) > MAX_SHARDS:
        raise ValueError(f"pieces: more than {MAX_SHARDS}")
    ranges = tuple(sorted((*old.ranges, *delta.added), key=lambda each: each.first))
    shard_map = ShardMap(delta.version, ranges, delta.last_shard)
    if any(each.shard <= old.last_shard for each in delta.added):
        raise ValueError("new: the number of an earlier shard is used again")
    if error := map_error(shard_map):
        raise ValueError(error)
    return shard_map
