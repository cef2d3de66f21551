"""Quotas while front doors are cut off: who is heard, totals, parts that come together; whole gateways."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from molereach.limits.partition_quota import JOIN_DELAY_US, PartitionQuota
from molereach.limits.settings import LimitSettings
from molereach.policy.interface.messages import CustomerKey, SpendingTotal
from molereach.policy.interface.settings import Plan
from sim.histories import PLAN, QuotaHistory

S, MS = 1_000_000, 1_000
QUOTA = Plan(quota_rate=12.0, quota_burst=24.0)
KEY: CustomerKey = (3, 0, 0, 3)  # its home is front door 0


def settled(me: int, **heard: int) -> PartitionQuota:
    """A front door of three, up for long, that has just heard the others."""
    reach = PartitionQuota(me, 3, (QUOTA,), LimitSettings(), 60.0)
    reach.start_us = -100 * S
    for peer in {0, 1, 2} - {me}:
        reach.record_contact(0, peer, 7)
    reach.reconnected_us = dict.fromkeys(reach.reconnected_us, -100 * S)
    return reach


def test_parts_of_a_split_sum_to_the_whole_and_come_together() -> None:
    home, other, third = settled(0), settled(1), settled(2)
    assert home.reachable_quota(0, KEY) == other.reachable_quota(0, KEY) == (0, 1.0, 0.0)
    late = home.failure_timeout_us + 1
    for door in (home, other, third):  # all are apart: each is its own home
        assert door.reachable_quota(late, KEY) == (door.proxy_index, pytest.approx(1 / 3), 0.0)
    third.record_contact(late, 1, 7)  # two hear each other: one of them stands in for the home
    other.record_contact(late, 2, 7)
    assert third.reachable_quota(late, KEY) == (1, 1.0, 0.0)
    assert other.reachable_quota(late, KEY)[:2] == (
        1,
        pytest.approx(1 / 3),
    )  # first it is to hear what was spent
    assert other.reachable_quota(late + JOIN_DELAY_US + 1, KEY) == (
        1,
        pytest.approx(2 / 3),
        8.0,
    )  # there was nothing to tell


def test_a_link_that_works_one_way_is_a_split() -> None:
    home, late = settled(0), settled(0).failure_timeout_us + 1
    home.record_contact(late, 1, 7)
    home.record_contact(late, 2, 7, mutual=False)
    assert home.reachable_quota(late, KEY)[1] == pytest.approx(2 / 3) and home.receives_from(late, 2)
    over = []
    for link in ((0, 1), (1, 0), (0, 2)):
        history = QuotaHistory(1, 3, True)
        history.load(3 * S, 24 * S, 90.0, [1.0, 1.0, 1.0])
        history.run(4 * S)
        history.mail.cut = frozenset([link])
        history.run(24 * S)
        over.append(-history.quota.lowest)
    assert max(over) <= 2 * (24 + 12 * 1.5)


def test_who_ends_in_order_leaves_its_part_to_the_others() -> None:
    home = settled(0)
    home.record_leave(0, 1, 7)
    late = home.failure_timeout_us + 1
    home.record_contact(late, 2, 7)
    assert home.reachable_quota(late, KEY) == (0, 1.0, 0.0)
    home.record_contact(late, 1, 7)  # a word of that life, overtaken by its last one
    assert home.reachable_quota(late, KEY)[1] == 1.0
    other = settled(1)
    other.record_leave(0, 0, 7)
    other.record_contact(MS, 0, 7)  # the same of a home: it is not gone by again
    assert other.reachable_quota(MS, KEY)[0] == 1
    home.record_contact(late, 1, 8)
    later = late + home.failure_timeout_us + 1
    assert home.reachable_quota(later, KEY)[1] == pytest.approx(1 / 3)  # the next life is silent


@pytest.mark.parametrize(
    ("spent", "left", "joins"),
    [
        (0.0, 8.0, 8.0),  # nothing was spent
        (30.0, 2.0, 2.0),  # a part of its own, and what it filled up by: 8 + 4 * 10
        (48.0, 0.0, 0.0),
        (60.0, 0.0, -12.0),  # so much beyond its part is charged, once
    ],
)
def test_a_part_joins_with_what_is_left_less_what_was_spent_beyond_it(
    spent: float, left: float, joins: float
) -> None:
    home = settled(0)
    assert home.apply_spending_total(0, 1, SpendingTotal(KEY, 100.0, 8.0)) == 0.0
    apart = home.failure_timeout_us + 1
    home.reachable_quota(apart, KEY)
    back = 10 * S
    home.record_contact(back, 1, 7)
    assert home.apply_spending_total(back, 1, SpendingTotal(KEY, 100.0 + spent, left)) == pytest.approx(
        -joins
    )
    assert (
        home.apply_spending_total(back, 1, SpendingTotal(KEY, 100.0 + spent, left)) == 0.0
    )  # the same word again
    assert home.apply_spending_total(back, 1, SpendingTotal(KEY, 101.0 + spent, left)) == pytest.approx(1.0)
    assert home.apply_spending_total(back, 1, SpendingTotal(KEY, 90.0, 8.0)) == 0.0  # an older one, overtaken


def test_totals_make_good_what_was_lost_and_end_with_a_life() -> None:
    home = settled(0)
    home.apply_spending_total(0, 1, SpendingTotal(KEY, 5.0, 3.0))
    assert (
        home.apply_spending_total(MS, 1, SpendingTotal(KEY, 9.0, 1.0)) == 4.0
    )  # two words between them were lost
    home.record_contact(2 * MS, 1, 8)
    assert (
        home.apply_spending_total(2 * MS, 1, SpendingTotal(KEY, 2.0, 6.0)) == 2.0
    )  # a new life counts from nothing
    fresh: CustomerKey = (6, 0, 0, 3)
    assert (
        home.apply_spending_total(3 * MS, 1, SpendingTotal(fresh, 500.0, 5.0)) == 3.0
    )  # forgotten here: what its part lacks


def test_a_home_that_starts_knows_neither_that_all_is_unused_nor_that_all_is_spent() -> None:
    home = PartitionQuota(0, 3, (QUOTA,), LimitSettings(), 60.0)
    home.start_us = S
    for peer in (1, 2):
        home.record_contact(S + MS, peer, 7)
    assert home.reachable_quota(S + 2 * MS, KEY)[1] == pytest.approx(1 / 3)
    home.record_no_spending(2)
    assert home.reachable_quota(S + 2 * MS, KEY)[1:] == (pytest.approx(2 / 3), 8.0)
    assert home.apply_spending_total(S + 3 * MS, 1, SpendingTotal(KEY, 300.0, 2.0)) == -2.0
    assert home.reachable_quota(S + 4 * MS, KEY)[1] == 1.0


def test_what_was_spent_is_told_again_and_all_of_it_to_who_comes_back() -> None:
    other = settled(1)
    other.record_spending(0, KEY, 1.0, 7.0)
    told = [(at, total) for at in range(0, 2 * S, 100 * MS) for _, total in other.due_totals(at, 8)]
    assert [at for at, _ in told] == [0, 300 * MS]
    assert told[-1][1].spent_units == 1.0 and told[-1][1].remaining_units == 8.0  # filled up since
    other.record_contact(5 * S, 0, 9)
    assert [total.spent_units for _, total in other.due_totals(5 * S, 8)] == [1.0]
    other.evict_idle(other.retention_us + 1)
    assert not other.local_spending
    home = settled(0)
    home.record_spending(0, KEY, 1.0, 7.0)
    assert not home.due_totals(0, 8)  # it is its own home


# --- whole gateways ---


def moved(seed: int, with_limits: bool, loss: float = 0.0) -> QuotaHistory:
    """A building's traffic stands at one front door, and moves to another at once."""
    history = QuotaHistory(seed, 3, with_limits)
    history.mail.loss = loss
    history.load(3 * S, 6 * S, 60.0, [1.0, 0.0, 0.0])
    history.load(6 * S, 11 * S, 60.0, [0.0, 1.0, 0.0])
    history.run(11 * S)
    return history


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_building_that_moves_finds_its_quota(loss: float) -> None:
    granted = [moved(seed, True, loss).sent_between(6 * S, 11 * S) / (12 * 5) for seed in range(4)]
    assert sum(granted) / len(granted) >= (0.95 if not loss else 0.85)


def test_a_split_costs_no_more_however_long_it_lasts() -> None:
    """The bound of docs/design/limits.md: 2 (b + q (T + D)), for any length."""
    over: dict[bool, list[float]] = {True: [], False: []}
    for with_limits in over:
        for seed in range(2):
            history = QuotaHistory(seed, 3, with_limits)
            history.load(3 * S, 24 * S, 90.0, [1.0, 1.0, 1.0])
            history.run(4 * S)
            history.mail.groups = tuple(frozenset([number]) for number in range(3))
            history.run(24 * S)
            over[with_limits].append(-history.quota.lowest)
    assert max(over[True]) <= 2 * (24 + 12 * 1.5) < min(over[False])


@pytest.mark.parametrize("split", [False, True])
def test_a_ceiling_holds_for_whole_gateways_and_is_granted(split: bool) -> None:
    """Traffic that stands at one front door and then at another, with a third of all words lost."""
    plan = replace(PLAN, quota_rate=0.0, quota_burst=0.0)
    for seed in range(2):
        history = QuotaHistory(seed, 3, True, plan)
        history.mail.loss = 0.3
        history.load(3 * S, 6 * S, 80.0, [1.0, 0.0, 0.0])
        history.load(6 * S, 12 * S, 80.0, [0.1, 1.0, 0.1])
        history.run(6 * S)
        history.mail.groups = tuple(frozenset([number]) for number in range(3)) if split else ()
        history.run(12 * S)
        assert history.ceiling.lowest >= 0.0
        assert len(history.first) >= (36 + 24 * 9) * (0.5 if split else 0.8)


@pytest.mark.parametrize(
    "fault",
    [
        lambda history: history.kill(history.nodes[0], S),
        lambda history: history.stop(history.nodes[1]),
    ],
)
def test_every_try_has_its_answer_when_a_front_door_goes(fault: Callable[[QuotaHistory], None]) -> None:
    history = QuotaHistory(4, 3, True, PLAN)
    history.load(2 * S, 8 * S, 30.0, [1.0, 1.0, 1.0])
    history.at(4 * S, lambda: fault(history))
    history.at(5 * S, lambda: history.resume(history.nodes[1]))
    history.run(12 * S)
    answered = len(history.first) + history.refused
    assert history.asked - 15 <= answered <= history.asked  # but for those in hand at the kill
    assert history.ceiling.lowest >= 0.0
