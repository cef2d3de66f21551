"""Which splits start now, in which order, and which will be late; one at a time in each building.

Backward scheduling: from the latest deadline to the earliest, each split gets the last free window that ends
before its deadline and before the next split starts. So the splits of a building run in the order of their
deadlines, each as late as possible: a nearer forecast is more accurate, and a split that turns out to be
needless is not started. Source: Jackson (1955), earliest due date first, which is late only if every order
is.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import groupby

from molereach.shards.map.shard_map import CellId
from molereach.shards.schedule.free_windows import CellAvailability, first_window, last_window

MAX_PENDING_SPLITS = 512
LOOKAHEAD_DAYS = 1.0  # what would start before the next daily planning starts now


@dataclass(frozen=True, slots=True)
class PendingSplit:
    """A shard to be split: its cells, its deadline, and how long the split takes at most."""

    shard: int
    source: CellId
    target: CellId
    deadline_day: float
    days: float


@dataclass(frozen=True, slots=True)
class ScheduledSplit:
    """A split and the latest day on which it may start."""

    split: PendingSplit
    start_day: float


@dataclass(frozen=True, slots=True)
class LateSplit:
    """A split that misses its deadline, and the earliest day on which it can end."""

    split: PendingSplit
    end_day: float | None  # None if there is no free window


@dataclass(frozen=True, slots=True)
class SplitSchedule:
    """By building, in the order of the deadlines; late splits are scheduled as well if there is a window."""

    scheduled: tuple[ScheduledSplit, ...]
    late: tuple[LateSplit, ...]

    def due(self, now_day: float, busy: frozenset[CellId]) -> tuple[PendingSplit, ...]:
        """The splits that start now: the first of each building that has no cell in `busy`."""
        busy_buildings = {cell.building for cell in busy}
        starting = []
        for each in self.scheduled:
            building = each.split.source.building
            if building not in busy_buildings and each.start_day <= now_day + LOOKAHEAD_DAYS:
                starting.append(each.split)
            busy_buildings.add(building)
        return tuple(starting)


def deadline_order(split: PendingSplit) -> tuple[float, int]:
    """The sort key of the splits of a building, the same at every front door."""
    return split.deadline_day, split.shard


def plan_splits(
    splits: Sequence[PendingSplit], now_day: float, availability: CellAvailability
) -> SplitSchedule:
    """The schedule of all buildings; ValueError for more than `MAX_PENDING_SPLITS`."""
    if len(splits) > MAX_PENDING_SPLITS:
        raise ValueError(f"splits: more than {MAX_PENDING_SPLITS}")
    scheduled: list[ScheduledSplit] = []
    late: list[LateSplit] = []
    ordered = sorted(splits, key=lambda each: (each.source.building, *deadline_order(each)))
    for _, group in groupby(ordered, key=lambda each: each.source.building):
        group_scheduled, group_late = _plan_building(list(group), now_day, availability)
        scheduled += group_scheduled
        late += group_late
    return SplitSchedule(tuple(scheduled), tuple(late))


def _plan_building(
    splits: list[PendingSplit], now_day: float, availability: CellAvailability
) -> tuple[list[ScheduledSplit], list[LateSplit]]:
    latest_starts: list[float | None] = [None] * len(splits)
    until = float("inf")
    for index in range(len(splits) - 1, -1, -1):
        split = splits[index]
        latest_starts[index] = last_window(
            availability,
            (split.source, split.target),
            now_day,
            min(until, split.deadline_day),
            split.days,
        )
        if latest_starts[index] is None:
            break  # this one and all before it start as soon as possible
        until = latest_starts[index] or 0.0
    scheduled: list[ScheduledSplit] = []
    late: list[LateSplit] = []
    free_from = now_day
    for split, latest in zip(splits, latest_starts, strict=True):
        earliest = first_window(availability, (split.source, split.target), free_from, split.days)
        if earliest is None:
            late.append(LateSplit(split, None))
            continue
        if earliest + split.days > split.deadline_day:
            late.append(LateSplit(split, earliest + split.days))
        scheduled.append(ScheduledSplit(split, earliest if latest is None else max(earliest, latest)))
        free_from = earliest + split.days
    return scheduled, late
