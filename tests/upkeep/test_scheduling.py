"""Plans: nothing against a rule, close to the best, in bounded slices; and nobody waits behind later work."""

import random
from dataclasses import replace
from itertools import permutations

import msgspec
import pytest

from molereach.upkeep.requests.work_item import MINUTE_MS, Work
from molereach.upkeep.rules.evaluation import judge
from molereach.upkeep.rules.fleet_facts import Facts, Fleet, groups
from molereach.upkeep.rules.scene import Off, Scene, Taken
from molereach.upkeep.rules.settings import Season, UpkeepSettings
from molereach.upkeep.scheduling.ageing import MOST_PRESSING, Waiting, held_up, pressing
from molereach.upkeep.scheduling.fallback_selection import stands
from molereach.upkeep.scheduling.list_schedule import Pass, Planned
from molereach.upkeep.scheduling.plan import PLAN_RULES, Plan, Planner, most_steps
from tests.upkeep.builders import DAY_MS, LOOSE, NOON_MS, scene, server, servers, work

TIGHT = replace(
    LOOSE,
    least_ready_cell=2,
    target=700,
    most_out=3,
    most_out_cell=2,
    most_out_zone=2,
    drain_ms=2 * MINUTE_MS,
    warming_ms=3 * MINUTE_MS,
)
EVER = NOON_MS + 300 * DAY_MS


def waiting(*works: Work) -> list[Waiting]:
    return [Waiting(each, number + 1) for number, each in enumerate(works)]


def planned(now: Scene, works: list[Waiting], slice_steps: int = 64) -> tuple[Plan, int, int]:
    planner, most = Planner(now, works, {}), 0
    while True:
        before = planner.steps
        made = planner.run(slice_steps)
        most = max(most, planner.steps - before)
        if made:
            assert planner.plan is not None
            return planner.plan, planner.steps, most


def drawn(seed: int) -> tuple[Scene, list[Waiting]]:
    """Up to six machines on a small grid of cells, zones, loads, times and ties between works."""
    chance = random.Random(seed)
    fleet = tuple(
        server(f"s{number}", chance.choice("ab"), chance.choice("xy"), load=chance.choice((100, 300, 400)))
        for number in range(9)
    )
    works = []
    for number in range(chance.randint(2, 6)):
        others = [f"s{other}" for other in range(9) if other != number]
        before = [f"s{other}" for other in range(number)]
        works.append(
            work(
                f"w{number}",
                f"s{number}",
                minutes=chance.choice((10, 20, 40, 80)),
                not_after_ms=EVER,
                not_with=tuple(chance.sample(others, chance.choice((0, 0, 1)))),
                after=tuple(chance.sample(before, 1)) if before and chance.random() < 0.25 else (),
            )
        )
    settings = replace(TIGHT, most_out=chance.choice((1, 2, 3)), least_ready_cell=chance.choice((1, 2)))
    return scene(Facts(servers=fleet), settings), waiting(*works)


def away(now: Scene, works: list[Planned]) -> dict[str, Taken]:
    return {
        one.work.machine: Taken(one.work, Off.AWAY, groups(now.fleet.servers[one.work.machine]))
        for one in works
    }


def test_no_plan_breaks_a_rule_and_each_work_is_planned_or_named() -> None:
    for seed in range(60):
        now, works = drawn(seed)
        plan, _, _ = planned(now, works)
        assert {one.work.id for one in plan.planned} | set(plan.stopped) == {each.work.id for each in works}
        assert not {one.work.id for one in plan.planned} & set(plan.stopped)
        for one in plan.planned:
            beside = away(
                now,
                [
                    other
                    for other in plan.planned
                    if other is not one and other.begins_ms <= one.begins_ms < other.ends_ms
                ],
            )
            undone = {other.work.machine for other in plan.planned if other.ends_ms > one.begins_ms}
            then = replace(now, at_ms=one.begins_ms, taken=beside, waiting=undone)
            assert judge(then, one.work, PLAN_RULES) is None


def best(now: Scene, works: list[Waiting]) -> int:
    """The shortest time over all lists: each list puts one work after the other where it first fits."""
    return min(end for end in (_listed(now, list(order)) for order in permutations(works)) if end) - now.at_ms


def _listed(now: Scene, order: list[Waiting]) -> int:
    placed: list[Planned] = []
    for each in order:
        needed = {name for name in each.work.after if any(one.work.machine == name for one in order)}
        if needed - {one.work.machine for one in placed}:
            return 0  # such a list is another one
        least = max([now.at_ms, *(one.ends_ms for one in placed if one.work.machine in needed)])
        for begins in sorted({least, *(one.ends_ms for one in placed if one.ends_ms > least)}):
            ends = begins + each.work.took_ms + now.settings.away_ms
            if _fits(now, placed, each.work, begins, ends):
                placed.append(Planned(each.work, begins, ends))
                break
        else:
            return 0
    return max(one.ends_ms for one in placed)


def _fits(now: Scene, placed: list[Planned], work: Work, begins: int, ends: int) -> bool:
    """At each moment between, whichever of those beside it is looked at last."""
    moments = {begins, *(one.begins_ms for one in placed if begins <= one.begins_ms < ends)}
    for moment in moments:
        there = [one for one in placed if one.begins_ms <= moment < one.ends_ms]
        then = replace(now, at_ms=moment, taken=away(now, there))
        if judge(then, msgspec.structs.replace(work, after=()), PLAN_RULES):
            return False
    return True


def ratios(seeds: range) -> list[float]:
    found = []
    for seed in seeds:
        now, works = drawn(seed)
        plan, _, _ = planned(now, works)
        if not plan.stopped:
            found.append((plan.ends_ms - now.at_ms) / best(now, works))
    return found


def test_plans_take_little_longer_than_the_best_that_there_are() -> None:
    found = ratios(range(40))
    assert len(found) >= 25 and min(found) >= 1
    assert sum(found) / len(found) <= 1.15


def test_two_hundred_machines_are_planned_in_slices_within_the_stated_steps() -> None:
    fleet = tuple(server(f"s{number}", f"c{number % 10}", f"z{number % 3}") for number in range(200))
    works = waiting(
        *(
            work(f"w{number}", f"s{number}", minutes=10 + number % 50, not_after_ms=EVER)
            for number in range(200)
        )
    )
    now = scene(Facts(servers=fleet), UpkeepSettings(most_out=12, most_out_cell=2, most_out_zone=6))
    plan, steps, most = planned(now, works, 256)
    assert len(plan.planned) == 200 and 200 <= steps <= most_steps(200) and most <= 256


def test_a_plan_goes_on_past_a_season_and_names_what_never_can() -> None:
    kept = replace(LOOSE, seasons=(Season((12, 8), (12, 20)),))
    never = work("never", "s1", not_after_ms=EVER, not_with=("s2",))
    now = scene(Facts(servers=servers(3)), kept, {"s2": Off.AWAY})
    plan, _, _ = planned(now, waiting(work("w", not_after_ms=EVER), never))
    assert {one.work.id: one.begins_ms for one in plan.planned} == dict.fromkeys(
        ("w", "never"), NOON_MS + 12 * 60 * MINUTE_MS + 12 * DAY_MS
    )
    one_left = scene(Facts(servers=servers(2)), UpkeepSettings())
    plan, _, _ = planned(one_left, waiting(work("w")))
    assert plan.planned == () and plan.stopped["w"].rule == "floor"


def test_works_of_one_machine_go_in_the_order_in_which_they_were_asked_for() -> None:
    long_last = waiting(work("short", minutes=10), work("long", minutes=80))
    plan, _, _ = planned(scene(Facts(servers=servers(3))), long_last)
    assert [one.work.id for one in plan.planned] == ["short", "long"]
    never = scene(Facts(servers=servers(3), ordered=("s0",)))
    plan, _, _ = planned(never, long_last)
    assert {id: stop.rule for id, stop in plan.stopped.items()} == {"long": "apart", "short": "orders"}


def test_what_is_away_now_comes_back_when_it_is_thought_to() -> None:
    now = scene(
        Facts(servers=servers(6)),
        replace(LOOSE, most_out=2, drain_ms=0, warming_ms=0),
        {"s5": Off.AWAY, "s4": Off.WARMING, "s3": Off.LOST},
    )
    ends_ms = {"s5": NOON_MS + 50 * MINUTE_MS, "s4": NOON_MS + 20 * MINUTE_MS}
    planner = Planner(now, waiting(work("w", "s0"), work("x", "s1")), ends_ms)
    while not planner.run():
        pass
    assert planner.plan is not None
    begins = [(one.work.id, (one.begins_ms - NOON_MS) // MINUTE_MS) for one in planner.plan.planned]
    assert begins == [("w", 20), ("x", 50)]


def test_a_work_presses_that_was_passed_too_often_or_whose_window_closes_and_what_it_waits_for() -> None:
    soon = work("soon", "s1", not_after_ms=NOON_MS + 80 * MINUTE_MS, after=("s2",))
    often = Waiting(work("often", "s3"), 2, passed_ms=NOON_MS - 5)
    found = pressing(
        [Waiting(soon, 1), often, *waiting(work("free", "s4"))[:1], Waiting(work("x", "s2"), 9)],
        NOON_MS,
        LOOSE,
    )
    assert [one.waiting.work.id for one in found] == ["soon", "x", "often"]
    assert found[0].since_ms == found[1].since_ms == NOON_MS - 10 * MINUTE_MS


def test_what_presses_is_inherited_along_a_chain_and_by_earlier_works_of_a_machine() -> None:
    soon = work("soon", "s1", not_after_ms=NOON_MS + 80 * MINUTE_MS, after=("s2",))
    chain = [
        Waiting(work("near", "s2", after=("s3",)), 1),
        Waiting(work("far", "s3"), 2),
        Waiting(work("own", "s1"), 3),
        Waiting(soon, 4),
        Waiting(work("later", "s1"), 5),
        Waiting(work("free", "s4"), 6),
    ]
    for order in (chain, chain[::-1]):
        found = pressing(order, NOON_MS, LOOSE)
        assert [one.waiting.work.id for one in found] == ["near", "far", "own", "soon"]
        assert len({(one.since_ms, one.rank) for one in found}) == 1
    assert pressing(chain, NOON_MS - 11 * MINUTE_MS, LOOSE) == ()
    many = [Waiting(work(f"w{number}", "s1", not_after_ms=NOON_MS), number) for number in range(20)]
    assert len(pressing(many, NOON_MS, LOOSE)) == MOST_PRESSING


def test_later_work_waits_where_it_would_hold_up_one_that_presses_and_only_there() -> None:
    kept = replace(LOOSE, least_ready_cell=3)
    now = scene(Facts(servers=servers(4)), kept, {"s1": Off.AWAY})
    press = pressing([Waiting(work("old"), 1, passed_ms=NOON_MS)], NOON_MS, kept)
    stop = held_up(now, work("new", "s2"), press)
    assert stop is not None and (stop.rule, stop.machines) == ("ageing", ("s0",))
    assert held_up(now, work("old"), press) is None
    # One that could not go in any case holds up nobody.
    ordered = scene(Facts(servers=servers(4), ordered=("s0",)), kept)
    assert held_up(ordered, work("new", "s2"), press) is None


def test_without_ageing_a_work_that_needs_much_waits_for_ever_and_with_it_goes() -> None:
    # The long work may be out with none of the short ones; one of those is always out.
    others = tuple(f"s{number}" for number in range(1, 7))
    wide = Waiting(work("wide", "s0", not_with=others, not_after_ms=NOON_MS + 120 * MINUTE_MS), 1)
    short = [
        Waiting(work(f"n{number}", name, minutes=25 + 15 * (number % 2), not_after_ms=EVER), number + 2)
        for number, name in enumerate(others)
    ]
    now = scene(Facts(servers=servers(8)), replace(LOOSE, most_out=2))
    for ageing, goes in ((LOOSE.closing_ms, True), (-DAY_MS, False)):
        settings = replace(LOOSE, most_out=2, closing_ms=ageing)
        one = Pass(replace(now, settings=settings), [*short, wide], {}, PLAN_RULES)
        one.run(10_000)
        assert ("wide" in {each.work.id for each in one.planned}) is goes


@pytest.mark.parametrize("besides, expected", [("", ("s0", "s1")), ("s1", ("s0", "s2"))])
def test_some_of_each_cell_stand_and_few_change(besides: str, expected: tuple[str, ...]) -> None:
    fleet = Fleet(Facts(servers=servers(7)))
    assert stands(fleet, 250, ("s0", "s1"), (), (), besides) == expected
    assert stands(fleet, 250, ("s5",), ("s0",), ("s1",)) == ("s2", "s5")
    ordered = Fleet(Facts(servers=servers(7), ordered=("s0",)))
    assert stands(ordered, 250, (), (), ()) == ("s1", "s2"), "an order may end it at any time"
    assert stands(Fleet(Facts(servers=servers(1))), 250, (), (), ()) == (), "the only one could never go"
