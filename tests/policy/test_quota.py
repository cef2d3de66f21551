"""A customer's buckets by hand: refill, admission probability, debt, ceiling grants."""

import pytest

from molereach.policy.ceiling import GRANT_TTL_US
from molereach.policy.interface.messages import CustomerKey
from molereach.policy.interface.settings import Plan
from molereach.policy.quota import (
    DEMAND_DECAY_US,
    REPLY_FRESH_US,
    CustomerAccount,
    full_refill_us,
)
from tests.helpers import SECOND_US, SETTINGS

NOW = 100 * SECOND_US
PLAN = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=4.0, ceiling_burst=6.0)


def account_of(plan: Plan = PLAN, size: int = 4, since: int = 0, split: bool = False) -> CustomerAccount:
    return CustomerAccount(plan, CustomerKey(5, 0, 0, size), SETTINGS, NOW, since, split)


def test_buckets_are_parts_of_the_set_and_the_ceiling_fills_from_the_start() -> None:
    account = account_of()
    assert (account.local_tokens, account.tokens, account.ceiling.tokens) == (5.0, 20.0, 1.5)
    assert account_of(since=NOW).ceiling.tokens == 0
    half = account_of(since=NOW - SECOND_US, split=True)
    assert half.ceiling.tokens == 4.0 * 0.5 / 4 and half.ceiling.reserve_fraction == 0.5
    assert (
        half.ceiling.reserve_tokens == 4.0 * 0.5
        and half.ceiling.max_reserve_tokens == (6.0 - 4.0 * GRANT_TTL_US / SECOND_US) * 0.5
    )


def test_tokens_and_remote_demand_stay_as_reported_while_the_reply_is_fresh() -> None:
    account = account_of()
    account.tokens, account.remote_demand, account.local_tokens, account.replied_at_us = 2.0, 8.0, 0.0, NOW
    account.refill(NOW + REPLY_FRESH_US)
    assert (account.tokens, account.remote_demand) == (
        2.0,
        8.0,
    ) and account.local_tokens == 2.0  # no more than there is
    account.refill(NOW + 2 * REPLY_FRESH_US)
    assert account.tokens == 12.0 and account.remote_demand < 0.01


def test_local_demand_decays() -> None:
    account = account_of()
    account.local_demand = 1.0
    account.refill(NOW + round(DEMAND_DECAY_US))
    assert account.local_demand == pytest.approx(0.3679, abs=1e-4)


def test_admission_probability_is_quota_over_demand() -> None:
    account = account_of()
    account.tokens, account.local_demand, account.remote_demand = 6.0, 4.0, 8.0
    assert account.admission_probability(1.0) == 0.5
    account.tokens = 0.9
    assert account.admission_probability(1.0) == 0.0  # it does not hold the whole of a request
    assert (
        account_of(Plan(quota_rate=1.0, quota_burst=0.5)).admission_probability(1.0) == 1.0
    )  # never does: it may owe some
    assert account_of(Plan()).admission_probability(1.0) == 1.0
    busy = account_of(Plan(max_in_flight=8))
    busy.in_flight = 2
    assert busy.admission_probability(1.0) == 0.0


def test_debt_of_a_bucket_is_bounded() -> None:
    account = account_of()
    account.spend(100.0)
    assert account.tokens == -10.0 * DEMAND_DECAY_US / SECOND_US
    small = account_of(Plan(quota_rate=10.0, quota_burst=0.5))
    small.spend(100.0)
    assert small.tokens == -5.0


def test_granted_units_are_spent_first_and_expire() -> None:
    account = account_of(split=True)
    before = account.ceiling.tokens
    account.ceiling.add_grant(NOW, NOW + GRANT_TTL_US, 1.0)
    account.ceiling.spend(NOW, 1.0)
    assert account.ceiling.tokens == before and not account.ceiling.grants
    account.ceiling.add_grant(NOW, NOW + GRANT_TTL_US, 1.0)
    assert account.ceiling.has_grant(NOW + GRANT_TTL_US, 1.0) and not account.ceiling.has_grant(
        NOW + GRANT_TTL_US, 2.0
    )
    account.ceiling.spend(NOW + GRANT_TTL_US + 1, 1.0)
    assert account.ceiling.tokens == before - 1.0
    assert account.ceiling.needs_grant(1.0) and not account_of().ceiling.needs_grant(9.0)


def test_full_refill_time() -> None:
    assert full_refill_us(Plan(quota_rate=10.0, quota_burst=20.0)) == 2 * SECOND_US + SECOND_US // 2
    assert full_refill_us(Plan(ceiling_rate=1.0, ceiling_burst=30.0)) == 30 * SECOND_US
