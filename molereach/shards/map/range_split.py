"""The next version of a map: one shard is split, and its upper part goes to another cell of its building.

The lower part keeps the shard's number, and its counted size less the bytes that moved; the upper part gets a
new number.
"""

from molereach.shards.map.shard_map import MAX_SHARDS, CellId, ShardMap, ShardRange


def split_error(shard_map: ShardMap, shard: int, split_point: int, target: CellId) -> str:
    """Why a shard can't be split at this member, in one line; empty if it can.

    The text becomes the outcome of a log entry, so it names fields as they are encoded.
    """
    index = shard_map.index_of(shard)
    if index is None:
        return f"shard: no shard {shard}"
    current = shard_map.ranges[index]
    if not current.first < split_point < shard_map.range_end(index):
        return f"cut: {split_point} leaves a part of {shard} empty"
    if len(shard_map.ranges) >= MAX_SHARDS:
        return f"pieces: more than {MAX_SHARDS}"
    if target.building != current.cell.building:
        return f"to: not in {current.cell.building}"
    if target == current.cell:
        return f"to: {target.name} has the shard already"
    return ""


def split_map(shard_map: ShardMap, shard: int, split_point: int, target: CellId) -> ShardMap:
    """The version after the split; ValueError if the shard can't be split there."""
    if error := split_error(shard_map, shard, split_point, target):
        raise ValueError(error)
    index = shard_map.index_of(shard)
    assert index is not None
    current, last = shard_map.ranges[index], shard_map.last_shard
    halves = (current, ShardRange(split_point, last + 1, target))
    ranges = (*shard_map.ranges[:index], *halves, *shard_map.ranges[index + 1 :])
    return ShardMap(shard_map.version + 1, ranges, last + 1)
