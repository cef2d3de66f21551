"""Each rule: where it says yes, and what it names where it does not."""

from dataclasses import replace

import pytest

from molereach.upkeep.requests.work_item import MINUTE_MS
from molereach.upkeep.rules.concurrency_limits import limits
from molereach.upkeep.rules.evaluation import judge
from molereach.upkeep.rules.fleet_facts import Facts, Server, unsound
from molereach.upkeep.rules.scene import Off, Stop
from molereach.upkeep.rules.seasons import DAY_MS, month_day, within
from molereach.upkeep.rules.settings import Season, UpkeepSettings
from tests.upkeep.builders import LOOSE, NOON_MS, door, doors, scene, server, servers, work

TEN = Facts(servers=servers(10), doors=doors(9), panel=("d0", "d1", "d2", "d3", "d4"))


def named(stop: Stop | None) -> tuple[str, tuple[str, ...]] | None:
    return (stop.rule, stop.machines) if stop else None


def test_a_window_is_kept_at_both_ends() -> None:
    asked = work("w", not_before_ms=NOON_MS, not_after_ms=NOON_MS + 30 * MINUTE_MS)
    assert judge(scene(TEN), asked) is None
    assert named(judge(scene(TEN, at_ms=NOON_MS - 1), asked)) == ("window", ())
    assert named(judge(scene(TEN, at_ms=NOON_MS + 1), asked)) == ("window", ())


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
def test_the_day_of_a_time(days: int, expected: tuple[int, int]) -> None:
    assert month_day(days * DAY_MS) == expected == month_day(days * DAY_MS + DAY_MS - 1)


def test_a_season_holds_from_its_first_day_to_its_last_also_over_the_years_end() -> None:
    summer, winter = Season((6, 1), (8, 31)), Season((12, 9), (1, 6))
    assert [within(day, summer) for day in ((5, 31), (6, 1), (8, 31), (9, 1))] == [False, True, True, False]
    assert [within(day, winter) for day in ((12, 8), (12, 9), (1, 1), (1, 6), (1, 7))] == [
        False,
        True,
        True,
        True,
        False,
    ]
    kept = UpkeepSettings(seasons=(winter,))
    midnight = NOON_MS + 12 * 60 * MINUTE_MS
    assert judge(scene(TEN, kept, at_ms=midnight - 31 * MINUTE_MS), work("w")) is None
    # A work that would last into it does not begin.
    assert named(judge(scene(TEN, kept, at_ms=midnight - 30 * MINUTE_MS), work("w"))) == ("seasons", ())
    with pytest.raises(ValueError, match=r"seasons.last: no such day: 02-30"):
        Season((2, 1), (2, 30))


def test_an_order_goes_before() -> None:
    facts = Facts(servers=servers(4), ordered=("s0",))
    assert named(judge(scene(facts), work("w"))) == ("orders", ("s0",))
    assert named(judge(scene(facts), work("w", "s9"))) == ("orders", ("s9",))


def test_what_must_come_first_is_waited_for_and_what_is_lost_is_not() -> None:
    asked = work("w", after=("s1", "s2"))
    assert named(judge(scene(TEN, waiting={"s2"}, off={"s1": Off.WARMING}), asked)) == ("first", ("s1", "s2"))
    assert judge(scene(TEN, off={"s1": Off.LOST}), asked) is None


def test_machines_are_kept_apart_whichever_said_so() -> None:
    one, other = work("w", not_with=("s1",)), work("x", "s2")
    assert named(judge(scene(TEN, off={"s1": Off.AWAY}), one)) == ("apart", ("s1",))
    beside = scene(TEN, off={"s0": Off.AWAY})
    taken = {"s0": type(beside.taken["s0"])(work("y", "s0", not_with=("s2",)), Off.AWAY)}
    assert named(judge(scene(TEN, taken=taken), other)) == ("apart", ("s0",))
    assert named(judge(beside, work("w"))) == ("apart", ("s0",))
    renamed = {"s0b": type(beside.taken["s0"])(work("z", "s0"), Off.AWAY)}
    assert named(judge(scene(TEN, taken=renamed), work("w"))) == ("apart", ("s0",)), "under another name"
    assert judge(scene(TEN, off={"s1": Off.LOST}), one) is None


def test_so_many_at_once_in_all_by_cell_and_by_zone() -> None:
    mixed = Facts(
        servers=(
            server("s0", load=0),
            server("s1", load=0),
            server("s2", zone="z2", load=0),
            server("s3", "c2", "z2", load=0),
            server("s4", "c2", "z3", load=0),
        )
    )

    def stops(off: dict[str, Off], **more: int) -> tuple[str, tuple[str, ...]] | None:
        return named(judge(scene(mixed, replace(LOOSE, **more), off), work("w")))

    both = {"s1": Off.AWAY, "s3": Off.WARMING}
    assert stops(both, most_out=2) == ("limits", ("s1", "s3")) and stops(both, most_out=3) is None
    assert stops({"s2": Off.AWAY, "s3": Off.AWAY}, most_out_cell=1) == ("limits", ("s2",))
    assert stops({"s1": Off.AWAY, "s3": Off.AWAY}, most_out_zone=1) == ("limits", ("s1",))
    assert named(limits(scene(mixed), work("w", "s9"))) == ("limits", ("s9",))
    assert stops({"s1": Off.LOST, "s3": Off.LOST}, most_out=1) is None, "what is lost has no place"


def test_the_floor_counts_those_that_drain_as_gone_and_those_that_warm_as_there() -> None:
    facts = Facts(servers=(*servers(4), server("s8", ready=False)))
    kept = replace(LOOSE, least_ready_cell=2)
    assert judge(scene(facts, kept, {"s1": Off.AWAY}), work("w")) is None
    assert named(judge(scene(facts, kept, {"s1": Off.AWAY, "s8": Off.AWAY, "s2": Off.LOST}), work("w"))) == (
        "floor",
        ("s1", "s2"),
    )
    assert judge(scene(facts, kept, {"s1": Off.WARMING}), work("w")) is None
    least = scene(facts, replace(kept, least_ready_cell=4), {"s1": Off.AWAY})
    assert judge(least, work("w", "s8")) is None, "it is not ready anyway"
    zoned = Facts(servers=(server("s0", "c1"), server("s1", "c2", "z2"), server("s2", "c2", "z2")))
    assert named(judge(scene(zoned, replace(LOOSE, least_ready_zone=1)), work("w"))) == ("floor", ())


def test_room_is_by_measured_load_and_by_the_warmth_of_those_just_back() -> None:
    kept = replace(LOOSE, target=700)
    busy = Facts(servers=servers(4, load=525))
    assert judge(scene(busy, kept), work("w")) is None, "2100 on 3000 is 0.7"
    over = Facts(servers=(*servers(3, load=525), server("s3", load=526)))
    assert named(judge(scene(over, kept), work("w"))) == ("room", ())
    dead = Facts(servers=(server("s0", ready=False), *over.servers[1:]))
    assert judge(scene(dead, replace(kept, target=300)), work("w")) is None, "it bears nothing anyway"
    back = Facts(servers=(*servers(4, load=420), server("s4", warmth=200, load=420)))
    assert judge(scene(back, kept, {"s4": Off.WARMING}), work("w")) is None
    two = {"s1": Off.AWAY, "s4": Off.WARMING}
    assert named(judge(scene(back, kept, two), work("w"))) == ("room", ("s1",))
    warm = Facts(servers=(*servers(4, load=420), server("s4", warmth=1000, load=420)))
    assert judge(scene(warm, kept, two), work("w")) is None


def test_every_set_keeps_its_front_doors_also_around_the_end() -> None:
    kept = replace(LOOSE, spread=3, least_in_set=2)
    facts = Facts(doors=doors(9))
    assert named(judge(scene(facts, kept, {"d8": Off.AWAY}), work("w", "d1"))) == ("sets", ("d8",))
    assert judge(scene(facts, kept, {"d7": Off.AWAY}), work("w", "d1")) is None
    down = Facts(doors=doors(9, down=(2,)))
    assert named(judge(scene(down, kept), work("w", "d1"))) == ("sets", ("d2",))
    itself = Facts(doors=doors(9, down=(1,)))
    assert judge(scene(itself, kept), work("w", "d1")) is None, "it is not lost twice"
    assert named(judge(scene(Facts(doors=doors(2)), kept), work("w", "d1"))) == ("sets", ())


def test_the_panel_keeps_a_majority_beside_one_more_loss_and_seats_are_moved_first() -> None:
    assert judge(scene(TEN), work("w", "d0")) is None
    assert judge(scene(TEN, off={"d7": Off.AWAY}), work("w", "d0")) is None
    assert named(judge(scene(TEN, off={"d3": Off.AWAY}), work("w", "d0"))) == ("panel", ("d3",)), "one drains"
    dead = Facts(doors=doors(9, down=(4,)), panel=TEN.panel)
    assert named(judge(scene(dead), work("w", "d0"))) == ("panel", ("d4",))
    itself = Facts(doors=doors(9, down=(0,)), panel=TEN.panel)
    assert judge(scene(itself), work("w", "d0")) is None, "it is not lost twice"
    spare = Facts(doors=TEN.doors, panel=TEN.panel, spares=1)
    assert named(judge(scene(spare), work("w", "d0"))) == ("seat", ("d0",))
    assert judge(scene(spare), work("w", "d7")) is None
    three = Facts(doors=doors(9), panel=("d0", "d1", "d2"))
    assert named(judge(scene(three), work("w", "d0"))) == ("panel", ()), "three seats never bear it"


def test_one_that_stands_is_not_taken() -> None:
    assert named(judge(scene(TEN, standing={"s0"}), work("w"))) == ("standing", ("s0",))


def test_facts_that_cannot_be() -> None:
    assert unsound(TEN) == ""
    assert unsound(Facts(servers=(server("d1"),), doors=(door(1),))) == "a machine is there twice"
    assert (
        unsound(Facts(doors=(door(1), type(door(1))("e", "", "c", "z", True, 1))))
        == "two front doors have one number"
    )
    assert isinstance(TEN.servers[0], Server)


@pytest.mark.parametrize(
    "key, value",
    [("most_out", 0), ("target", 0), ("target", 1001), ("least_in_set", 4), ("spread", 0), ("warm", 901)],
)
def test_settings_that_cannot_be(key: str, value: int) -> None:
    with pytest.raises(ValueError, match=key):
        UpkeepSettings(**{key: value})
