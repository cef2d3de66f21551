"""A split begins in time, in rooms that upkeep leaves, in order of the dates; what is too late is said."""

from dataclasses import dataclass, replace

import pytest

from molereach.shards.map.shard_map import Home
from molereach.shards.schedule.deadline import SPARE_DAYS, Full, full
from molereach.shards.schedule.duration import Took, takes_days
from molereach.shards.schedule.free_windows import AlwaysFree, first_room, last_room
from molereach.shards.schedule.planner import MOST_WANTED, Calendar, Late, Wanted, calendar
from tests.shards.generated import drawn_by

A, B, C, D = (Home("b1", f"c{number}") for number in range(4))
ELSEWHERE, THERE = Home("b2", "e1"), Home("b2", "e2")
FREE = AlwaysFree()


@dataclass(frozen=True)
class Taken:
    """Upkeep has these cells from one day to another."""

    spans: tuple[tuple[Home, float, float], ...]

    def next_free(self, home: Home, from_day: float) -> tuple[float, float]:
        at = from_day
        for cell, start, end in sorted(self.spans):
            if cell == home and start <= at < end:
                at = end
        later = [start for cell, start, _ in self.spans if cell == home and start > at]
        return at, min(later, default=float("inf"))


def begins(found: Calendar) -> dict[int, float]:
    return {slot.wanted.shard: slot.begin_day for slot in found.slots}


def test_it_begins_as_late_as_it_may() -> None:
    found = calendar([Wanted(1, A, B, 100, 7)], 10, FREE)
    assert begins(found) == {1: 93} and not found.late
    assert found.due(91, frozenset()) == ()
    assert [each.shard for each in found.due(92, frozenset())] == [1]


def test_a_shard_that_is_full_before_its_split_is_over_is_said_at_once() -> None:
    wanted = Wanted(1, A, B, 12, 7)
    found = calendar([wanted], 10, FREE)
    assert found.late == (Late(wanted, 17),) and begins(found) == {1: 10}
    assert found.due(10, frozenset()) == (wanted,)


def test_two_due_at_once_in_one_building_go_by_the_date_and_one_after_the_other() -> None:
    first, second = Wanted(7, A, B, 100, 7), Wanted(2, C, D, 101, 7)
    for given in ([first, second], [second, first]):
        found = calendar(given, 10, FREE)
        assert begins(found) == {7: 87, 2: 94} and not found.late
        assert found.due(90, frozenset()) == (first,)
        assert found.due(95, frozenset({A, B})) == ()  # the first is under way
        assert calendar([second], 95, FREE).due(95, frozenset()) == (second,)
    same = replace(second, full_day=100)
    assert list(begins(calendar([first, same], 10, FREE))) == [2, 7]  # the same date: by the shard's number


def test_buildings_do_not_wait_for_one_another() -> None:
    found = calendar([Wanted(1, A, B, 20, 7), Wanted(2, ELSEWHERE, THERE, 20, 7)], 13, FREE)
    assert [each.shard for each in found.due(13, frozenset())] == [1, 2]


def test_a_chain_that_does_not_fit_begins_at_once_and_says_who_is_late() -> None:
    found = calendar([Wanted(1, A, B, 16, 5), Wanted(2, C, D, 17, 5), Wanted(3, A, C, 90, 5)], 10, FREE)
    assert begins(found)[1] == 10 and [each.wanted.shard for each in found.late] == [2]
    assert found.late[0].over_day == 20


def test_it_goes_into_the_rooms_that_upkeep_leaves() -> None:
    rooms = Taken(((A, 90, 99), (B, 80, 85)))
    assert begins(calendar([Wanted(1, A, B, 100, 5)], 10, rooms)) == {1: 85}
    assert begins(calendar([Wanted(1, A, B, 100, 6)], 10, rooms)) == {1: 74}
    assert begins(calendar([Wanted(1, A, B, 100, 6)], 82, rooms)) == {1: 99}
    assert calendar([Wanted(1, A, B, 100, 6)], 82, rooms).late[0].over_day == 105
    assert last_room(rooms, (A, B), 10, 100, 1) == 99

    class Never:
        def next_free(self, home: Home, from_day: float) -> tuple[float, float]:
            return from_day, from_day

    assert first_room(Never(), (A,), 3, 1) is None
    assert calendar([Wanted(1, A, B, 100, 6)], 82, Never()).late[0].over_day is None


def test_drawn_calendars_never_take_a_cell_with_upkeep_nor_two_at_once() -> None:
    draw = drawn_by(5)
    for _ in range(200):
        spans = tuple(
            (home, start, start + 1 + 4 * draw())
            for home in (A, B, C, D)
            for start in (10 + 25 * draw(), 45 + 25 * draw())
        )
        rooms = Taken(spans)
        wanted = [
            Wanted(number, (A, C)[number % 2], (B, D)[number % 2], 20 + 90 * draw(), 1 + 6 * draw())
            for number in range(int(1 + 4 * draw()))
        ]
        found = calendar(wanted, 10, rooms)
        before = 0.0
        for slot in found.slots:
            each, end = slot.wanted, slot.begin_day + slot.wanted.days
            assert slot.begin_day >= before - 1e-9
            before = slot.begin_day + each.days if not found.late else before
            for home, start, until in spans:
                apart = end <= start + 1e-9 or slot.begin_day >= until - 1e-9
                assert home not in (each.home, each.to) or apart
            assert end <= each.full_day + 1e-9 or any(late.wanted == each for late in found.late)


def test_the_bound_of_how_long_a_split_takes_learns() -> None:
    unknown = takes_days(2e12, [])
    quick = [Took(2e12, 5)] * 30
    assert takes_days(2e12, quick) < unknown
    mixed = [Took(2e12, 5), Took(2e12, 20)] * 15
    assert takes_days(2e12, mixed) > takes_days(2e12, quick)
    assert takes_days(4e12, quick) > takes_days(2e12, quick)
    assert takes_days(2e12, [Took(0, 0)]) == unknown


def test_a_shard_is_full_by_the_upper_bound() -> None:
    class Sizes:
        first_day = 50
        middle = (10.0, 20.0, 30.0, 40.0)
        high = (20.0, 40.0, 60.0, 80.0)

    assert full(Sizes(), 40) == Full(51, 53)
    assert full(Sizes(), 40).deadline_day == 51 - SPARE_DAYS
    assert full(Sizes(), 90) == Full(None, None)


def test_bounds() -> None:
    with pytest.raises(ValueError):
        calendar([Wanted(1, A, B, 1, 1)] * (MOST_WANTED + 1), 0, FREE)
