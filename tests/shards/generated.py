"""Maps for tests."""

from collections.abc import Callable

from molereach.shards.map.shard_map import MEMBERS, Home, Piece, ShardMap

HOMES = tuple(Home(f"b{number // 4}", f"c{number}") for number in range(16))


def drawn_by(seed: int) -> Callable[[], float]:
    """Draws below 1, the same on any machine: the generator of Knuth's MMIX."""
    state = seed

    def draw() -> float:
        nonlocal state
        state = (state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (state >> 11) / (1 << 53)

    return draw


def even_map(shards: int, version: int = 1, homes: tuple[Home, ...] = HOMES) -> ShardMap:
    """Equal ranges, given to the homes in turn."""
    pieces = tuple(Piece(MEMBERS * at // shards, at + 1, homes[at % len(homes)]) for at in range(shards))
    return ShardMap(version, pieces, shards)
