"""The customers known here, each with its stores; the one seen last at the end, so that old ones go first.

Where limits are handed in they say where a customer's home is, how far its quota reaches and what there is
room for under its ceiling; else each gateway goes by its own parts.
"""

import zlib

from molereach.policy.interface.messages import CustomerKey, SpendingTotal
from molereach.policy.interface.protocols import LimitPolicy
from molereach.policy.interface.settings import Settings
from molereach.policy.quota import SMALL_PART, Customer, full_again_us
from molereach.policy.time_units import NEVER_US, SECOND_US

LEAST_KEPT_US = 10 * SECOND_US  # for which a customer is remembered in any case
SILENT_US = 500_000  # a peer is silent that answers no ask for so long


class Customers:
    """Stores by customer, and what is done with them that limits must hear of."""

    __slots__ = ("ceilings", "forget_us", "known", "limits", "set", "sets", "since_us")

    def __init__(self, settings: Settings, limits: LimitPolicy | None) -> None:
        self.set, self.limits = settings, limits
        self.known: dict[CustomerKey, Customer] = {}
        self.sets: dict[tuple[int, int], CustomerKey] = {}  # under which a customer came first
        self.since_us, self.forget_us = 0, max(LEAST_KEPT_US, *map(full_again_us, settings.plans))
        self.ceilings = any(plan.ceiling_rate for plan in settings.plans)

    def splits(self) -> bool:
        """Whether a part of each ceiling is left to the customer's home; not where limits move the shares."""
        return self.ceilings and self.set.may_gossip and not self.limits

    def get(self, now: int, key: CustomerKey) -> Customer:
        """The customer, refilled."""
        known = self.known.pop(key, None)
        if known is None:
            split = self.splits() and self.set.plans[key[1]].ceiling_burst < SMALL_PART * key[3]
            known = Customer(self.set.plans[key[1]], key, self.set, now, self.since_us, split)
            if self.sets.setdefault(key[:2], key) != key:  # a name of another set must not open a fresh burst
                known.part = known.level = known.ceiling = known.pool = 0.0
        self.known[key] = known
        if self.limits:
            home, known.reach, joined = self.limits.reachable_quota(now, key)
            known.level += joined
            if home != known.home:
                known.home, known.asked_us = home, NEVER_US
            if now - known.asked_us > SILENT_US:  # nobody says what the others spend: its part is all
                known.reach = 1 / known.size
        return known.refill(now)

    def forget(self, now: int) -> None:
        """One whose stores are full again is as good as new; those that came only once would never end."""
        while self.known:
            key, oldest = next(iter(self.known.items()))
            if oldest.out or now - oldest.at <= self.forget_us:
                return
            del self.known[key]
            if self.sets.get(key[:2]) == key:
                del self.sets[key[:2]]

    def spend(self, now: int, customer: Customer, units: float) -> None:
        """Units of the quota are spent here, or given back where they are below 0."""
        customer.spend(units)
        customer.part, customer.spent = max(0.0, customer.part - units), customer.spent + units
        if self.limits:
            self.limits.record_spending(now, customer.key, units, customer.part)

    def want(self, now: int, customer: Customer, units: float) -> None:
        """A request will take so much of the ceiling."""
        if self.limits and customer.plan.ceiling_rate:
            self.limits.request_capacity(now, customer.key, units)

    def below_ceiling(self, now: int, customer: Customer, units: float) -> bool:
        """Whether so much may be sent on now."""
        if self.limits and customer.plan.ceiling_rate:
            return self.limits.has_capacity(now, customer.key, units)
        if not customer.plan.ceiling_rate or customer.has_given(now, units):
            return True
        return customer.refill(now).ceiling >= units

    def pass_ceiling(self, now: int, customer: Customer, units: float) -> None:
        """So much is sent on."""
        customer.pass_ceiling(now, units)
        if self.limits and customer.plan.ceiling_rate:
            self.limits.consume(now, customer.key, units)

    def take_total(self, now: int, sender: int, total: SpendingTotal) -> None:
        """What a peer spent since its last word; what joins of a part that was apart lifts the store."""
        assert self.limits
        customer, units = self.get(now, total.key), self.limits.apply_spending_total(now, sender, total)
        if units >= 0:
            customer.spend(units)
        else:
            customer.reach = self.limits.reachable_quota(now, total.key).fraction
            customer.level = min(customer.plan.quota_burst * customer.reach, customer.level - units)

    def standing(self, customer: str, now: int) -> list[tuple[int, float, float, float, float, float | None]]:
        """What is known here of a customer: plan, level, parts of quota and ceiling, demand (units), and how
        many seconds ago its home's word came. It only reads."""
        found = []
        for plan in range(len(self.set.plans)):
            key = self.sets.get((zlib.crc32(customer.encode()), plan))
            if key and (known := self.known.get(key)):
                heard = round((now - known.heard_us) / SECOND_US, 3) if known.heard_us >= 0 else None
                found.append((plan, known.level, known.part, known.ceiling, known.demand, heard))
        return found
