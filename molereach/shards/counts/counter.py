"""What this front door's own life has seen confirmed as written, by shard: it only grows.

A write is counted when its server has confirmed it, for the shard that the server says it was written to. A
repeat that the server answered from memory counts only where this front door made the first try and has not
counted it; so one is counted once at most, and one whose every answer was lost is not.
"""

from dataclasses import dataclass

from molereach.shards.counts.messages import MOST_BYTES, MOST_ROWS, Row


@dataclass(frozen=True, slots=True)
class Count:
    """Writes and their bytes, up to now."""

    writes: int = 0
    bytes: int = 0

    def max(self, other: "Count") -> "Count":
        return Count(max(self.writes, other.writes), max(self.bytes, other.bytes))

    def plus(self, other: "Count") -> "Count":
        return Count(self.writes + other.writes, self.bytes + other.bytes)


NONE = Count()


class Counter:
    """Of one life. `uncounted` is how many writes found no room, which a sound map never brings about."""

    def __init__(self) -> None:
        self.counts: dict[int, Count] = {}
        self.uncounted = 0

    def add(self, shard: int, size_bytes: int) -> None:
        before = self.counts.get(shard, NONE)
        if (
            (shard not in self.counts and len(self.counts) >= MOST_ROWS)
            or size_bytes < 0
            or (before.bytes + size_bytes > MOST_BYTES)
        ):
            self.uncounted += 1
            return
        self.counts[shard] = before.plus(Count(1, size_bytes))

    def rows(self) -> tuple[Row, ...]:
        return rows(self.counts)


def rows(counts: dict[int, Count]) -> tuple[Row, ...]:
    """By shard."""
    return tuple(Row(shard, counts[shard].writes, counts[shard].bytes) for shard in sorted(counts))
