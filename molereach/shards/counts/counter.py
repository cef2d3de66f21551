"""The writes that this instance of a front door has seen confirmed, by shard. Counts only grow.

A write counts once its backend has confirmed it, for the shard that the backend names. If the backend
answered a repeat from memory, the write counts only if this front door made the first attempt and has not
counted it yet. So each write is counted at most once, and one whose answers were all lost is not counted.
"""

from dataclasses import dataclass

from molereach.shards.counts.messages import MAX_BYTES, MAX_ROWS, CountRow


@dataclass(frozen=True, slots=True)
class Count:
    """Cumulative writes and their bytes."""

    writes: int = 0
    bytes: int = 0

    def max(self, other: "Count") -> "Count":
        """The higher value of each field."""
        return Count(max(self.writes, other.writes), max(self.bytes, other.bytes))

    def plus(self, other: "Count") -> "Count":
        """The sum of each field."""
        return Count(self.writes + other.writes, self.bytes + other.bytes)


ZERO = Count()


class WriteCounter:
    """The counts of one instance by shard. `uncounted` writes had no room, which a valid map rules out."""

    def __init__(self) -> None:
        self.counts: dict[int, Count] = {}
        self.uncounted = 0

    def add(self, shard: int, size_bytes: int) -> None:
        """Count one write."""
        before = self.counts.get(shard, ZERO)
        if (
            (shard not in self.counts and len(self.counts) >= MAX_ROWS)
            or size_bytes < 0
            or (before.bytes + size_bytes > MAX_BYTES)
        ):
            self.uncounted += 1
            return
        self.counts[shard] = before.plus(Count(1, size_bytes))

    def rows(self) -> tuple[CountRow, ...]:
        """The counts, ordered by shard."""
        return count_rows(self.counts)


def count_rows(counts: dict[int, Count]) -> tuple[CountRow, ...]:
    """Counts by shard as rows, ordered by shard."""
    return tuple(CountRow(shard, counts[shard].writes, counts[shard].bytes) for shard in sorted(counts))
