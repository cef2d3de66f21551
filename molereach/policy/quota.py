"""A customer's quota at one gateway: token buckets, and the probability that a request is admitted.

The quota is one token bucket, kept by the customer's owner, which is one gateway of the customer's set. The
other gateways use the owner's last reply and a local bucket, which is an equal part of the quota. If demand
exceeds the quota, each request is admitted with the probability available tokens / demand. `admission`
applies the rule.
"""

import math

from molereach.policy.ceiling import CeilingBucket
from molereach.policy.interface.messages import CustomerKey
from molereach.policy.interface.settings import Plan, Settings
from molereach.policy.time_units import NEVER_US, SECOND_US

DEMAND_DECAY_US = 0.1 * SECOND_US  # time constant; short, as the token buckets average over longer periods
# Largest debt of a bucket smaller than one request, as the time in which the quota rate repays it.
SMALL_BUCKET_DEBT_US = 0.5 * SECOND_US
REPLY_FRESH_US = SECOND_US  # how long a reply of the owner is used
# A report to the owner may be deferred if the local bucket is at least so full and at most so much of it is
# unreported, as fractions of its size.
DEFER_MIN_FILL = 1 / 2
DEFER_MAX_UNREPORTED = 1 / 4
ROUNDING_UNITS = 1e-6  # by which two buckets that were refilled in different steps may differ


class CustomerAccount:
    """A customer's buckets at this gateway, and what is known here of the whole set; amounts are in units."""

    __slots__ = (
        "ceiling",
        "has_member_report",
        "in_flight",
        "key",
        "local_demand",
        "local_tokens",
        "owner",
        "pending_requests",
        "plan",
        "reachable_fraction",
        "refilled_at_us",
        "remote_demand",
        "replied_at_us",
        "set_size",
        "tokens",
        "unanswered_since_us",
        "unreported_demand",
        "unreported_units",
    )

    def __init__(
        self,
        plan: Plan,
        key: CustomerKey,
        settings: Settings,
        now_us: int,
        started_at_us: int,
        has_ceiling_reserve: bool = False,
    ) -> None:
        """`started_at_us` is when the gateway started."""
        self.plan = plan
        self.key = key
        self.set_size = key.set_size
        self.refilled_at_us = now_us
        if settings.may_gossip:
            self.owner = (key.set_first + key.customer_checksum % key.set_size) % settings.proxy_count
            self.reachable_fraction = 1.0  # fraction of the quota that this side of a partition may spend
        else:
            self.owner = settings.proxy_index
            self.reachable_fraction = 1 / key.set_size  # without gossip, each gateway is its own partition
        self.local_tokens = plan.quota_burst / key.set_size
        self.tokens = plan.quota_burst * self.reachable_fraction  # of the whole set, as far as is known
        self.local_demand = 0.0  # decayed sum of the units requested here
        self.remote_demand = 0.0  # the same at the other gateways of the set
        self.ceiling = CeilingBucket(plan, key.set_size, now_us - started_at_us, has_ceiling_reserve)
        self.in_flight = 0  # attempts in flight from this gateway
        self.pending_requests = 0  # requests here that are open, or answered with attempts in flight
        self.replied_at_us = -NEVER_US  # time of the owner's last reply
        self.unanswered_since_us = NEVER_US  # time of the first request that the owner has not answered
        # At the owner: whether a peer has reported since this account was created.
        self.has_member_report = False
        self.unreported_demand = 0.0  # not yet reported to the owner
        self.unreported_units = 0.0

    def refill(self, now_us: int) -> "CustomerAccount":
        """Refill the buckets and decay the demand up to `now_us`.

        While the owner's last reply is fresh, the remote demand and the set's tokens stay as it reported
        them, because the other gateways keep receiving requests. Once it is stale, for example because the
        owner has failed, they are extrapolated.
        """
        plan = self.plan
        elapsed_s = (now_us - self.refilled_at_us) / SECOND_US
        self.refilled_at_us = now_us
        if plan.ceiling_rate:
            self.ceiling.refill(elapsed_s)
        decay = math.exp(-elapsed_s * SECOND_US / DEMAND_DECAY_US)
        self.local_demand *= decay
        if now_us - self.replied_at_us > REPLY_FRESH_US:
            fraction = self.reachable_fraction
            self.tokens = min(
                plan.quota_burst * fraction, self.tokens + plan.quota_rate * fraction * elapsed_s
            )
            self.remote_demand *= decay
        fraction = 1 / self.set_size
        self.local_tokens = min(
            plan.quota_burst * fraction,
            self.local_tokens + plan.quota_rate * elapsed_s * fraction,
            max(0.0, self.tokens),
        )
        return self

    @property
    def demand(self) -> float:
        """Recent demand of the whole set, as far as is known."""
        return self.local_demand + self.remote_demand

    def holds_as_much_as(self, other: "CustomerAccount") -> bool:
        """Whether no bucket holds less than that of the other account."""
        smallest_excess = min(self.tokens - other.tokens, self.local_tokens - other.local_tokens)
        if self.plan.ceiling_rate:
            ceiling_excess = self.ceiling.tokens - other.ceiling.tokens
            reserve_excess = self.ceiling.reserve_tokens - other.ceiling.reserve_tokens
            smallest_excess = min(smallest_excess, ceiling_excess, reserve_excess)
        return smallest_excess >= -ROUNDING_UNITS

    def may_defer_report(self) -> bool:
        """Whether the report of what was spent here may be deferred.

        The unreported spending makes the owner's bucket wrong by at most a quarter of the local buckets.
        If a quarter of the local bucket is less than one unit, each unit is reported at once.
        """
        full_bucket = self.plan.quota_burst / self.set_size
        return (
            self.local_tokens >= full_bucket * DEFER_MIN_FILL
            and self.unreported_units <= full_bucket * DEFER_MAX_UNREPORTED
        )

    def admission_probability(self, units: float) -> float:
        """The probability, from 0 to 1, that a request of `units` is within quota.

        It is 0 at the limit of attempts in flight and 1 in a plan without a quota rate. Otherwise it is the
        available tokens divided by the demand, or by `units` if the demand is less. A bucket that holds fewer
        tokens than `units` counts as empty, since the missing units would exceed the quota. If even the full
        bucket holds fewer, its tokens and the debt of `SMALL_BUCKET_DEBT_US` are available instead.
        """
        plan = self.plan
        if plan.max_in_flight and self.in_flight >= max(1, plan.max_in_flight // self.set_size):
            return 0.0
        if not plan.quota_rate:
            return 1.0
        if plan.quota_burst * self.reachable_fraction < units:
            rate = plan.quota_rate * self.reachable_fraction
            available = self.tokens + rate * SMALL_BUCKET_DEBT_US / SECOND_US
        else:
            available = self.tokens if self.tokens >= units else 0.0
        return max(0.0, min(1.0, available / max(units, self.demand)))

    def spend(self, units: float) -> None:
        """Take units from the set's bucket, or put them back if `units` is negative.

        The debt of the bucket is limited: to `SMALL_BUCKET_DEBT_US` if the full bucket holds less than one
        unit, whatever the request needs, else to `DEMAND_DECAY_US`, each at the quota rate.
        """
        is_below_one_unit = self.plan.quota_burst * self.reachable_fraction < 1
        debt_us = SMALL_BUCKET_DEBT_US if is_below_one_unit else DEMAND_DECAY_US
        min_tokens = -self.plan.quota_rate * self.reachable_fraction * debt_us / SECOND_US
        self.tokens = max(self.tokens - units, min_tokens)


def full_refill_us(plan: Plan) -> int:
    """The longest time that a customer's buckets need to fill up, starting from the largest debt."""
    quota_s = 0.0
    if plan.quota_rate:
        quota_s = plan.quota_burst / plan.quota_rate + SMALL_BUCKET_DEBT_US / SECOND_US
    ceiling_s = plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate else 0.0
    return round(SECOND_US * max(quota_s, ceiling_s))
