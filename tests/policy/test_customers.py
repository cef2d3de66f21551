"""Customer accounts: eviction, ceilings, and calls to the limit policy."""

from dataclasses import replace

from molereach.policy.customers import MIN_IDLE_TTL_US, Customers
from molereach.policy.interface.messages import CustomerKey, SpendingTotal
from molereach.policy.interface.protocols import ReachableQuota
from molereach.policy.interface.settings import Plan
from molereach.policy.peer_liveness import PEER_SILENCE_US
from tests.helpers import SECOND_US, SETTINGS

NOW = 100 * SECOND_US
PLAN = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=4.0, ceiling_burst=6.0)
KEY = CustomerKey(5, 0, 0, 2)


class FakeLimitPolicy:
    """A limit policy with fixed results that logs the calls to it."""

    def __init__(self) -> None:
        self.calls: list[tuple[object, ...]] = []
        self.quota = ReachableQuota(1, 0.5, 0.0)
        self.is_below_ceiling, self.total_units = False, 3.0

    def reachable_quota(self, now_us: int, key: CustomerKey) -> ReachableQuota:
        return self.quota

    def has_capacity(self, now_us: int, key: CustomerKey, units: float) -> bool:
        return self.is_below_ceiling

    def apply_spending_total(self, now_us: int, sender: int, total: SpendingTotal) -> float:
        return self.total_units

    def request_capacity(self, *values: object) -> None:
        self.calls.append(("request_capacity", *values))

    def consume(self, *values: object) -> None:
        self.calls.append(("consume", *values))

    def record_spending(self, *values: object) -> None:
        self.calls.append(("record_spending", *values))


def make_customers(plan: Plan = PLAN, limits: FakeLimitPolicy | None = None) -> Customers:
    settings = replace(SETTINGS, plans=(plan,), proxy_count=3)
    return Customers(settings, limits)  # type: ignore[arg-type]


def test_changed_set_allows_no_second_burst() -> None:
    customers = make_customers()
    assert customers.refreshed_account(NOW, KEY).tokens == 20
    other_account = customers.refreshed_account(NOW, CustomerKey(5, 0, 1, 2))
    assert (
        other_account.tokens,
        other_account.local_tokens,
        other_account.ceiling.tokens,
        other_account.ceiling.reserve_tokens,
    ) == (
        0,
        0,
        0,
        0,
    )
    assert customers.refreshed_account(NOW + SECOND_US, KEY) is customers.accounts[KEY]
    assert list(customers.accounts) == [(5, 0, 1, 2), KEY]  # the one used last at the end


def test_idle_account_is_evicted_once_its_buckets_are_full() -> None:
    customers = make_customers()
    account = customers.refreshed_account(NOW, KEY)
    customers.evict_idle(NOW + MIN_IDLE_TTL_US)
    assert KEY in customers.accounts
    account.in_flight = 1
    customers.evict_idle(NOW + MIN_IDLE_TTL_US + 1)
    assert KEY in customers.accounts
    account.in_flight = 0
    customers.evict_idle(NOW + MIN_IDLE_TTL_US + 1)
    assert not customers.accounts and not customers.first_keys


def test_small_ceiling_has_a_reserve_unless_a_limit_policy_divides_it() -> None:
    assert make_customers().refreshed_account(NOW, KEY).ceiling.split_fraction == 0.5
    assert (
        make_customers(replace(PLAN, ceiling_burst=60.0)).refreshed_account(NOW, KEY).ceiling.split_fraction
        == 1
    )
    assert make_customers(limits=FakeLimitPolicy()).refreshed_account(NOW, KEY).ceiling.split_fraction == 1


def test_split_ceiling_is_spent_and_refilled() -> None:
    customers = make_customers(replace(PLAN, ceiling_burst=60.0))
    account = customers.refreshed_account(NOW, KEY)
    customers.started_at_us = NOW
    assert customers.is_below_ceiling(NOW, account, 30.0) and not customers.is_below_ceiling(
        NOW, account, 31.0
    )
    customers.spend_ceiling(NOW, account, 30.0)
    assert not customers.is_below_ceiling(NOW, account, 1.0) and customers.is_below_ceiling(
        NOW + SECOND_US, account, 2.0
    )
    assert make_customers(Plan()).is_below_ceiling(
        NOW, make_customers(Plan()).refreshed_account(NOW, KEY), 1e9
    )


def test_limit_policy_is_consulted_and_notified() -> None:
    limits = FakeLimitPolicy()
    customers = make_customers(limits=limits)
    account = customers.refreshed_account(NOW, KEY)
    assert (account.owner, account.reachable_fraction) == (1, 0.5)
    assert not customers.is_below_ceiling(NOW, account, 1.0)
    limits.is_below_ceiling = True
    assert customers.is_below_ceiling(NOW, account, 1.0)
    customers.request_ceiling_capacity(NOW, account, 1.0)
    customers.spend_ceiling(NOW, account, 1.0)
    customers.spend(NOW, account, 4.0)
    assert limits.calls == [
        ("request_capacity", NOW, KEY, 1.0),
        ("consume", NOW, KEY, 1.0),
        ("record_spending", NOW, KEY, 4.0, 6.0),
    ]
    limits.quota = ReachableQuota(1, 0.9, 0.0)
    account.unanswered_since_us = NOW
    assert customers.refreshed_account(NOW + PEER_SILENCE_US, KEY).reachable_fraction == 0.9
    # Only its local bucket, half of the quota
    assert customers.refreshed_account(NOW + PEER_SILENCE_US + 1, KEY).reachable_fraction == 0.5
    limits.quota = ReachableQuota(2, 1.0, 1.5)
    tokens = account.tokens
    assert customers.refreshed_account(NOW + PEER_SILENCE_US + 1, KEY).owner == 2
    assert account.tokens == tokens + 1.5
    assert account.unanswered_since_us > NOW + SECOND_US  # the new owner has not been sent a request


def test_spending_totals_subtract_tokens_and_joined_units_add_some() -> None:
    limits = FakeLimitPolicy()
    limits.quota = ReachableQuota(0, 1.0, 0.0)
    customers = make_customers(limits=limits)
    account = customers.refreshed_account(NOW, KEY)
    customers.apply_spending_total(NOW, 2, SpendingTotal(KEY, 3.0, 0.0))
    assert account.tokens == 17
    limits.total_units = -2.0
    customers.apply_spending_total(NOW, 2, SpendingTotal(KEY, 3.0, 0.0))
    assert account.tokens == 19


def test_quota_statuses_change_nothing() -> None:
    customers = make_customers()
    account = customers.refreshed_account(NOW, KEY)
    customers.first_keys[(0, 0)] = customers.first_keys.pop(KEY[:2])
    account.replied_at_us = NOW - SECOND_US // 2
    customers.accounts = {customers.first_keys[(0, 0)]: account}
    # The CRC-32 of an empty name is 0.
    assert customers.quota_statuses("", NOW) == [(0, 20.0, 10.0, 3.0 * 0.5, 0.0, 0.5)]
    assert customers.quota_statuses("c", NOW) == []
