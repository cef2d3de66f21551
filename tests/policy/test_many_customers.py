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
from tests.helpers import SECOND_US, SETTINGS, GatewayDriver

PLAN = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=4.0, ceiling_burst=6.0)
CUSTOMER_COUNT = 60_000
NOW_US = 100 * SECOND_US
LONG_AFTER_US = NOW_US + 3600 * SECOND_US
MAX_HELD_UP_S = 0.15  # STANDING: for so long a front door may be held up

Evict = Callable[[], bool]  # evicts once and returns whether customers are left


def idle_customers(count: int) -> Evict:
    """Accounts of idle customers of a gateway; all have spent some quota, so none was replaced as unused."""
    customers = Customers(replace(SETTINGS, plans=(PLAN,)), None)
    for number in range(count):
        account = customers.refreshed_account(NOW_US, CustomerKey(number, 0, 0, 1))
        customers.spend(NOW_US, account, 1.0)
    assert len(customers.accounts) == count

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


@pytest.mark.parametrize("make", [idle_customers, idle_ceilings, idle_spending])
def test_eviction_of_many_idle_customers_does_not_hold_up_the_front_door(
    make: Callable[[int], Evict],
) -> None:
    """Guards against a stall of seconds: each removal looked at all keys that were removed before it."""
    evict = make(CUSTOMER_COUNT)
    longest_s = 0.0
    has_more = True
    while has_more:
        started_s = time.process_time()
        has_more = evict()
        longest_s = max(longest_s, time.process_time() - started_s)
    assert longest_s < MAX_HELD_UP_S


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


def test_unused_accounts_are_replaced_beyond_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against growth without end: each new name left an account for ten seconds or more."""
    monkeypatch.setattr(customers_module, "MAX_ACCOUNTS", 50)
    driver = GatewayDriver()
    accounts = driver.gateway.customers.accounts
    for number in range(1000):
        driver.now_us += 100
        driver.send_request(f"r{number}", remaining_us=0, customer=f"{number:016x}")
        assert len(accounts) <= 50
    assert not driver.gateway.attempts.pending
    assert len(driver.gateway.customers.first_keys) <= 50


def test_used_accounts_are_kept_beyond_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Units that were spent, and requests that are pending, are not forgotten for the sake of new names."""
    monkeypatch.setattr(customers_module, "MAX_ACCOUNTS", 4)
    driver = GatewayDriver()
    customers = driver.gateway.customers
    for number in range(6):
        driver.send_request(f"used{number}", customer=f"{number:016x}")
    used = dict(customers.accounts)
    assert len(used) == 6
    for number in range(100):
        driver.send_request(f"late{number}", remaining_us=0, customer=f"{1000 + number:016x}")
    assert used.items() <= customers.accounts.items()
    for request_id, attempt in list(driver.in_flight):
        driver.end_attempt(request_id, attempt=attempt)
    assert all(account.pending_requests == 0 for account in used.values())
    # Less than a new account holds: kept. Refilled: replaced.
    for number in range(100):
        driver.send_request(f"later{number}", remaining_us=0, customer=f"{2000 + number:016x}")
    assert used.items() <= customers.accounts.items()
    driver.now_us += 60 * SECOND_US
    for number in range(100):
        driver.send_request(f"last{number}", remaining_us=0, customer=f"{3000 + number:016x}")
    assert len(customers.accounts) <= 4


def test_account_that_is_replaced_gives_no_second_burst(monkeypatch: pytest.MonkeyPatch) -> None:
    """A ceiling that was spent is still spent after thousands of other names."""
    monkeypatch.setattr(customers_module, "MAX_ACCOUNTS", 10)
    customers = Customers(replace(SETTINGS, plans=(PLAN,)), None)
    key = CustomerKey(1, 0, 0, 1)
    account = customers.refreshed_account(NOW_US, key)
    customers.spend_ceiling(NOW_US, account, 3.0)
    for number in range(1000):
        customers.refreshed_account(NOW_US + 100 * number, CustomerKey(100 + number, 0, 0, 1))
    assert customers.refreshed_account(NOW_US + 100_000, key).ceiling.tokens < 3.5
    assert len(customers.accounts) <= 11
