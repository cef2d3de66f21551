"""Quotas during partitions: acting owners, joining local quotas, and simulated gateways."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from molereach.limits.partition_quota import JOIN_DELAY_US, PartitionQuota
from molereach.limits.settings import SECOND_US, LimitSettings
from molereach.policy.interface.messages import CustomerKey, SpendingTotal
from molereach.policy.interface.settings import Plan
from sim.histories import PLAN, QuotaHistory

MILLISECOND_US = 1_000
QUOTA = Plan(quota_rate=12.0, quota_burst=24.0)
KEY: CustomerKey = (3, 0, 0, 3)  # its owner is proxy 0
INCARNATION = 7


def connected_quota(proxy_index: int) -> PartitionQuota:
    """The quotas of one of three proxies, started long ago, that has just received from the others."""
    quota = PartitionQuota(proxy_index, 3, (QUOTA,), LimitSettings(), 60.0)
    quota.start_us = -100 * SECOND_US
    for peer in {0, 1, 2} - {proxy_index}:
        quota.record_message(0, peer, INCARNATION)
    quota.contacts.reconnected_us = dict.fromkeys(quota.contacts.reconnected_us, -100 * SECOND_US)
    return quota


def first_silent_us(quota: PartitionQuota) -> int:
    """The first time at which a peer counts as silent whose last message arrived at time 0."""
    return quota.contacts.failure_timeout_us + 1


def test_quota_fractions_in_a_partition_sum_to_one_and_join_after_it() -> None:
    owner = connected_quota(0)
    second = connected_quota(1)
    third = connected_quota(2)
    assert owner.reachable_quota(0, KEY) == second.reachable_quota(0, KEY) == (0, 1.0, 0.0)
    late_us = first_silent_us(owner)
    for quota in (owner, second, third):  # all are isolated: each is the acting owner
        reachable = quota.reachable_quota(late_us, KEY)
        assert reachable == (quota.proxy_index, pytest.approx(1 / 3), 0.0)
    third.record_message(late_us, 1, INCARNATION)  # two reconnect: one becomes the acting owner
    second.record_message(late_us, 2, INCARNATION)
    assert third.reachable_quota(late_us, KEY) == (1, 1.0, 0.0)
    # The acting owner waits for the total of the other member.
    assert second.reachable_quota(late_us, KEY)[:2] == (1, pytest.approx(1 / 3))
    joined = second.reachable_quota(late_us + JOIN_DELAY_US + 1, KEY)
    assert joined == (1, pytest.approx(2 / 3), 8.0)  # the other member sent no total


def test_one_way_link_counts_as_a_partition() -> None:
    owner = connected_quota(0)
    late_us = first_silent_us(owner)
    owner.record_message(late_us, 1, INCARNATION)
    owner.record_message(late_us, 2, INCARNATION, is_mutual=False)
    assert owner.reachable_quota(late_us, KEY).fraction == pytest.approx(2 / 3)
    assert owner.contacts.receives_from(late_us, 2)
    excess_units = []
    for link in ((0, 1), (1, 0), (0, 2)):
        history = QuotaHistory(1, 3, True)
        history.load(3 * SECOND_US, 24 * SECOND_US, 90.0, [1.0, 1.0, 1.0])
        history.run_until(4 * SECOND_US)
        history.network.blocked_links = frozenset([link])
        history.run_until(24 * SECOND_US)
        excess_units.append(-history.quota.lowest_level)
    assert max(excess_units) <= 2 * (24 + 12 * 1.5)


def test_local_quota_of_a_departed_proxy_goes_to_the_others() -> None:
    owner = connected_quota(0)
    owner.contacts.record_leave(1, INCARNATION)
    late_us = first_silent_us(owner)
    owner.record_message(late_us, 2, INCARNATION)
    assert owner.reachable_quota(late_us, KEY) == (0, 1.0, 0.0)
    owner.record_message(late_us, 1, INCARNATION)  # a late message of that incarnation
    assert owner.reachable_quota(late_us, KEY).fraction == 1.0
    second = connected_quota(1)
    second.contacts.record_leave(0, INCARNATION)
    second.record_message(MILLISECOND_US, 0, INCARNATION)  # a departed owner is not the acting one
    assert second.reachable_quota(MILLISECOND_US, KEY).owner == 1
    owner.record_message(late_us, 1, INCARNATION + 1)
    later_us = late_us + first_silent_us(owner)
    # The next incarnation has become silent.
    assert owner.reachable_quota(later_us, KEY).fraction == pytest.approx(1 / 3)


@pytest.mark.parametrize(
    ("spent", "remaining", "joined"),
    [
        (0.0, 8.0, 8.0),  # no spending
        (30.0, 2.0, 2.0),  # within the local quota and its refill: 8 + 4 * 10
        (48.0, 0.0, 0.0),
        (60.0, 0.0, -12.0),  # spending beyond the local quota is deducted once
    ],
)
def test_local_quota_joins_with_its_remainder_less_excess_spending(
    spent: float, remaining: float, joined: float
) -> None:
    owner = connected_quota(0)
    assert owner.apply_spending_total(0, 1, SpendingTotal(KEY, 100.0, 8.0)) == 0.0
    owner.reachable_quota(first_silent_us(owner), KEY)
    now_us = 10 * SECOND_US
    owner.record_message(now_us, 1, INCARNATION)
    total = SpendingTotal(KEY, 100.0 + spent, remaining)
    assert owner.apply_spending_total(now_us, 1, total) == pytest.approx(-joined)
    assert owner.apply_spending_total(now_us, 1, total) == 0.0  # a duplicate
    next_total = SpendingTotal(KEY, 101.0 + spent, remaining)
    assert owner.apply_spending_total(now_us, 1, next_total) == pytest.approx(1.0)
    older_total = SpendingTotal(KEY, 90.0, 8.0)  # arrives late
    assert owner.apply_spending_total(now_us, 1, older_total) == 0.0


def test_totals_compensate_for_lost_messages_and_restart_with_each_incarnation() -> None:
    owner = connected_quota(0)
    owner.apply_spending_total(0, 1, SpendingTotal(KEY, 5.0, 3.0))
    # The messages in between were lost.
    assert owner.apply_spending_total(MILLISECOND_US, 1, SpendingTotal(KEY, 9.0, 1.0)) == 4.0
    owner.record_message(2 * MILLISECOND_US, 1, INCARNATION + 1)
    # A new incarnation counts from zero.
    assert owner.apply_spending_total(2 * MILLISECOND_US, 1, SpendingTotal(KEY, 2.0, 6.0)) == 2.0
    other_key: CustomerKey = (6, 0, 0, 3)
    # For a customer without owner state, only what the local quota lacks is deducted.
    assert owner.apply_spending_total(3 * MILLISECOND_US, 1, SpendingTotal(other_key, 500.0, 5.0)) == 3.0


def test_starting_owner_waits_for_the_totals_of_the_other_members() -> None:
    owner = PartitionQuota(0, 3, (QUOTA,), LimitSettings(), 60.0)
    owner.start_us = SECOND_US
    for peer in (1, 2):
        owner.record_message(SECOND_US + MILLISECOND_US, peer, INCARNATION)
    assert owner.reachable_quota(SECOND_US + 2 * MILLISECOND_US, KEY).fraction == pytest.approx(1 / 3)
    owner.contacts.record_no_spending(2)
    assert owner.reachable_quota(SECOND_US + 2 * MILLISECOND_US, KEY)[1:] == (pytest.approx(2 / 3), 8.0)
    total = SpendingTotal(KEY, 300.0, 2.0)
    assert owner.apply_spending_total(SECOND_US + 3 * MILLISECOND_US, 1, total) == -2.0
    assert owner.reachable_quota(SECOND_US + 4 * MILLISECOND_US, KEY).fraction == 1.0


def test_totals_are_sent_twice_and_resent_to_a_reconnecting_peer() -> None:
    member = connected_quota(1)
    member.record_spending(0, KEY, 1.0, 7.0)
    sent = [
        (now_us, due.message)
        for now_us in range(0, 2 * SECOND_US, 100 * MILLISECOND_US)
        for due in member.due_totals(now_us, 8)
    ]
    assert [now_us for now_us, _ in sent] == [0, 300 * MILLISECOND_US]
    last_total = sent[-1][1]
    assert last_total.spent_units == 1.0 and last_total.remaining_units == 8.0  # refilled in the meantime
    member.record_message(5 * SECOND_US, 0, INCARNATION + 2)
    assert [due.message.spent_units for due in member.due_totals(5 * SECOND_US, 8)] == [1.0]
    member.evict_idle(member.retention_us + 1)
    assert not member.totals.entries
    owner = connected_quota(0)
    owner.record_spending(0, KEY, 1.0, 7.0)
    assert not owner.due_totals(0, 8)  # the owner sends no totals to itself


# Simulated gateways


def history_with_shifted_traffic(seed: int, with_limits: bool, loss: float = 0.0) -> QuotaHistory:
    """A customer's traffic shifts abruptly from one proxy to another."""
    history = QuotaHistory(seed, 3, with_limits)
    history.network.loss = loss
    history.load(3 * SECOND_US, 6 * SECOND_US, 60.0, [1.0, 0.0, 0.0])
    history.load(6 * SECOND_US, 11 * SECOND_US, 60.0, [0.0, 1.0, 0.0])
    history.run_until(11 * SECOND_US)
    return history


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_quota_follows_shifted_traffic(loss: float) -> None:
    granted_fractions = [
        history_with_shifted_traffic(seed, True, loss).count_sent(6 * SECOND_US, 11 * SECOND_US) / (12 * 5)
        for seed in range(4)
    ]
    assert sum(granted_fractions) / len(granted_fractions) >= (0.95 if not loss else 0.85)


def test_excess_in_a_partition_is_bounded_for_any_duration() -> None:
    """Checks the bound 2 (b + q (T + D)) of docs/design/limits.md, which does not depend on the duration."""
    excess_units: dict[bool, list[float]] = {True: [], False: []}
    for with_limits in excess_units:
        for seed in range(2):
            history = QuotaHistory(seed, 3, with_limits)
            history.load(3 * SECOND_US, 24 * SECOND_US, 90.0, [1.0, 1.0, 1.0])
            history.run_until(4 * SECOND_US)
            history.network.groups = tuple(frozenset([number]) for number in range(3))
            history.run_until(24 * SECOND_US)
            excess_units[with_limits].append(-history.quota.lowest_level)
    assert max(excess_units[True]) <= 2 * (24 + 12 * 1.5) < min(excess_units[False])


@pytest.mark.parametrize("is_partitioned", [False, True])
def test_gateways_keep_within_the_ceiling_and_use_most_of_it(is_partitioned: bool) -> None:
    """Traffic shifts between proxies while 0.3 of all messages are lost."""
    plan = replace(PLAN, quota_rate=0.0, quota_burst=0.0)
    for seed in range(2):
        history = QuotaHistory(seed, 3, True, plan)
        history.network.loss = 0.3
        history.load(3 * SECOND_US, 6 * SECOND_US, 80.0, [1.0, 0.0, 0.0])
        history.load(6 * SECOND_US, 12 * SECOND_US, 80.0, [0.1, 1.0, 0.1])
        history.run_until(6 * SECOND_US)
        history.network.groups = tuple(frozenset([number]) for number in range(3)) if is_partitioned else ()
        history.run_until(12 * SECOND_US)
        assert history.ceiling.lowest_level >= 0.0
        assert len(history.forwarded) >= (36 + 24 * 9) * (0.5 if is_partitioned else 0.8)


@pytest.mark.parametrize(
    "fault",
    [
        lambda history: history.kill(history.nodes[0], SECOND_US),
        lambda history: history.stop(history.nodes[1]),
    ],
)
def test_every_request_is_answered_when_a_proxy_fails(fault: Callable[[QuotaHistory], None]) -> None:
    history = QuotaHistory(4, 3, True, PLAN)
    history.load(2 * SECOND_US, 8 * SECOND_US, 30.0, [1.0, 1.0, 1.0])
    history.call_at(4 * SECOND_US, lambda: fault(history))
    history.call_at(5 * SECOND_US, lambda: history.resume(history.nodes[1]))
    history.run_until(12 * SECOND_US)
    answered = len(history.forwarded) + history.rejected
    assert history.requested - 15 <= answered <= history.requested  # except those in flight at the kill
    assert history.ceiling.lowest_level >= 0.0
