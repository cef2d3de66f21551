"""Counts of all instances, merged by the maximum: in any order, any number of times, by any path.

Source: Shapiro et al., "Conflict-free Replicated Data Types" (SSS 2011), the grow-only counter. Counts of
instances that ended are kept in the log (`machine`). An instance's count is the maximum of the log's and of
all reports, so an instance that returns after it was folded is neither lost nor counted twice.
"""

from collections.abc import Iterable, Mapping
from typing import Protocol

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.shards.counts.counter import ZERO, Count, count_rows
from molereach.shards.counts.messages import MAX_ROWS, CountRow

MAX_INSTANCES = 1024  # with counts in memory


class LoggedCounts(Protocol):
    """The state machine "counts", as applied here."""

    def base(self) -> Mapping[int, Count]:
        """Totals by shard of retired instances, which are not kept one by one any more."""

    def folded(self) -> Mapping[NodeInstance, Mapping[int, Count]]:
        """Counts by shard of instances that ended and are not retired."""

    def is_retired(self, instance: NodeInstance) -> bool:
        """Whether an instance is in the base, so that reports of it are ignored."""

    def has_shard(self, shard: int) -> bool:
        """Whether the map has this shard. The map here may lag and not have a new shard yet."""


class MergedCounts:
    """Counts from all reports, this front door's own included. `rejected` counts rows for lack of room."""

    def __init__(self, logged: LoggedCounts) -> None:
        self._logged = logged
        self._instances: dict[NodeInstance, dict[int, Count]] = {}
        self.rejected = 0

    def merge(self, instance: NodeInstance, reported: Iterable[CountRow]) -> bool:
        """Merge a report; whether it contained anything new."""
        if self._logged.is_retired(instance):
            return False
        if instance not in self._instances and len(self._instances) >= MAX_INSTANCES:
            self.discard_logged()
            if len(self._instances) >= MAX_INSTANCES:
                self.rejected += 1
                return False
        counts, changed = self._instances.setdefault(instance, {}), False
        for row in reported:
            before = counts.get(row.shard, ZERO)
            after = self._combine(before, Count(row.writes, row.bytes))
            if after == before:
                continue
            if row.shard not in counts and len(counts) >= MAX_ROWS:
                self.rejected += 1
                continue
            counts[row.shard], changed = after, True
        return changed

    @staticmethod
    def _combine(before: Count, reported: Count) -> Count:
        return before.max(reported)

    def instances(self) -> list[NodeInstance]:
        """The instances with counts in memory, in order."""
        return sorted(self._instances)

    def rows_of(self, instance: NodeInstance) -> tuple[CountRow, ...]:
        """What is in memory of an instance."""
        return count_rows(self._instances.get(instance, {}))

    def unfolded_rows(self, instance: NodeInstance) -> tuple[CountRow, ...]:
        """The rows of an instance that are higher in memory than in the log."""
        folded = self._logged.folded().get(instance, {})
        counts = self._instances.get(instance, {})
        return count_rows(
            {
                shard: count
                for shard, count in counts.items()
                if count.max(folded.get(shard, ZERO)) != folded.get(shard, ZERO)
            }
        )

    def totals(self) -> dict[int, Count]:
        """The counts by shard over all instances, for the shards of the map."""
        totals = dict(self._logged.base())
        folded = self._logged.folded()
        for instance in {*self._instances, *folded}:
            if self._logged.is_retired(instance):
                continue
            reported, logged = self._instances.get(instance, {}), folded.get(instance, {})
            for shard in {*reported, *logged}:
                count = reported.get(shard, ZERO).max(logged.get(shard, ZERO))
                totals[shard] = totals.get(shard, ZERO).plus(count)
        return {shard: count for shard, count in totals.items() if self._logged.has_shard(shard)}

    def discard_logged(self) -> None:
        """Drop instances whose counts are all in the log."""
        for instance in list(self._instances):
            if self._logged.is_retired(instance) or (
                instance in self._logged.folded() and not self.unfolded_rows(instance)
            ):
                del self._instances[instance]
