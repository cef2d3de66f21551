"""Deterministic random numbers, cells and maps for tests."""

from collections.abc import Callable

from molereach.shards.map.shard_map import MEMBER_ID_LIMIT, CellId, ShardMap, ShardRange

CELLS = tuple(CellId(f"b{number // 4}", f"c{number}") for number in range(16))


def random_source(seed: int) -> Callable[[], float]:
    """Random numbers below 1, the same on any machine: the generator of Knuth's MMIX."""
    state = seed

    def draw() -> float:
        nonlocal state
        state = (state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (state >> 11) / (1 << 53)

    return draw


def even_map(shards: int, version: int = 1, cells: tuple[CellId, ...] = CELLS) -> ShardMap:
    """Ranges of equal size, given to the cells in turn."""
    ranges = tuple(
        ShardRange(MEMBER_ID_LIMIT * index // shards, index + 1, cells[index % len(cells)])
        for index in range(shards)
    )
    return ShardMap(version, ranges, shards)
