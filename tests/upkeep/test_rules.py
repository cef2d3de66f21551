"""Each rule: what it allows, and which machines it names when it blocks."""

from dataclasses import replace

import pytest

from molereach.upkeep.requests.work_item import MINUTE_MS
from molereach.upkeep.rules.concurrency_limits import check_concurrency
from molereach.upkeep.rules.evaluation import find_blocker
from molereach.upkeep.rules.fleet_facts import FleetFacts, ServerFacts, find_inconsistency
from molereach.upkeep.rules.scene import Absence, Blocker
from molereach.upkeep.rules.seasons import DAY_MS, is_in_season, month_day
from molereach.upkeep.rules.settings import Season, UpkeepSettings
from tests.upkeep.builders import NOON_MS, PERMISSIVE, proxies, proxy, scene, server, servers, work_item

FLEET_FACTS = FleetFacts(servers=servers(10), doors=proxies(9), panel=("d0", "d1", "d2", "d3", "d4"))


def rule_and_machines(blocker: Blocker | None) -> tuple[str, tuple[str, ...]] | None:
    return (blocker.rule, blocker.machines) if blocker else None


def test_item_is_blocked_outside_its_window() -> None:
    item = work_item("w", not_before_ms=NOON_MS, not_after_ms=NOON_MS + 30 * MINUTE_MS)
    assert find_blocker(scene(FLEET_FACTS), item) is None
    assert rule_and_machines(find_blocker(scene(FLEET_FACTS, at_ms=NOON_MS - 1), item)) == ("window", ())
    assert rule_and_machines(find_blocker(scene(FLEET_FACTS, at_ms=NOON_MS + 1), item)) == ("window", ())


@pytest.mark.parametrize(
    "days, expected",
    [
        (0, (1, 1)),
        (58, (2, 28)),
        (59, (3, 1)),
        (364, (12, 31)),
        (365, (1, 1)),
        (789, (2, 29)),
        (790, (3, 1)),
        (11_016, (2, 29)),
        (47_540, (2, 28)),
        (47_541, (3, 1)),  # 2000 has a leap day, 2100 has none
    ],
)
def test_month_and_day_of_a_time(days: int, expected: tuple[int, int]) -> None:
    assert month_day(days * DAY_MS) == expected == month_day(days * DAY_MS + DAY_MS - 1)


def test_season_includes_both_ends_and_wraps_around_the_year() -> None:
    summer, winter = Season((6, 1), (8, 31)), Season((12, 9), (1, 6))
    assert [is_in_season(day, summer) for day in ((5, 31), (6, 1), (8, 31), (9, 1))] == [
        False,
        True,
        True,
        False,
    ]
    assert [is_in_season(day, winter) for day in ((12, 8), (12, 9), (1, 1), (1, 6), (1, 7))] == [
        False,
        True,
        True,
        True,
        False,
    ]
    settings = UpkeepSettings(seasons=(winter,))
    midnight = NOON_MS + 12 * 60 * MINUTE_MS
    assert find_blocker(scene(FLEET_FACTS, settings, at_ms=midnight - 31 * MINUTE_MS), work_item("w")) is None
    # An item that would last into the season is blocked.
    assert rule_and_machines(
        find_blocker(scene(FLEET_FACTS, settings, at_ms=midnight - 30 * MINUTE_MS), work_item("w"))
    ) == ("seasons", ())
    with pytest.raises(ValueError, match=r"seasons.last: no such day: 02-30"):
        Season((2, 1), (2, 30))


def test_machine_with_an_order_is_blocked() -> None:
    facts = FleetFacts(servers=servers(4), ordered=("s0",))
    assert rule_and_machines(find_blocker(scene(facts), work_item("w"))) == ("orders", ("s0",))
    assert rule_and_machines(find_blocker(scene(facts), work_item("w", "s9"))) == ("orders", ("s9",))


def test_prerequisites_block_until_they_end_or_are_lost() -> None:
    item = work_item("w", after=("s1", "s2"))
    assert rule_and_machines(
        find_blocker(scene(FLEET_FACTS, waiting={"s2"}, absences={"s1": Absence.WARMING}), item)
    ) == ("first", ("s1", "s2"))
    assert find_blocker(scene(FLEET_FACTS, absences={"s1": Absence.LOST}), item) is None


def test_exclusions_hold_in_both_directions() -> None:
    item, other = work_item("w", not_with=("s1",)), work_item("x", "s2")
    assert rule_and_machines(find_blocker(scene(FLEET_FACTS, absences={"s1": Absence.AWAY}), item)) == (
        "apart",
        ("s1",),
    )
    beside = scene(FLEET_FACTS, absences={"s0": Absence.AWAY})
    excluding = {
        "s0": type(beside.in_maintenance["s0"])(work_item("y", "s0", not_with=("s2",)), Absence.AWAY)
    }
    assert rule_and_machines(find_blocker(scene(FLEET_FACTS, in_maintenance=excluding), other)) == (
        "apart",
        ("s0",),
    )
    assert rule_and_machines(find_blocker(beside, work_item("w"))) == ("apart", ("s0",))
    renamed = {"s0b": type(beside.in_maintenance["s0"])(work_item("z", "s0"), Absence.AWAY)}
    assert rule_and_machines(find_blocker(scene(FLEET_FACTS, in_maintenance=renamed), work_item("w"))) == (
        "apart",
        ("s0",),
    ), "under another name"
    assert find_blocker(scene(FLEET_FACTS, absences={"s1": Absence.LOST}), item) is None


def test_concurrency_is_limited_in_total_by_cell_and_by_zone() -> None:
    mixed = FleetFacts(
        servers=(
            server("s0", load=0),
            server("s1", load=0),
            server("s2", zone="z2", load=0),
            server("s3", "c2", "z2", load=0),
            server("s4", "c2", "z3", load=0),
        )
    )

    def blocked_by(absences: dict[str, Absence], **limits: int) -> tuple[str, tuple[str, ...]] | None:
        return rule_and_machines(
            find_blocker(scene(mixed, replace(PERMISSIVE, **limits), absences), work_item("w"))
        )

    two_machines = {"s1": Absence.AWAY, "s3": Absence.WARMING}
    assert (
        blocked_by(two_machines, most_out=2) == ("limits", ("s1", "s3"))
        and blocked_by(two_machines, most_out=3) is None
    )
    assert blocked_by({"s2": Absence.AWAY, "s3": Absence.AWAY}, most_out_cell=1) == ("limits", ("s2",))
    assert blocked_by({"s1": Absence.AWAY, "s3": Absence.AWAY}, most_out_zone=1) == ("limits", ("s1",))
    assert rule_and_machines(check_concurrency(scene(mixed), work_item("w", "s9"))) == ("limits", ("s9",))
    assert blocked_by({"s1": Absence.LOST, "s3": Absence.LOST}, most_out=1) is None, (
        "a lost machine occupies no slot"
    )


def test_minimum_servers_counts_draining_as_unavailable_and_warming_as_available() -> None:
    facts = FleetFacts(servers=(*servers(4), server("s8", ready=False)))
    settings = replace(PERMISSIVE, least_ready_cell=2)
    assert find_blocker(scene(facts, settings, {"s1": Absence.AWAY}), work_item("w")) is None
    assert rule_and_machines(
        find_blocker(
            scene(facts, settings, {"s1": Absence.AWAY, "s8": Absence.AWAY, "s2": Absence.LOST}),
            work_item("w"),
        )
    ) == (
        "floor",
        ("s1", "s2"),
    )
    assert find_blocker(scene(facts, settings, {"s1": Absence.WARMING}), work_item("w")) is None
    all_required = scene(facts, replace(settings, least_ready_cell=4), {"s1": Absence.AWAY})
    assert find_blocker(all_required, work_item("w", "s8")) is None, "it is not ready anyway"
    zoned = FleetFacts(servers=(server("s0", "c1"), server("s1", "c2", "z2"), server("s2", "c2", "z2")))
    assert rule_and_machines(
        find_blocker(scene(zoned, replace(PERMISSIVE, least_ready_zone=1)), work_item("w"))
    ) == ("floor", ())


def test_capacity_depends_on_measured_load_and_warmth() -> None:
    settings = replace(PERMISSIVE, target=700)
    busy = FleetFacts(servers=servers(4, load=525))
    assert find_blocker(scene(busy, settings), work_item("w")) is None, "2100 on 3000 is 0.7"
    over = FleetFacts(servers=(*servers(3, load=525), server("s3", load=526)))
    assert rule_and_machines(find_blocker(scene(over, settings), work_item("w"))) == ("room", ())
    dead = FleetFacts(servers=(server("s0", ready=False), *over.servers[1:]))
    assert find_blocker(scene(dead, replace(settings, target=300)), work_item("w")) is None, (
        "it serves nothing anyway"
    )
    returned = FleetFacts(servers=(*servers(4, load=420), server("s4", warmth=200, load=420)))
    assert find_blocker(scene(returned, settings, {"s4": Absence.WARMING}), work_item("w")) is None
    absences = {"s1": Absence.AWAY, "s4": Absence.WARMING}
    assert rule_and_machines(find_blocker(scene(returned, settings, absences), work_item("w"))) == (
        "room",
        ("s1",),
    )
    warm = FleetFacts(servers=(*servers(4, load=420), server("s4", warmth=1000, load=420)))
    assert find_blocker(scene(warm, settings, absences), work_item("w")) is None


def test_every_proxy_set_keeps_its_minimum_also_around_the_end() -> None:
    settings = replace(PERMISSIVE, spread=3, least_in_set=2)
    facts = FleetFacts(doors=proxies(9))
    assert rule_and_machines(
        find_blocker(scene(facts, settings, {"d8": Absence.AWAY}), work_item("w", "d1"))
    ) == ("sets", ("d8",))
    assert find_blocker(scene(facts, settings, {"d7": Absence.AWAY}), work_item("w", "d1")) is None
    one_down = FleetFacts(doors=proxies(9, not_ready=(2,)))
    assert rule_and_machines(find_blocker(scene(one_down, settings), work_item("w", "d1"))) == (
        "sets",
        ("d2",),
    )
    itself = FleetFacts(doors=proxies(9, not_ready=(1,)))
    assert find_blocker(scene(itself, settings), work_item("w", "d1")) is None, "it is not counted twice"
    assert rule_and_machines(
        find_blocker(scene(FleetFacts(doors=proxies(2)), settings), work_item("w", "d1"))
    ) == ("sets", ())


def test_voters_keep_a_majority_after_one_more_loss_and_are_replaced_first() -> None:
    assert find_blocker(scene(FLEET_FACTS), work_item("w", "d0")) is None
    assert find_blocker(scene(FLEET_FACTS, absences={"d7": Absence.AWAY}), work_item("w", "d0")) is None
    assert rule_and_machines(
        find_blocker(scene(FLEET_FACTS, absences={"d3": Absence.AWAY}), work_item("w", "d0"))
    ) == ("panel", ("d3",)), "one drains"
    dead = FleetFacts(doors=proxies(9, not_ready=(4,)), panel=FLEET_FACTS.panel)
    assert rule_and_machines(find_blocker(scene(dead), work_item("w", "d0"))) == ("panel", ("d4",))
    itself = FleetFacts(doors=proxies(9, not_ready=(0,)), panel=FLEET_FACTS.panel)
    assert find_blocker(scene(itself), work_item("w", "d0")) is None, "it is not counted twice"
    spare = FleetFacts(doors=FLEET_FACTS.doors, panel=FLEET_FACTS.panel, spares=1)
    assert rule_and_machines(find_blocker(scene(spare), work_item("w", "d0"))) == ("seat", ("d0",))
    assert find_blocker(scene(spare), work_item("w", "d7")) is None
    three = FleetFacts(doors=proxies(9), panel=("d0", "d1", "d2"))
    assert rule_and_machines(find_blocker(scene(three), work_item("w", "d0"))) == ("panel", ()), (
        "three voters can never spare one and lose another"
    )


def test_fallback_server_is_blocked() -> None:
    assert rule_and_machines(find_blocker(scene(FLEET_FACTS, fallback_servers={"s0"}), work_item("w"))) == (
        "standing",
        ("s0",),
    )


def test_inconsistent_facts_are_described() -> None:
    assert find_inconsistency(FLEET_FACTS) == ""
    assert (
        find_inconsistency(FleetFacts(servers=(server("d1"),), doors=(proxy(1),)))
        == "a machine is there twice"
    )
    assert (
        find_inconsistency(FleetFacts(doors=(proxy(1), type(proxy(1))("e", "", "c", "z", True, 1))))
        == "two front doors have one number"
    )
    assert isinstance(FLEET_FACTS.servers[0], ServerFacts)


@pytest.mark.parametrize(
    "key, value",
    [("most_out", 0), ("target", 0), ("target", 1001), ("least_in_set", 4), ("spread", 0), ("warm", 901)],
)
def test_invalid_settings_are_rejected(key: str, value: int) -> None:
    with pytest.raises(ValueError, match=key):
        UpkeepSettings(**{key: value})
