"""Each member is in exactly one shard at each version; deltas lead from any version to the current one."""

import msgspec
import pytest

from molereach.shards.map.delta import Delta, apply_delta, delta_between
from molereach.shards.map.history import MAX_DELTAS, MapHistory
from molereach.shards.map.range_split import split_error, split_map
from molereach.shards.map.shard_lookup import ShardLookup
from molereach.shards.map.shard_map import (
    MAX_SHARDS,
    MEMBER_ID_LIMIT,
    CellId,
    ShardMap,
    ShardRange,
    map_error,
)
from tests.shards.generated import CELLS, even_map, random_source


def test_each_member_is_in_one_shard_at_each_version_of_random_splits() -> None:
    draw, shard_map = random_source(1), even_map(1)
    for _ in range(300):
        index = int(draw() * len(shard_map.ranges))
        current, end = shard_map.ranges[index], shard_map.range_end(index)
        split_point = current.first + int(draw() * (end - current.first))
        target = next(
            cell for cell in CELLS if cell.building == current.cell.building and cell != current.cell
        )
        if split_error(shard_map, current.shard, split_point, target):
            continue
        shard_map = split_map(shard_map, current.shard, split_point, target)
        lookup = ShardLookup(shard_map)
        for member in (0, split_point - 1, split_point, MEMBER_ID_LIMIT - 1, int(draw() * MEMBER_ID_LIMIT)):
            inside = [
                each.shard
                for index, each in enumerate(shard_map.ranges)
                if each.first <= member < shard_map.range_end(index)
            ]
            assert inside == [lookup.range_of(member).shard]
        assert (
            lookup.range_of(split_point).cell == target
            and lookup.range_of(split_point - 1).cell == current.cell
        )
    assert shard_map.version > 200


@pytest.mark.parametrize(
    "ranges",
    [
        (),
        (ShardRange(5, 1, CELLS[0]),),
        (ShardRange(0, 1, CELLS[0]), ShardRange(0, 2, CELLS[0])),
        (ShardRange(0, 1, CELLS[0]), ShardRange(9, 2, CELLS[0]), ShardRange(7, 3, CELLS[0])),
        (ShardRange(0, 1, CELLS[0]), ShardRange(9, 1, CELLS[0])),
        (ShardRange(0, 9, CELLS[0]),),
    ],
)
def test_a_map_without_a_member_or_with_one_twice_is_rejected(ranges: tuple[ShardRange, ...]) -> None:
    shard_map = ShardMap(1, ranges, 3)
    assert map_error(shard_map)
    with pytest.raises(ValueError):
        ShardLookup(shard_map)
    with pytest.raises(ValueError):
        MapHistory(shard_map)


@pytest.mark.parametrize(
    ("shard", "split_point", "target", "prefix"),
    [
        (9, 5, CELLS[1], "shard"),
        (1, 0, CELLS[1], "cut"),
        (1, MEMBER_ID_LIMIT // 2, CELLS[1], "cut"),
        (1, 5, CELLS[0], "to"),
        (1, 5, CellId("b9", "c1"), "to"),
    ],
)
def test_an_impossible_split_is_rejected(shard: int, split_point: int, target: CellId, prefix: str) -> None:
    assert split_error(even_map(2), shard, split_point, target).startswith(prefix)
    with pytest.raises(ValueError):
        split_map(even_map(2), shard, split_point, target)


def test_a_full_map_is_not_split() -> None:
    assert split_error(even_map(MAX_SHARDS), 1, 5, CELLS[1]).startswith("pieces")


def test_a_shard_number_is_never_reused() -> None:
    shard_map = split_map(even_map(1), 1, 100, CELLS[1])
    assert [each.shard for each in shard_map.ranges] == [1, 2]
    assert [each.shard for each in split_map(shard_map, 1, 50, CELLS[2]).ranges] == [1, 3, 2]


def test_lookup_takes_a_bounded_number_of_comparisons_in_any_map() -> None:
    comparisons: list[int] = []

    class CountingInt(int):
        def __lt__(self, other: int) -> bool:
            comparisons.append(1)
            return int(self) < int(other)

        def __ge__(self, other: int) -> bool:
            comparisons.append(1)
            return int(self) >= int(other)

    for shards in (1, MAX_SHARDS):
        comparisons.clear()
        assert ShardLookup(even_map(shards)).range_of(CountingInt(MEMBER_ID_LIMIT - 1)).shard == shards
        assert 1 <= len(comparisons) <= 12


def test_changes_lead_from_any_version_to_the_current_one_and_are_bounded() -> None:
    shard_map = even_map(1)
    history, versions = MapHistory(shard_map), [shard_map]
    for number in range(MAX_DELTAS + 20):
        first = shard_map.ranges[0]
        shard_map = split_map(shard_map, first.shard, (1 << 32) - 1000 * number, CELLS[1 + number % 3])
        history.append(shard_map)
        versions.append(shard_map)
    for old in versions:
        changes = history.changes_since(old.version)
        if isinstance(changes, ShardMap):
            assert changes == shard_map and old.version < shard_map.version - MAX_DELTAS
            continue
        for delta in changes:
            old = apply_delta(old, delta)
        assert old == shard_map
    assert history.changes_since(shard_map.version + 5) == shard_map  # an unknown version: the complete map


def test_a_delta_that_does_not_fit_the_map_is_rejected() -> None:
    one = even_map(1)
    two = split_map(one, 1, 100, CELLS[1])
    three = split_map(two, 2, 200, CELLS[0])
    assert apply_delta(one, delta_between(one, three)) == three
    delta = delta_between(one, two)
    for broken in (
        delta_between(two, three),
        Delta(1, 1, (), 3),
        msgspec.structs.replace(delta, last_shard=1),
        msgspec.structs.replace(delta, added=(ShardRange(0, 2, CELLS[1]),)),
        msgspec.structs.replace(delta, added=(ShardRange(7, 1, CELLS[1]),)),
    ):
        with pytest.raises(ValueError):
            apply_delta(one, broken)
    for later in (two, even_map(2, version=9)):
        with pytest.raises(ValueError):
            delta_between(two, later)
    full = even_map(MAX_SHARDS)
    with pytest.raises(ValueError):
        apply_delta(full, Delta(1, 2, (ShardRange(7, MAX_SHARDS + 1, CELLS[1]),), MAX_SHARDS + 1))
