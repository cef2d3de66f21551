"""A customer's quota at one gateway: token buckets, and the probability that a request is admitted.

The quota is one token bucket, counted at the customer's owner, one gateway of the customer's set. The others
go by the owner's last reply and by their local bucket, an equal part of the quota. Where more is requested
than there is, each request is admitted with the probability quota / demand. `admission` applies the rule.
"""

import math

from molereach.policy.ceiling import CeilingBucket
from molereach.policy.interface.messages import CustomerKey
from molereach.policy.interface.settings import Plan, Settings
from molereach.policy.time_units import NEVER_US, SECOND_US

DEMAND_DECAY_US = 0.1 * SECOND_US  # short, as the tokens carry the longer memory
SMALL_BUCKET_DEBT_US = 0.5 * SECOND_US  # of its rate, that a bucket which holds no complete request may owe
REPLY_FRESH_US = SECOND_US  # how long a reply of the owner holds
# The owner need not be told at once where the local bucket is so full, and so little of it is unreported.
DEFER_MIN_FILL = 1 / 2
DEFER_MAX_UNREPORTED = 1 / 4


class CustomerAccount:
    """A customer's buckets here and what is known of its set; at its owner, that is all. Amounts in units."""

    __slots__ = (
        "ceiling",
        "has_member_report",
        "in_flight",
        "key",
        "local_demand",
        "local_tokens",
        "owner",
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
        """`started_at_us` is the gateway's start."""
        self.plan = plan
        self.key = key
        self.set_size = key.set_size
        self.refilled_at_us = now_us
        if settings.may_gossip:
            self.owner = (key.set_first + key.customer_checksum % key.set_size) % settings.proxy_count
            self.reachable_fraction = 1.0  # of the quota: what this side of a network partition may spend
        else:
            self.owner = settings.proxy_index
            self.reachable_fraction = 1 / key.set_size  # without messages each gateway is a partition
        self.local_tokens = plan.quota_burst / key.set_size
        self.tokens = plan.quota_burst * self.reachable_fraction  # of the whole set
        self.local_demand = 0.0  # decayed sum of what was requested here
        self.remote_demand = 0.0  # and at the others of the set
        self.ceiling = CeilingBucket(plan, key.set_size, now_us - started_at_us, has_ceiling_reserve)
        self.in_flight = 0  # attempts
        self.replied_at_us = -NEVER_US  # the owner's last reply
        self.unanswered_since_us = NEVER_US  # the first request that the owner has not answered
        self.has_member_report = False  # at the owner: whether others of the set have said what they know
        self.unreported_demand = 0.0  # what the owner has not been told of
        self.unreported_units = 0.0

    def refill(self, now_us: int) -> "CustomerAccount":
        """Refill the buckets.

        The others' demand and the set's tokens stay as reported while the reply is fresh, as the others go on
        requesting. After that, as when the owner has failed, they are what may be by now.
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
        """The recent demand of the whole set, as far as it is known."""
        return self.local_demand + self.remote_demand

    def may_defer_report(self) -> bool:
        """Whether the owner need not be told at once of what is spent here.

        The owner's bucket is wrong by a quarter of the local buckets at most then. Of small local buckets it
        is told of each unit.
        """
        full = self.plan.quota_burst / self.set_size
        return (
            self.local_tokens >= full * DEFER_MIN_FILL
            and self.unreported_units <= full * DEFER_MAX_UNREPORTED
        )

    def admission_probability(self, units: float) -> float:
        """The probability, from 0 to 1, that a request of so many units is within quota: quota / demand.

        A bucket that does not hold all units of a request serves none of it, as they would be forwarded
        beyond the quota. One that never holds them, by its size, may owe some.
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
        """Take units from the set's bucket, which may owe some; below 0: return them."""
        small = self.plan.quota_burst * self.reachable_fraction < 1
        debt_us = SMALL_BUCKET_DEBT_US if small else DEMAND_DECAY_US
        min_tokens = -self.plan.quota_rate * self.reachable_fraction * debt_us / SECOND_US
        self.tokens = max(self.tokens - units, min_tokens)


def full_refill_us(plan: Plan) -> int:
    """How long the buckets of a customer take at most to be full, from what they may owe."""
    quota_s = 0.0
    if plan.quota_rate:
        quota_s = plan.quota_burst / plan.quota_rate + SMALL_BUCKET_DEBT_US / SECOND_US
    ceiling_s = plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate else 0.0
    return round(SECOND_US * max(quota_s, ceiling_s))
