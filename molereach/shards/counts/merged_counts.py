"""Counts of all lives, merged by the maximum: in any order, any number of times, by any way round.

Source: Shapiro et al., "Conflict-free Replicated Data Types" (SSS 2011), the grow-only counter. Lives that
are over are kept by the log (`folds`): the count of a life is the higher of what the log and what a word says
of it, so one that comes back after it was folded is neither lost nor counted twice.
"""

from collections.abc import Iterable, Mapping
from typing import Protocol

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.shards.counts.counter import NONE, Count, rows
from molereach.shards.counts.messages import MOST_ROWS, Row

MOST_LIVES = 1024  # of which something is kept here


class Folded(Protocol):
    """Of the state machine "counts", as it was applied here."""

    def base(self) -> Mapping[int, Count]:
        """Of lives that are kept apart no more."""

    def kept(self) -> Mapping[NodeInstance, Mapping[int, Count]]:
        """Of lives that are over."""

    def forgotten(self, life: NodeInstance) -> bool:
        """Whether it is in the base, so that no word of it counts."""

    def counted(self, shard: int) -> bool:
        """Whether a shard is one of the map. One that is not may be new, and not yet known here."""


class Merged:
    """What was heard, this front door's own included. `refused` counts rows for which there was no room."""

    def __init__(self, folded: Folded) -> None:
        self._folded = folded
        self._lives: dict[NodeInstance, dict[int, Count]] = {}
        self.refused = 0

    def merge(self, life: NodeInstance, told: Iterable[Row]) -> bool:
        """Whether anything is new."""
        if self._folded.forgotten(life):
            return False
        if life not in self._lives and len(self._lives) >= MOST_LIVES:
            self.settle()
            if len(self._lives) >= MOST_LIVES:
                self.refused += 1
                return False
        mine, new = self._lives.setdefault(life, {}), False
        for row in told:
            before = mine.get(row.shard, NONE)
            now = self._joined(before, Count(row.writes, row.bytes))
            if now == before:
                continue
            if row.shard not in mine and len(mine) >= MOST_ROWS:
                self.refused += 1
                continue
            mine[row.shard], new = now, True
        return new

    @staticmethod
    def _joined(before: Count, now: Count) -> Count:
        return before.max(now)

    def lives(self) -> list[NodeInstance]:
        return sorted(self._lives)

    def of(self, life: NodeInstance) -> tuple[Row, ...]:
        return rows(self._lives.get(life, {}))

    def unfolded(self, life: NodeInstance) -> tuple[Row, ...]:
        """What the log lacks of a life."""
        kept = self._folded.kept().get(life, {})
        mine = self._lives.get(life, {})
        return rows(
            {
                shard: count
                for shard, count in mine.items()
                if count.max(kept.get(shard, NONE)) != kept.get(shard, NONE)
            }
        )

    def totals(self) -> dict[int, Count]:
        """By shard, over all lives."""
        found = dict(self._folded.base())
        kept = self._folded.kept()
        for life in {*self._lives, *kept}:
            if self._folded.forgotten(life):
                continue
            mine, theirs = self._lives.get(life, {}), kept.get(life, {})
            for shard in {*mine, *theirs}:
                count = mine.get(shard, NONE).max(theirs.get(shard, NONE))
                found[shard] = found.get(shard, NONE).plus(count)
        return {shard: count for shard, count in found.items() if self._folded.counted(shard)}

    def settle(self) -> None:
        """Drop what the log has."""
        for life in list(self._lives):
            if self._folded.forgotten(life) or (life in self._folded.kept() and not self.unfolded(life)):
                del self._lives[life]
