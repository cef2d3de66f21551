"""A customer's stores by hand: parts, level, the chance rule, and units that the home gave."""

import pytest

from molereach.policy.interface.settings import Plan
from molereach.policy.quota import DEMAND_US, GRANT_US, WORD_FRESH_US, Customer, full_again_us
from tests.helpers import SETTINGS, S

NOW = 100 * S
PLAN = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=4.0, ceiling_burst=6.0)


def customer(plan: Plan = PLAN, size: int = 4, since: int = 0, split: bool = False) -> Customer:
    return Customer(plan, (5, 0, 0, size), SETTINGS, NOW, since, split)


def test_parts_are_of_the_set_and_the_ceiling_fills_from_the_start_of_the_gateway() -> None:
    known = customer()
    assert (known.part, known.level, known.ceiling) == (5.0, 20.0, 1.5)
    assert customer(since=NOW).ceiling == 0
    half = customer(since=NOW - S, split=True)
    assert half.ceiling == 4.0 * 0.5 / 4 and half.pooled == 0.5
    assert half.pool == 4.0 * 0.5 and half.most_pooled == (6.0 - 4.0 * GRANT_US / S) * 0.5


def test_level_and_others_stay_as_told_while_that_is_fresh() -> None:
    known = customer()
    known.level, known.others, known.part, known.heard_us = 2.0, 8.0, 0.0, NOW
    known.refill(NOW + WORD_FRESH_US)
    assert (known.level, known.others) == (2.0, 8.0) and known.part == 2.0  # no more than there is
    known.refill(NOW + 2 * WORD_FRESH_US)
    assert known.level == 12.0 and known.others < 0.01


def test_own_demand_ages_by_its_own_time() -> None:
    known = customer()
    known.own = 1.0
    known.refill(NOW + round(DEMAND_US))
    assert known.own == pytest.approx(0.3679, abs=1e-4)


def test_chance_is_quota_over_demand() -> None:
    known = customer()
    known.level, known.own, known.others = 6.0, 4.0, 8.0
    assert known.chance(1.0) == 0.5
    known.level = 0.9
    assert known.chance(1.0) == 0.0  # it does not hold the whole of a request
    assert customer(Plan(quota_rate=1.0, quota_burst=0.5)).chance(1.0) == 1.0  # never does: it may owe some
    assert customer(Plan()).chance(1.0) == 1.0
    busy = customer(Plan(max_in_flight=8))
    busy.out = 2
    assert busy.chance(1.0) == 0.0


def test_store_owes_no_more_than_a_short_time_of_its_rate() -> None:
    known = customer()
    known.spend(100.0)
    assert known.level == -10.0 * DEMAND_US / S
    small = customer(Plan(quota_rate=10.0, quota_burst=0.5))
    small.spend(100.0)
    assert small.level == -5.0


def test_given_units_go_first_and_do_not_keep() -> None:
    known = customer(split=True)
    before = known.ceiling
    known.take_given(NOW, NOW + GRANT_US, 1.0)
    known.pass_ceiling(NOW, 1.0)
    assert known.ceiling == before and not known.given
    known.take_given(NOW, NOW + GRANT_US, 1.0)
    assert known.has_given(NOW + GRANT_US, 1.0) and not known.has_given(NOW + GRANT_US, 2.0)
    known.pass_ceiling(NOW + GRANT_US + 1, 1.0)
    assert known.ceiling == before - 1.0
    assert known.is_short(1.0) and not customer().is_short(9.0)


def test_time_to_be_full_again() -> None:
    assert full_again_us(Plan(quota_rate=10.0, quota_burst=20.0)) == 2 * S + S // 2
    assert full_again_us(Plan(ceiling_rate=1.0, ceiling_burst=30.0)) == 30 * S
