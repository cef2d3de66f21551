"""Plans obey the rules, are close to the optimum and computed in bounded slices; ageing prevents
starvation."""

import random
from dataclasses import replace
from itertools import permutations

import msgspec
import pytest

from molereach.upkeep.requests.work_item import MINUTE_MS, WorkItem
from molereach.upkeep.rules.evaluation import find_blocker
from molereach.upkeep.rules.fleet_facts import Fleet, FleetFacts, groups_of
from molereach.upkeep.rules.scene import Absence, MachineInMaintenance, Scene
from molereach.upkeep.rules.settings import Season, UpkeepSettings
from molereach.upkeep.scheduling.ageing import MAX_URGENT_ITEMS, WaitingItem, find_delayed_item, urgent_items
from molereach.upkeep.scheduling.fallback_selection import select_fallback_servers
from molereach.upkeep.scheduling.list_schedule import ListSchedule, PlannedItem
from molereach.upkeep.scheduling.plan import PLAN_RULES, Plan, Planner, max_steps
from tests.upkeep.builders import DAY_MS, NOON_MS, PERMISSIVE, scene, server, servers, work_item

TIGHT_SETTINGS = replace(
    PERMISSIVE,
    least_ready_cell=2,
    target=700,
    most_out=3,
    most_out_cell=2,
    most_out_zone=2,
    drain_ms=2 * MINUTE_MS,
    warming_ms=3 * MINUTE_MS,
)
DISTANT_MS = NOON_MS + 300 * DAY_MS


def waiting_items(*items: WorkItem) -> list[WaitingItem]:
    return [WaitingItem(each, number + 1) for number, each in enumerate(items)]


def make_plan(current: Scene, items: list[WaitingItem], slice_steps: int = 64) -> tuple[Plan, int, int]:
    planner, longest_slice = Planner(current, items, {}), 0
    while True:
        before = planner.steps
        complete = planner.run(slice_steps)
        longest_slice = max(longest_slice, planner.steps - before)
        if complete:
            assert planner.plan is not None
            return planner.plan, planner.steps, longest_slice


def random_case(seed: int) -> tuple[Scene, list[WaitingItem]]:
    """Up to six machines in a small grid of cells, zones, loads and durations, with dependencies between
    items."""
    rng = random.Random(seed)
    fleet = tuple(
        server(f"s{number}", rng.choice("ab"), rng.choice("xy"), load=rng.choice((100, 300, 400)))
        for number in range(9)
    )
    items = []
    for number in range(rng.randint(2, 6)):
        others = [f"s{other}" for other in range(9) if other != number]
        before = [f"s{other}" for other in range(number)]
        items.append(
            work_item(
                f"w{number}",
                f"s{number}",
                minutes=rng.choice((10, 20, 40, 80)),
                not_after_ms=DISTANT_MS,
                not_with=tuple(rng.sample(others, rng.choice((0, 0, 1)))),
                after=tuple(rng.sample(before, 1)) if before and rng.random() < 0.25 else (),
            )
        )
    settings = replace(TIGHT_SETTINGS, most_out=rng.choice((1, 2, 3)), least_ready_cell=rng.choice((1, 2)))
    return scene(FleetFacts(servers=fleet), settings), waiting_items(*items)


def in_maintenance(current: Scene, items: list[PlannedItem]) -> dict[str, MachineInMaintenance]:
    return {
        planned.work.machine: MachineInMaintenance(
            planned.work, Absence.AWAY, groups_of(current.fleet.servers[planned.work.machine])
        )
        for planned in items
    }


def test_no_plan_breaks_a_rule_and_each_item_is_planned_or_blocked() -> None:
    for seed in range(60):
        current, items = random_case(seed)
        plan, _, _ = make_plan(current, items)
        assert {planned.work.id for planned in plan.planned} | set(plan.blocked) == {
            each.work.id for each in items
        }
        assert not {planned.work.id for planned in plan.planned} & set(plan.blocked)
        for planned in plan.planned:
            others = in_maintenance(
                current,
                [
                    other
                    for other in plan.planned
                    if other is not planned and other.starts_ms <= planned.starts_ms < other.ends_ms
                ],
            )
            unfinished = {other.work.machine for other in plan.planned if other.ends_ms > planned.starts_ms}
            moment = replace(current, at_ms=planned.starts_ms, in_maintenance=others, waiting=unfinished)
            assert find_blocker(moment, planned.work, PLAN_RULES) is None


def optimal_duration(current: Scene, items: list[WaitingItem]) -> int:
    """The shortest duration over all orders, where each order starts one item after another as soon as it
    fits."""
    return (
        min(end for end in (_schedule_end(current, list(order)) for order in permutations(items)) if end)
        - current.at_ms
    )


def _schedule_end(current: Scene, order: list[WaitingItem]) -> int:
    placed: list[PlannedItem] = []
    for each in order:
        needed = {name for name in each.work.after if any(planned.work.machine == name for planned in order)}
        if needed - {planned.work.machine for planned in placed}:
            return 0  # another order puts its prerequisites first
        earliest_ms = max(
            [current.at_ms, *(planned.ends_ms for planned in placed if planned.work.machine in needed)]
        )
        for starts_ms in sorted(
            {earliest_ms, *(planned.ends_ms for planned in placed if planned.ends_ms > earliest_ms)}
        ):
            ends_ms = starts_ms + each.work.duration_ms + current.settings.overhead_ms
            if _fits(current, placed, each.work, starts_ms, ends_ms):
                placed.append(PlannedItem(each.work, starts_ms, ends_ms))
                break
        else:
            return 0
    return max(planned.ends_ms for planned in placed)


def _fits(current: Scene, placed: list[PlannedItem], work: WorkItem, starts_ms: int, ends_ms: int) -> bool:
    """Whether no rule blocks the item at any moment of its duration."""
    moments = {
        starts_ms,
        *(planned.starts_ms for planned in placed if starts_ms <= planned.starts_ms < ends_ms),
    }
    for moment in moments:
        running = [planned for planned in placed if planned.starts_ms <= moment < planned.ends_ms]
        simulated = replace(current, at_ms=moment, in_maintenance=in_maintenance(current, running))
        if find_blocker(simulated, msgspec.structs.replace(work, after=()), PLAN_RULES):
            return False
    return True


def duration_ratios(seeds: range) -> list[float]:
    ratios = []
    for seed in seeds:
        current, items = random_case(seed)
        plan, _, _ = make_plan(current, items)
        if not plan.blocked:
            ratios.append((plan.ends_ms - current.at_ms) / optimal_duration(current, items))
    return ratios


def test_plans_take_little_longer_than_the_optimum() -> None:
    ratios = duration_ratios(range(40))
    assert len(ratios) >= 25 and min(ratios) >= 1
    assert sum(ratios) / len(ratios) <= 1.15


def test_two_hundred_machines_are_planned_in_slices_within_the_step_bound() -> None:
    fleet = tuple(server(f"s{number}", f"c{number % 10}", f"z{number % 3}") for number in range(200))
    items = waiting_items(
        *(
            work_item(f"w{number}", f"s{number}", minutes=10 + number % 50, not_after_ms=DISTANT_MS)
            for number in range(200)
        )
    )
    current = scene(FleetFacts(servers=fleet), UpkeepSettings(most_out=12, most_out_cell=2, most_out_zone=6))
    plan, steps, longest_slice = make_plan(current, items, 256)
    assert len(plan.planned) == 200 and 200 <= steps <= max_steps(200) and longest_slice <= 256


def test_plan_continues_after_a_season_and_reports_blocked_items() -> None:
    settings = replace(PERMISSIVE, seasons=(Season((12, 8), (12, 20)),))
    excluded = work_item("never", "s1", not_after_ms=DISTANT_MS, not_with=("s2",))
    current = scene(FleetFacts(servers=servers(3)), settings, {"s2": Absence.AWAY})
    plan, _, _ = make_plan(current, waiting_items(work_item("w", not_after_ms=DISTANT_MS), excluded))
    assert {planned.work.id: planned.starts_ms for planned in plan.planned} == dict.fromkeys(
        ("w", "never"), NOON_MS + 12 * 60 * MINUTE_MS + 12 * DAY_MS
    )
    two_servers = scene(FleetFacts(servers=servers(2)), UpkeepSettings())
    plan, _, _ = make_plan(two_servers, waiting_items(work_item("w")))
    assert plan.planned == () and plan.blocked["w"].rule == "floor"


def test_items_of_one_machine_start_in_the_order_of_their_requests() -> None:
    items = waiting_items(work_item("short", minutes=10), work_item("long", minutes=80))
    plan, _, _ = make_plan(scene(FleetFacts(servers=servers(3))), items)
    assert [planned.work.id for planned in plan.planned] == ["short", "long"]
    with_order = scene(FleetFacts(servers=servers(3), ordered=("s0",)))
    plan, _, _ = make_plan(with_order, items)
    assert {id: blocker.rule for id, blocker in plan.blocked.items()} == {"long": "apart", "short": "orders"}


def test_current_maintenance_frees_its_slot_at_its_expected_end() -> None:
    current = scene(
        FleetFacts(servers=servers(6)),
        replace(PERMISSIVE, most_out=2, drain_ms=0, warming_ms=0),
        {"s5": Absence.AWAY, "s4": Absence.WARMING, "s3": Absence.LOST},
    )
    ends_ms = {"s5": NOON_MS + 50 * MINUTE_MS, "s4": NOON_MS + 20 * MINUTE_MS}
    planner = Planner(current, waiting_items(work_item("w", "s0"), work_item("x", "s1")), ends_ms)
    while not planner.run():
        pass
    assert planner.plan is not None
    starts = [
        (planned.work.id, (planned.starts_ms - NOON_MS) // MINUTE_MS) for planned in planner.plan.planned
    ]
    assert starts == [("w", 20), ("x", 50)]


def test_item_is_urgent_if_overtaken_too_often_or_its_window_closes() -> None:
    closing = work_item("soon", "s1", not_after_ms=NOON_MS + 80 * MINUTE_MS, after=("s2",))
    overtaken = WaitingItem(work_item("often", "s3"), 2, passed_since_ms=NOON_MS - 5)
    urgent = urgent_items(
        [
            WaitingItem(closing, 1),
            overtaken,
            *waiting_items(work_item("free", "s4"))[:1],
            WaitingItem(work_item("x", "s2"), 9),
        ],
        NOON_MS,
        PERMISSIVE,
    )
    assert [each.waiting.work.id for each in urgent] == ["soon", "x", "often"]
    assert urgent[0].since_ms == urgent[1].since_ms == NOON_MS - 10 * MINUTE_MS


def test_urgency_is_inherited_along_chains_and_by_earlier_items_of_a_machine() -> None:
    closing = work_item("soon", "s1", not_after_ms=NOON_MS + 80 * MINUTE_MS, after=("s2",))
    chain = [
        WaitingItem(work_item("near", "s2", after=("s3",)), 1),
        WaitingItem(work_item("far", "s3"), 2),
        WaitingItem(work_item("own", "s1"), 3),
        WaitingItem(closing, 4),
        WaitingItem(work_item("later", "s1"), 5),
        WaitingItem(work_item("free", "s4"), 6),
    ]
    for order in (chain, chain[::-1]):
        urgent = urgent_items(order, NOON_MS, PERMISSIVE)
        assert [each.waiting.work.id for each in urgent] == ["near", "far", "own", "soon"]
        assert len({(each.since_ms, each.rank) for each in urgent}) == 1
    assert urgent_items(chain, NOON_MS - 11 * MINUTE_MS, PERMISSIVE) == ()
    many = [WaitingItem(work_item(f"w{number}", "s1", not_after_ms=NOON_MS), number) for number in range(20)]
    assert len(urgent_items(many, NOON_MS, PERMISSIVE)) == MAX_URGENT_ITEMS


def test_later_item_waits_only_if_it_would_delay_an_urgent_one() -> None:
    settings = replace(PERMISSIVE, least_ready_cell=3)
    current = scene(FleetFacts(servers=servers(4)), settings, {"s1": Absence.AWAY})
    urgent = urgent_items([WaitingItem(work_item("old"), 1, passed_since_ms=NOON_MS)], NOON_MS, settings)
    blocker = find_delayed_item(current, work_item("new", "s2"), urgent)
    assert blocker is not None and (blocker.rule, blocker.machines) == ("ageing", ("s0",))
    assert find_delayed_item(current, work_item("old"), urgent) is None
    # An urgent item that is blocked anyway is not delayed.
    ordered = scene(FleetFacts(servers=servers(4), ordered=("s0",)), settings)
    assert find_delayed_item(ordered, work_item("new", "s2"), urgent) is None


def test_ageing_prevents_starvation_of_an_item_with_many_exclusions() -> None:
    # The first item excludes all the others, of which one is always in maintenance.
    others = tuple(f"s{number}" for number in range(1, 7))
    excluding = WaitingItem(
        work_item("wide", "s0", not_with=others, not_after_ms=NOON_MS + 120 * MINUTE_MS), 1
    )
    others_waiting = [
        WaitingItem(
            work_item(f"n{number}", name, minutes=25 + 15 * (number % 2), not_after_ms=DISTANT_MS), number + 2
        )
        for number, name in enumerate(others)
    ]
    current = scene(FleetFacts(servers=servers(8)), replace(PERMISSIVE, most_out=2))
    for closing_ms, is_planned in ((PERMISSIVE.closing_ms, True), (-DAY_MS, False)):
        settings = replace(PERMISSIVE, most_out=2, closing_ms=closing_ms)
        schedule = ListSchedule(
            replace(current, settings=settings), [*others_waiting, excluding], {}, PLAN_RULES
        )
        schedule.run(10_000)
        assert ("wide" in {each.work.id for each in schedule.planned}) is is_planned


@pytest.mark.parametrize("avoided, expected", [("", ("s0", "s1")), ("s1", ("s0", "s2"))])
def test_fallback_servers_are_a_share_of_each_cell_and_change_little(
    avoided: str, expected: tuple[str, ...]
) -> None:
    fleet = Fleet(FleetFacts(servers=servers(7)))
    assert select_fallback_servers(fleet, 250, ("s0", "s1"), (), (), avoided) == expected
    assert select_fallback_servers(fleet, 250, ("s5",), ("s0",), ("s1",)) == ("s2", "s5")
    ordered = Fleet(FleetFacts(servers=servers(7), ordered=("s0",)))
    assert select_fallback_servers(ordered, 250, (), (), ()) == ("s1", "s2"), (
        "its order may stop it at any time"
    )
    assert select_fallback_servers(Fleet(FleetFacts(servers=servers(1))), 250, (), (), ()) == (), (
        "the only one could never be maintained"
    )
