"""Splits start in time, in the order of their deadlines, in free windows; late ones are reported."""

from dataclasses import dataclass, replace

import pytest

from molereach.shards.map.shard_map import CellId
from molereach.shards.schedule.deadline import MARGIN_DAYS, FullDates, full_dates
from molereach.shards.schedule.duration import CompletedSplit, duration_bound_days
from molereach.shards.schedule.free_windows import AlwaysFree, first_window, last_window
from molereach.shards.schedule.planner import (
    MAX_PENDING_SPLITS,
    LateSplit,
    PendingSplit,
    SplitSchedule,
    plan_splits,
)
from tests.shards.generated import random_source

A, B, C, D = (CellId("b1", f"c{number}") for number in range(4))
OTHER_SOURCE, OTHER_TARGET = CellId("b2", "e1"), CellId("b2", "e2")
FREE = AlwaysFree()


@dataclass(frozen=True)
class PlannedUpkeep:
    """Upkeep occupies these cells, each from one day to another."""

    spans: tuple[tuple[CellId, float, float], ...]

    def next_free(self, cell: CellId, from_day: float) -> tuple[float, float]:
        free_from = from_day
        for occupied, start, end in sorted(self.spans):
            if occupied == cell and start <= free_from < end:
                free_from = end
        later = [start for occupied, start, _ in self.spans if occupied == cell and start > free_from]
        return free_from, min(later, default=float("inf"))


def start_days(schedule: SplitSchedule) -> dict[int, float]:
    """The start of each scheduled split, by shard."""
    return {each.split.shard: each.start_day for each in schedule.scheduled}


def test_a_split_starts_as_late_as_possible() -> None:
    schedule = plan_splits([PendingSplit(1, A, B, 100, 7)], 10, FREE)
    assert start_days(schedule) == {1: 93} and not schedule.late
    assert schedule.due(91, frozenset()) == ()
    assert [each.shard for each in schedule.due(92, frozenset())] == [1]


def test_a_split_that_misses_its_deadline_starts_now_and_is_reported_late() -> None:
    split = PendingSplit(1, A, B, 12, 7)
    schedule = plan_splits([split], 10, FREE)
    assert schedule.late == (LateSplit(split, 17),) and start_days(schedule) == {1: 10}
    assert schedule.due(10, frozenset()) == (split,)


def test_splits_of_one_building_run_one_after_the_other_by_deadline() -> None:
    first, second = PendingSplit(7, A, B, 100, 7), PendingSplit(2, C, D, 101, 7)
    for splits in ([first, second], [second, first]):
        schedule = plan_splits(splits, 10, FREE)
        assert start_days(schedule) == {7: 87, 2: 94} and not schedule.late
        assert schedule.due(90, frozenset()) == (first,)
        assert schedule.due(95, frozenset({A, B})) == ()  # the first one is running
        assert plan_splits([second], 95, FREE).due(95, frozenset()) == (second,)
    same_deadline = replace(second, deadline_day=100)
    assert list(start_days(plan_splits([first, same_deadline], 10, FREE))) == [2, 7]  # by shard number


def test_buildings_do_not_wait_for_each_other() -> None:
    schedule = plan_splits(
        [PendingSplit(1, A, B, 20, 7), PendingSplit(2, OTHER_SOURCE, OTHER_TARGET, 20, 7)], 13, FREE
    )
    assert [each.shard for each in schedule.due(13, frozenset())] == [1, 2]


def test_splits_that_do_not_all_fit_start_at_once_and_only_late_ones_are_reported() -> None:
    schedule = plan_splits(
        [PendingSplit(1, A, B, 16, 5), PendingSplit(2, C, D, 17, 5), PendingSplit(3, A, C, 90, 5)], 10, FREE
    )
    assert start_days(schedule)[1] == 10 and [each.split.shard for each in schedule.late] == [2]
    assert schedule.late[0].end_day == 20


def test_splits_are_scheduled_between_upkeep() -> None:
    upkeep = PlannedUpkeep(((A, 90, 99), (B, 80, 85)))
    assert start_days(plan_splits([PendingSplit(1, A, B, 100, 5)], 10, upkeep)) == {1: 85}
    assert start_days(plan_splits([PendingSplit(1, A, B, 100, 6)], 10, upkeep)) == {1: 74}
    assert start_days(plan_splits([PendingSplit(1, A, B, 100, 6)], 82, upkeep)) == {1: 99}
    assert plan_splits([PendingSplit(1, A, B, 100, 6)], 82, upkeep).late[0].end_day == 105
    assert last_window(upkeep, (A, B), 10, 100, 1) == 99

    class NeverFree:
        def next_free(self, cell: CellId, from_day: float) -> tuple[float, float]:
            return from_day, from_day

    assert first_window(NeverFree(), (A,), 3, 1) is None
    assert plan_splits([PendingSplit(1, A, B, 100, 6)], 82, NeverFree()).late[0].end_day is None


def test_random_schedules_never_overlap_upkeep_or_each_other() -> None:
    draw = random_source(5)
    for _ in range(200):
        spans = tuple(
            (cell, start, start + 1 + 4 * draw())
            for cell in (A, B, C, D)
            for start in (10 + 25 * draw(), 45 + 25 * draw())
        )
        upkeep = PlannedUpkeep(spans)
        splits = [
            PendingSplit(number, (A, C)[number % 2], (B, D)[number % 2], 20 + 90 * draw(), 1 + 6 * draw())
            for number in range(int(1 + 4 * draw()))
        ]
        schedule = plan_splits(splits, 10, upkeep)
        previous_end = 0.0
        for each in schedule.scheduled:
            split, end = each.split, each.start_day + each.split.days
            assert each.start_day >= previous_end - 1e-9
            previous_end = each.start_day + split.days if not schedule.late else previous_end
            for cell, start, until in spans:
                disjoint = end <= start + 1e-9 or each.start_day >= until - 1e-9
                assert cell not in (split.source, split.target) or disjoint
            assert end <= split.deadline_day + 1e-9 or any(late.split == split for late in schedule.late)


def test_the_duration_bound_adapts_to_completed_splits() -> None:
    prior_bound = duration_bound_days(2e12, [])
    fast = [CompletedSplit(2e12, 5)] * 30
    assert duration_bound_days(2e12, fast) < prior_bound
    mixed = [CompletedSplit(2e12, 5), CompletedSplit(2e12, 20)] * 15
    assert duration_bound_days(2e12, mixed) > duration_bound_days(2e12, fast)
    assert duration_bound_days(4e12, fast) > duration_bound_days(2e12, fast)
    assert duration_bound_days(2e12, [CompletedSplit(0, 0)]) == prior_bound


def test_the_deadline_follows_from_the_upper_bound() -> None:
    class Sizes:
        first_day = 50
        median = (10.0, 20.0, 30.0, 40.0)
        high = (20.0, 40.0, 60.0, 80.0)

    assert full_dates(Sizes(), 40) == FullDates(51, 53)
    assert full_dates(Sizes(), 40).deadline_day == 51 - MARGIN_DAYS
    assert full_dates(Sizes(), 90) == FullDates(None, None)


def test_too_many_requests_are_rejected() -> None:
    with pytest.raises(ValueError):
        plan_splits([PendingSplit(1, A, B, 1, 1)] * (MAX_PENDING_SPLITS + 1), 0, FREE)
