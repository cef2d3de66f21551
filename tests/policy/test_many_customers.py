"""Many customers at once: evicting idle ones is divided, and its cost does not grow with their number."""

import time
from collections.abc import Callable
from dataclasses import replace

import pytest

from molereach.limits.escrow import Escrow
from molereach.limits.settings import LimitSettings
from molereach.limits.spending_totals import SpendingTotals
from molereach.policy import customers as customers_module
from molereach.policy.customers import Customers
from molereach.policy.interface.messages import CustomerKey
from molereach.policy.interface.settings import Plan
from tests.helpers import SECOND_US, SETTINGS

PLAN = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=4.0, ceiling_burst=6.0)
FEW_CUSTOMERS = 1_000
MANY_CUSTOMERS = 60_000
NOW_US = 100 * SECOND_US
LONG_AFTER_US = NOW_US + 3600 * SECOND_US
MAX_COST_RATIO = 8.0  # of evicting one of many customers to one of few; caches account for some of it

Evict = Callable[[], bool]  # evicts once and returns whether customers are left


def idle_customers(count: int) -> Evict:
    """Accounts of idle customers of a gateway."""
    customers = Customers(replace(SETTINGS, plans=(PLAN,)), None)
    for number in range(count):
        customers.refreshed_account(NOW_US, CustomerKey(number, 0, 0, 1))

    def evict() -> bool:
        customers.evict_idle(LONG_AFTER_US)
        return bool(customers.accounts)

    return evict


def idle_ceilings(count: int) -> Evict:
    """Ceilings of idle customers of a proxy."""
    escrow = Escrow(0, 1, (PLAN,), LimitSettings())
    escrow.start(0)
    for number in range(count):
        escrow.available_units(NOW_US, CustomerKey(number, 0, 0, 1))

    def evict() -> bool:
        escrow.evict_idle(LONG_AFTER_US)
        return bool(escrow.accounts)

    return evict


def idle_spending(count: int) -> Evict:
    """Spending totals of idle customers of a proxy."""
    totals = SpendingTotals((PLAN,))
    for number in range(count):
        totals.record(NOW_US, CustomerKey(number, 0, 0, 1), 1.0, 1.0)

    def evict() -> bool:
        totals.evict_idle(LONG_AFTER_US, SECOND_US)
        return bool(totals.entries)

    return evict


def cost_per_customer_s(make: Callable[[int], Evict], count: int) -> float:
    """The least processor time of evicting one of `count` customers, of three measurements."""
    costs_s = []
    for _ in range(3):
        evict = make(count)
        started_s = time.process_time()
        while evict():
            pass
        costs_s.append((time.process_time() - started_s) / count)
    return min(costs_s)


@pytest.mark.parametrize("make", [idle_customers, idle_ceilings, idle_spending])
def test_cost_of_an_eviction_does_not_grow_with_the_number_of_customers(
    make: Callable[[int], Evict],
) -> None:
    """Guards against a stall of seconds: each removal looked at all keys that were removed before it."""
    few_s = cost_per_customer_s(make, FEW_CUSTOMERS)
    many_s = cost_per_customer_s(make, MANY_CUSTOMERS)
    assert many_s < MAX_COST_RATIO * few_s


def test_evictions_of_one_period_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(customers_module, "MAX_EVICTIONS_PER_PERIOD", 10)
    customers = Customers(replace(SETTINGS, plans=(PLAN,)), None)
    for number in range(25):
        customers.refreshed_account(NOW_US, CustomerKey(number, 0, 0, 1))
    counts = []
    while customers.accounts:
        customers.evict_idle(LONG_AFTER_US)
        counts.append(len(customers.accounts))
    assert counts == [15, 5, 0]
    assert not customers.first_keys
