"""The accounts of the customers known at this gateway, and spending under their quotas and ceilings.

A `LimitPolicy`, if there is one, decides who a customer's owner is, how much of its quota may be spent here
and what its ceiling allows; otherwise each gateway uses its own buckets.
"""

import zlib
from collections import OrderedDict
from typing import NamedTuple

from molereach.policy.ceiling import SMALL_CEILING_UNITS_PER_GATEWAY
from molereach.policy.interface.events import RequestReceived
from molereach.policy.interface.messages import CustomerKey, SpendingTotal
from molereach.policy.interface.protocols import CustomerLimits, LimitPolicy
from molereach.policy.interface.settings import Settings
from molereach.policy.peer_liveness import PEER_SILENCE_US
from molereach.policy.quota import CustomerAccount, full_refill_us
from molereach.policy.time_units import NEVER_US, SECOND_US

MIN_IDLE_TTL_US = 10 * SECOND_US  # an idle customer is kept at least this long
# Accounts beyond this number replace unused ones. Those in use are bounded by what backends can execute, as
# an account is unused again once it has refilled.
MAX_ACCOUNTS = 8192
EXAMINED_PER_NEW_ACCOUNT = 4  # of the accounts used least recently, for unused ones
MAX_EVICTIONS_PER_PERIOD = 4096  # the event loop serves requests in between


class QuotaStatus(NamedTuple):
    """What one gateway knows of a customer's quota under one plan; amounts in units."""

    plan_index: int
    tokens: float  # of the customer's set
    local_tokens: float
    ceiling_tokens: float
    demand: float  # recent demand of the set
    reply_age_s: float | None  # age of the owner's last reply; None: there was none


class Customers:
    """Accounts by customer, in order of their last use."""

    __slots__ = (
        "accounts",
        "first_keys",
        "has_ceilings",
        "idle_ttl_us",
        "limits",
        "settings",
        "started_at_us",
    )

    def __init__(self, settings: Settings, limits: LimitPolicy | None) -> None:
        self.settings = settings
        self.limits = limits
        # A plain dict would look at all keys that were removed before it finds the first one.
        self.accounts: OrderedDict[CustomerKey, CustomerAccount] = OrderedDict()
        self.first_keys: dict[tuple[int, int], CustomerKey] = {}  # first key seen, by checksum and plan
        self.started_at_us = 0
        self.idle_ttl_us = max(MIN_IDLE_TTL_US, *map(full_refill_us, settings.plans))
        self.has_ceilings = any(plan.ceiling_rate for plan in settings.plans)

    def splits_ceilings(self) -> bool:
        """Whether ceilings may have a reserve at their owners; not if a `LimitPolicy` divides them."""
        return self.has_ceilings and self.settings.may_gossip and not self.limits

    def account_for_request(self, now_us: int, request: RequestReceived) -> CustomerAccount:
        """The refilled account of a request's customer."""
        checksum = zlib.crc32(request.customer.encode())
        key = CustomerKey(checksum, request.plan_index, request.set_first, request.set_size)
        return self.refreshed_account(now_us, key)

    def refreshed_account(self, now_us: int, key: CustomerKey) -> CustomerAccount:
        """The customer's account, refilled and with its current owner; created if it is unknown."""
        account = self.accounts.pop(key, None)
        if account is None:
            if len(self.accounts) >= MAX_ACCOUNTS:
                self.evict_unused(now_us)
            account = self.create_account(now_us, key)
        self.accounts[key] = account
        if self.limits:
            quota = self.limits.reachable_quota(now_us, key)
            account.reachable_fraction = quota.fraction
            account.tokens += quota.joined_units
            if quota.owner != account.owner:
                account.owner = quota.owner
                account.unanswered_since_us = NEVER_US
            if now_us - account.unanswered_since_us > PEER_SILENCE_US:
                # The spending of the other gateways is unknown.
                account.reachable_fraction = 1 / account.set_size
        return account.refill(now_us)

    def create_account(self, now_us: int, key: CustomerKey) -> CustomerAccount:
        """A new account with full quota buckets; with empty ones if the customer is known under another set.

        A changed set must not give the customer a second burst.
        """
        plan = self.settings.plans[key.plan_index]
        has_reserve = (
            self.splits_ceilings() and plan.ceiling_burst < SMALL_CEILING_UNITS_PER_GATEWAY * key.set_size
        )
        account = CustomerAccount(plan, key, self.settings, now_us, self.started_at_us, has_reserve)
        if self.first_keys.setdefault(key[:2], key) != key:
            account.local_tokens = 0.0
            account.tokens = 0.0
            account.ceiling.tokens = 0.0
            account.ceiling.reserve_tokens = 0.0
        return account

    def evict_idle(self, now_us: int) -> None:
        """Remove idle accounts whose buckets are full again: a new account would be the same.

        At most `MAX_EVICTIONS_PER_PERIOD` are removed.
        """
        for _ in range(min(MAX_EVICTIONS_PER_PERIOD, len(self.accounts))):
            key, oldest = next(iter(self.accounts.items()))
            if oldest.in_flight or now_us - oldest.refilled_at_us <= self.idle_ttl_us:
                return
            self.remove(key)

    def evict_unused(self, now_us: int) -> None:
        """Remove accounts that hold no less than a new one, among those used least recently.

        Only their recent demand is lost. Accounts that are in use stay, however many they are.
        """
        for _ in range(EXAMINED_PER_NEW_ACCOUNT):
            key, account = next(iter(self.accounts.items()))
            new_account = self.create_account(now_us, key)
            is_in_use = account.pending_requests or account.unreported_units
            if is_in_use or not account.refill(now_us).holds_as_much_as(new_account):
                self.accounts.move_to_end(key)
            else:
                self.remove(key)

    def remove(self, key: CustomerKey) -> None:
        """Remove an account."""
        del self.accounts[key]
        if self.first_keys.get(key[:2]) == key:
            del self.first_keys[key[:2]]

    def spend(self, now_us: int, account: CustomerAccount, units: float) -> None:
        """Spend units of the quota at this gateway; negative units are returned."""
        account.spend(units)
        account.local_tokens = max(0.0, account.local_tokens - units)
        account.unreported_units += units
        if self.limits:
            self.limits.record_spending(now_us, account.key, units, account.local_tokens)

    def request_ceiling_capacity(self, now_us: int, account: CustomerAccount, units: float) -> None:
        """Announce to the `LimitPolicy` that an admitted request will need units of the ceiling."""
        if self.limits and account.plan.ceiling_rate:
            self.limits.request_capacity(now_us, account.key, units)

    def is_below_ceiling(self, now_us: int, account: CustomerAccount, units: float) -> bool:
        """Whether `units` may be forwarded now."""
        if not account.plan.ceiling_rate:
            return True
        if self.limits:
            return self.limits.has_capacity(now_us, account.key, units)
        if account.ceiling.has_grant(now_us, units):
            return True
        return account.refill(now_us).ceiling.tokens >= units

    def spend_ceiling(self, now_us: int, account: CustomerAccount, units: float) -> None:
        """Spend units of the ceiling for a request that is forwarded."""
        account.ceiling.spend(now_us, units)
        if self.limits and account.plan.ceiling_rate:
            self.limits.consume(now_us, account.key, units)

    def apply_spending_total(self, now_us: int, sender: int, total: SpendingTotal) -> None:
        """At the owner: subtract what a peer has spent since its last total, or add units that joined."""
        assert self.limits
        account = self.refreshed_account(now_us, total.key)
        units = self.limits.apply_spending_total(now_us, sender, total)
        if units >= 0:
            account.spend(units)
            return
        account.reachable_fraction = self.limits.reachable_quota(now_us, total.key).fraction
        max_tokens = account.plan.quota_burst * account.reachable_fraction
        account.tokens = min(max_tokens, account.tokens - units)

    def quota_statuses(self, customer: str, now_us: int) -> list[QuotaStatus]:
        """What is known here about a customer, by plan; changes nothing."""
        statuses = []
        for plan_index in range(len(self.settings.plans)):
            key = self.first_keys.get((zlib.crc32(customer.encode()), plan_index))
            account = self.accounts.get(key) if key else None
            if account is None:
                continue
            reply_age_s = None
            if account.replied_at_us >= 0:
                reply_age_s = round((now_us - account.replied_at_us) / SECOND_US, 3)
            statuses.append(
                QuotaStatus(
                    plan_index,
                    account.tokens,
                    account.local_tokens,
                    account.ceiling.tokens,
                    account.demand,
                    reply_age_s,
                )
            )
        return statuses

    def customer_limits(self, customer: str, now_us: int) -> list[CustomerLimits]:
        """A customer's limits by plan; empty without a `LimitPolicy`."""
        return self.limits.snapshot(zlib.crc32(customer.encode()), now_us) if self.limits else []
