"""Round-robin probing over a shuffled list of members."""

import random

import pytest

from molereach.coordination.membership.probe_schedule import ProbeSchedule


def schedule_of(names: list[str]) -> ProbeSchedule:
    schedule = ProbeSchedule(random.Random(1).random)
    for name in names:
        schedule.add(name)
    return schedule


def test_each_round_has_an_order_of_its_own() -> None:
    names = [f"d{number}" for number in range(8)]
    schedule = schedule_of(names)
    orders = [tuple(schedule.next() for _ in names) for _ in range(5)]
    assert len(set(orders)) == 5 and all(sorted(order) == names for order in orders)


@pytest.mark.parametrize("probe_count", range(1, 20))
def test_change_during_a_round_neither_skips_nor_repeats_members(probe_count: int) -> None:
    names = [f"d{number}" for number in range(20)]
    schedule = schedule_of(names)
    probed = [schedule.next() for _ in range(probe_count)]
    schedule.add("new")
    schedule.remove("d0")
    schedule.remove("d1")
    while schedule.index < len(schedule.names):
        probed.append(schedule.next())
    assert len(probed) == len(set(probed)) and set(probed) >= set(names[2:])
