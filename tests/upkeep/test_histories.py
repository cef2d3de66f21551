"""Random histories: invariants hold, all items finish, and each safeguard is needed."""

from collections.abc import Callable
from dataclasses import replace
from datetime import date, timedelta
from itertools import product

import pytest

from molereach.upkeep.permits.lifecycle import DRAINING_STATES
from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.fleet_facts import FleetFacts
from molereach.upkeep.rules.scene import Absence, Blocker, Scene
from molereach.upkeep.rules.seasons import DAY_MS, is_in_season, month_day
from molereach.upkeep.rules.settings import MonthDay, Season, UpkeepSettings
from molereach.upkeep.rules.voters import check_voters
from tests.upkeep.builders import proxies, scene, work_item
from tests.upkeep.mutants import MUTANTS, check_voters_without_draining, is_in_season_without_last_day
from tests.upkeep.random_history import request, run_history
from tests.upkeep.world import World
from tests.upkeep.world_parts import SETTINGS, Components, InvariantViolatedError

HISTORIES_PER_TEST = 20
MAX_HISTORIES = 150  # within which a mutant must be detected
FIRST_SEED = {  # first seeds for mutants that are rarely detected
    "reported position ignored": 20,
    "former fallback servers ignored": 70,
    "all servers kept without session": 25,
    "time without session counted from wakeup": 75,
    "requests in flight ignored": 10,
    "no wait after expiry": 12,
}


@pytest.mark.parametrize("first", range(0, 80, HISTORIES_PER_TEST))
def test_histories_keep_the_invariants_and_finish_all_items(first: int) -> None:
    worlds = [run_history(seed) for seed in range(first, first + HISTORIES_PER_TEST)]
    # The tested events occur, and often enough.
    assert sum(len(world.permits) for world in worlds) > HISTORIES_PER_TEST
    assert sum(world.recalls for world in worlds) > 0
    assert sum(world.requests_sent for world in worlds) > 100 * HISTORIES_PER_TEST


@pytest.mark.parametrize("name", MUTANTS)
def test_histories_detect_each_missing_safeguard(name: str) -> None:
    first = FIRST_SEED.get(name, 0)
    with pytest.raises(InvariantViolatedError):
        for seed in range(first, first + MAX_HISTORIES):
            run_history(seed, MUTANTS[name])


def test_histories_detect_starvation_without_ageing() -> None:
    """One item excludes four others, which are requested again and again."""

    def max_passed(settings: UpkeepSettings) -> int:
        return max(items_that_overtook(seed, Components(settings=settings)) for seed in range(4))

    settings = replace(SETTINGS, most_out=3, most_out_cell=3, most_out_zone=3, least_ready_cell=1)
    assert max_passed(settings) <= settings.most_passed
    assert (
        max_passed(replace(settings, most_passed=1 << 40, closing_ms=-(1 << 40))) > 2 * settings.most_passed
    )


def items_that_overtook(seed: int, components: Components) -> int:
    """How many items that were requested later started before it."""
    world, number = World(seed, components), 0
    while not world.reference.registry.fleet.servers:
        world.step()
    for _ in range(150):
        records = world.reference.registry.records
        if (
            any(each.state in DRAINING_STATES for each in records.values())
            and world.reference.registry.get("wide") is None
        ):
            request(world, work_item("wide", "s0", minutes=1, not_with=("s1", "s2", "s3", "s4")))
        for name in sorted({"s1", "s2", "s3", "s4"} - {each.work.machine for each in records.values()}):
            number += 1
            request(world, work_item(f"n{number}", name, minutes=1))
        world.step()
        record = world.reference.registry.get("wide")
        if record is not None and record.begun:
            break
    assert record is not None and number > 4
    return record.passed


SeasonRule = Callable[[MonthDay, Season], bool]


def misjudged_days(rule: SeasonRule) -> int:
    """The days that a rule misjudges, of two years by two seasons. The expected result is counted by
    dates."""
    count = 0
    for first, last in ((date(2027, 12, 9), date(2028, 1, 6)), (date(2028, 2, 20), date(2028, 3, 2))):
        season = Season((first.month, first.day), (last.month, last.day))
        days = {(first + timedelta(number)).strftime("%m%d") for number in range((last - first).days + 1)}
        for number in range(730):
            day = date(2027, 1, 1) + timedelta(number)
            month_and_day = month_day((day - date(1970, 1, 1)).days * DAY_MS)
            count += rule(month_and_day, season) is not (day.strftime("%m%d") in days)
    return count


def test_all_days_detect_a_season_without_its_last_day() -> None:
    assert misjudged_days(is_in_season) == 0 < misjudged_days(is_in_season_without_last_day)


def unsafe_voter_sets(rule: Callable[[Scene, WorkItem], Blocker | None]) -> int:
    """How many combinations of five voters, each well, dead or draining, allow one more to drain although one
    more loss would then leave no majority."""
    count = 0
    for states in product(("well", "dead", "drains"), repeat=4):
        dead = [number for number, state in enumerate(states, 1) if state == "dead"]
        absences = {f"d{number}": Absence.AWAY for number, state in enumerate(states, 1) if state == "drains"}
        facts = FleetFacts(doors=proxies(9, dead), panel=("d0", "d1", "d2", "d3", "d4"))
        may_start = rule(scene(facts, absences=absences), work_item("w", "d0")) is None
        count += may_start and states.count("well") - 1 < 3
    return count


def test_all_voter_sets_detect_draining_voters_that_are_not_counted() -> None:
    assert unsafe_voter_sets(check_voters) == 0 < unsafe_voter_sets(check_voters_without_draining)
