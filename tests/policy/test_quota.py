"""A customer's buckets: refill, admission probability, debt, ceiling grants."""

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


def make_account(
    plan: Plan = PLAN, set_size: int = 4, started_at_us: int = 0, has_reserve: bool = False
) -> CustomerAccount:
    return CustomerAccount(plan, CustomerKey(5, 0, 0, set_size), SETTINGS, NOW, started_at_us, has_reserve)


def test_buckets_are_split_over_the_set_and_the_ceiling_fills_from_the_start() -> None:
    account = make_account()
    assert (account.local_tokens, account.tokens, account.ceiling.tokens) == (5.0, 20.0, 1.5)
    assert make_account(started_at_us=NOW).ceiling.tokens == 0
    split_account = make_account(started_at_us=NOW - SECOND_US, has_reserve=True)
    assert split_account.ceiling.tokens == 4.0 * 0.5 / 4 and split_account.ceiling.reserve_fraction == 0.5
    assert (
        split_account.ceiling.reserve_tokens == 4.0 * 0.5
        and split_account.ceiling.max_reserve_tokens == (6.0 - 4.0 * GRANT_TTL_US / SECOND_US) * 0.5
    )


def test_tokens_and_remote_demand_stay_as_reported_while_the_reply_is_fresh() -> None:
    account = make_account()
    account.tokens, account.remote_demand, account.local_tokens, account.replied_at_us = 2.0, 8.0, 0.0, NOW
    account.refill(NOW + REPLY_FRESH_US)
    assert (account.tokens, account.remote_demand) == (
        2.0,
        8.0,
    ) and account.local_tokens == 2.0  # never more than the tokens of the set
    account.refill(NOW + 2 * REPLY_FRESH_US)
    assert account.tokens == 12.0 and account.remote_demand < 0.01


def test_local_demand_decays() -> None:
    account = make_account()
    account.local_demand = 1.0
    account.refill(NOW + round(DEMAND_DECAY_US))
    assert account.local_demand == pytest.approx(0.3679, abs=1e-4)


def test_admission_probability_is_quota_over_demand() -> None:
    account = make_account()
    account.tokens, account.local_demand, account.remote_demand = 6.0, 4.0, 8.0
    assert account.admission_probability(1.0) == 0.5
    account.tokens = 0.9
    assert account.admission_probability(1.0) == 0.0  # less than one request
    # A bucket smaller than one request may go into debt.
    assert make_account(Plan(quota_rate=1.0, quota_burst=0.5)).admission_probability(1.0) == 1.0
    assert make_account(Plan()).admission_probability(1.0) == 1.0
    busy_account = make_account(Plan(max_in_flight=8))
    busy_account.in_flight = 2
    assert busy_account.admission_probability(1.0) == 0.0


def test_debt_of_a_bucket_is_bounded() -> None:
    account = make_account()
    account.spend(100.0)
    assert account.tokens == -10.0 * DEMAND_DECAY_US / SECOND_US
    small_account = make_account(Plan(quota_rate=10.0, quota_burst=0.5))
    small_account.spend(100.0)
    assert small_account.tokens == -5.0


def test_granted_units_are_spent_first_and_expire() -> None:
    account = make_account(has_reserve=True)
    tokens_before = account.ceiling.tokens
    account.ceiling.add_grant(NOW, NOW + GRANT_TTL_US, 1.0)
    account.ceiling.spend(NOW, 1.0)
    assert account.ceiling.tokens == tokens_before and not account.ceiling.grants
    account.ceiling.add_grant(NOW, NOW + GRANT_TTL_US, 1.0)
    assert account.ceiling.has_grant(NOW + GRANT_TTL_US, 1.0) and not account.ceiling.has_grant(
        NOW + GRANT_TTL_US, 2.0
    )
    account.ceiling.spend(NOW + GRANT_TTL_US + 1, 1.0)
    assert account.ceiling.tokens == tokens_before - 1.0
    assert account.ceiling.needs_grant(1.0) and not make_account().ceiling.needs_grant(9.0)


def test_full_refill_time() -> None:
    assert full_refill_us(Plan(quota_rate=10.0, quota_burst=20.0)) == 2 * SECOND_US + SECOND_US // 2
    assert full_refill_us(Plan(ceiling_rate=1.0, ceiling_burst=30.0)) == 30 * SECOND_US
