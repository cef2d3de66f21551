"""The customers known, without a gateway: remembered, forgotten, and what limits are asked and told."""

from dataclasses import replace

from molereach.policy.customers import LEAST_KEPT_US, SILENT_US, Customers
from molereach.policy.interface.messages import CustomerKey, SpendingTotal
from molereach.policy.interface.protocols import ReachableQuota
from molereach.policy.interface.settings import Plan
from tests.helpers import SETTINGS, S

NOW = 100 * S
PLAN = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=4.0, ceiling_burst=6.0)
KEY: CustomerKey = (5, 0, 0, 2)


class Limits:
    """What the decisions ask of limits, as told here."""

    def __init__(self) -> None:
        self.log: list[tuple[object, ...]] = []
        self.quota = ReachableQuota(1, 0.5, 0.0)
        self.has_room, self.new = False, 3.0

    def reachable_quota(self, now_us: int, key: CustomerKey) -> ReachableQuota:
        return self.quota

    def has_capacity(self, now_us: int, key: CustomerKey, units: float) -> bool:
        return self.has_room

    def apply_spending_total(self, now_us: int, sender: int, total: SpendingTotal) -> float:
        return self.new

    def request_capacity(self, *values: object) -> None:
        self.log.append(("request_capacity", *values))

    def consume(self, *values: object) -> None:
        self.log.append(("consume", *values))

    def record_spending(self, *values: object) -> None:
        self.log.append(("record_spending", *values))


def customers_of(plan: Plan = PLAN, limits: Limits | None = None) -> Customers:
    settings = replace(SETTINGS, plans=(plan,), proxy_count=3)
    return Customers(settings, limits)  # type: ignore[arg-type]


def test_name_of_another_set_opens_no_fresh_burst() -> None:
    customers = customers_of()
    assert customers.get(NOW, KEY).level == 20
    other = customers.get(NOW, (5, 0, 1, 2))
    assert (other.level, other.part, other.ceiling, other.pool) == (0, 0, 0, 0)
    assert customers.get(NOW + S, KEY) is customers.known[KEY]
    assert list(customers.known) == [(5, 0, 1, 2), KEY]  # the one seen last at the end


def test_customer_is_forgotten_once_its_stores_are_full_and_nothing_is_out() -> None:
    customers = customers_of()
    known = customers.get(NOW, KEY)
    customers.forget(NOW + LEAST_KEPT_US)
    assert KEY in customers.known
    known.out = 1
    customers.forget(NOW + LEAST_KEPT_US + 1)
    assert KEY in customers.known
    known.out = 0
    customers.forget(NOW + LEAST_KEPT_US + 1)
    assert not customers.known and not customers.sets


def test_small_parts_of_a_ceiling_leave_a_share_to_the_home_unless_limits_move_it() -> None:
    assert customers_of().get(NOW, KEY).split == 0.5
    assert customers_of(replace(PLAN, ceiling_burst=60.0)).get(NOW, KEY).split == 1
    assert customers_of(limits=Limits()).get(NOW, KEY).split == 1


def test_ceiling_is_its_part_here_and_is_used_up() -> None:
    customers = customers_of(replace(PLAN, ceiling_burst=60.0))
    known = customers.get(NOW, KEY)
    customers.since_us = NOW
    assert customers.below_ceiling(NOW, known, 30.0) and not customers.below_ceiling(NOW, known, 31.0)
    customers.pass_ceiling(NOW, known, 30.0)
    assert not customers.below_ceiling(NOW, known, 1.0) and customers.below_ceiling(NOW + S, known, 2.0)
    assert customers_of(Plan()).below_ceiling(NOW, customers_of(Plan()).get(NOW, KEY), 1e9)


def test_limits_are_asked_and_told() -> None:
    limits = Limits()
    customers = customers_of(limits=limits)
    known = customers.get(NOW, KEY)
    assert (known.home, known.reach) == (1, 0.5)
    assert not customers.below_ceiling(NOW, known, 1.0)
    limits.has_room = True
    assert customers.below_ceiling(NOW, known, 1.0)
    customers.want(NOW, known, 1.0)
    customers.pass_ceiling(NOW, known, 1.0)
    customers.spend(NOW, known, 4.0)
    assert limits.log == [
        ("request_capacity", NOW, KEY, 1.0),
        ("consume", NOW, KEY, 1.0),
        ("record_spending", NOW, KEY, 4.0, 6.0),
    ]
    limits.quota = ReachableQuota(1, 0.9, 0.0)
    known.asked_us = NOW
    assert customers.get(NOW + SILENT_US, KEY).reach == 0.9
    assert customers.get(NOW + SILENT_US + 1, KEY).reach == 0.5  # its part alone, of a set of two
    limits.quota = ReachableQuota(2, 1.0, 1.5)
    level = known.level
    assert customers.get(NOW + SILENT_US + 1, KEY).home == 2
    assert known.level == level + 1.5 and known.asked_us > NOW + S  # another home has not been asked


def test_totals_lower_the_store_and_what_joins_lifts_it() -> None:
    limits = Limits()
    limits.quota = ReachableQuota(0, 1.0, 0.0)
    customers = customers_of(limits=limits)
    known = customers.get(NOW, KEY)
    customers.take_total(NOW, 2, SpendingTotal(KEY, 3.0, 0.0))
    assert known.level == 17
    limits.new = -2.0
    customers.take_total(NOW, 2, SpendingTotal(KEY, 3.0, 0.0))
    assert known.level == 19


def test_standing_only_reads() -> None:
    customers = customers_of()
    known = customers.get(NOW, KEY)
    customers.sets[(0, 0)] = customers.sets.pop(KEY[:2])
    known.heard_us = NOW - S // 2
    customers.known = {customers.sets[(0, 0)]: known}
    assert customers.standing("", NOW) == [(0, 20.0, 10.0, 3.0 * 0.5, 0.0, 0.5)]  # crc32 of no name is 0
    assert customers.standing("c", NOW) == []
