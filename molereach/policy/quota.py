"""A customer's stores at one gateway: its part of quota and ceiling, and what is known of its whole set.

The quota is one store, counted at the customer's home; a gateway elsewhere goes by the home's last word and
its own part. The ceiling is split over the set; where parts would be small, a share of it is the home's.
"""

import math

from molereach.policy.interface.messages import CustomerKey
from molereach.policy.interface.settings import Plan, Settings
from molereach.policy.time_units import NEVER_US, SECOND_US

DEMAND_US = 0.1 * SECOND_US  # ageing of demand: short, as the level of the store carries the longer memory
SMALL_STORE_US = 0.5 * SECOND_US  # of its rate, that a store which holds no whole request may owe
WORD_FRESH_US = SECOND_US  # how long a word from home holds
# What its home need not hear of at once: a part that is so full, of which so little was spent since.
LATE_FULL, LATE_SPENT = 1 / 2, 1 / 4
# Of a ceiling whose parts would hold fewer units than the first: the share that is split over the set. The
# rest is its home's, which gives it out with its words; for how long after the ask such units may be used.
SMALL_PART, SPLIT_SHARE, GRANT_US = 4, 0.5, 300_000


class Customer:
    """A customer's part of quota and ceiling here, and what is known of its whole set: all, at its home."""

    __slots__ = (
        "asked_us",
        "at",
        "ceiling",
        "given",
        "heard_us",
        "home",
        "key",
        "level",
        "others",
        "out",
        "own",
        "part",
        "plan",
        "pool",
        "pooled",
        "reach",
        "size",
        "spent",
        "split",
        "told",
        "untold",
    )

    def __init__(
        self,
        plan: Plan,
        key: CustomerKey,
        set_: Settings,
        now: int,
        since: int,
        split: bool = False,
    ) -> None:
        self.plan, self.key, self.size, self.at = plan, key, key[3], now
        self.home = (key[2] + key[0] % self.size) % set_.proxy_count if set_.may_gossip else set_.proxy_index
        # The part of the quota that may be spent on this side of a split; with no words, each is a side.
        self.reach = 1.0 if set_.may_gossip else 1 / self.size
        self.part, self.level = plan.quota_burst / self.size, plan.quota_burst * self.reach
        self.own, self.others = 0.0, 0.0  # aged demand, here and at the others of the set
        # Empty at the gateway's start, as a restart looks like a first one; it fills from then on.
        self.split = SPLIT_SHARE if split else 1.0
        filled = plan.ceiling_rate * (now - since) / SECOND_US
        self.ceiling = min(plan.ceiling_burst, filled) * self.split / self.size
        self.given: list[tuple[int, float]] = []  # units of its home's that came here: until when, how many
        self.pooled = 1.0 - self.split  # at the home: its share of the ceiling, and a store for the whole set
        self.pool = min(self.most_pooled, filled * self.pooled)
        self.heard_us, self.out = -NEVER_US, 0
        self.told = False  # whether others of its set have said what they know of its level
        self.untold = self.spent = 0.0  # demand and spending that the home has not been told of
        self.asked_us = NEVER_US  # the first ask that its home has not answered

    def refill(self, now: int) -> "Customer":
        """Refill the parts. Others' demand and the level stay as told while that is fresh, as others go on
        asking; after that, as when the home has gone, they are what may be by now."""
        took, plan, part, self.at = (now - self.at) / SECOND_US, self.plan, 1 / self.size, now
        share = part * self.split
        self.ceiling = min(plan.ceiling_burst * share, self.ceiling + plan.ceiling_rate * took * share)
        self.pool = min(self.most_pooled, self.pool + plan.ceiling_rate * took * self.pooled)
        aged = math.exp(-took * SECOND_US / DEMAND_US)
        self.own *= aged
        if now - self.heard_us > WORD_FRESH_US:
            self.level = min(plan.quota_burst * self.reach, self.level + plan.quota_rate * self.reach * took)
            self.others *= aged
        self.part = min(
            plan.quota_burst * part, self.part + plan.quota_rate * took * part, max(0.0, self.level)
        )
        return self

    @property
    def most_pooled(self) -> float:
        """What the home's store holds: less what may still be used of units that it has given out."""
        return max(0.0, self.plan.ceiling_burst - self.plan.ceiling_rate * GRANT_US / SECOND_US) * self.pooled

    @property
    def demand(self) -> float:
        """That of the whole set, as far as it is known."""
        return self.own + self.others

    def may_be_late(self) -> bool:
        """Whether the home need not hear at once of what is spent here: its store is off by a quarter of the
        parts at most then. Of small parts it hears of each unit."""
        full = self.plan.quota_burst / self.size
        return self.part >= full * LATE_FULL and self.spent <= full * LATE_SPENT

    def chance(self, units: float) -> float:
        """Quota over summed demand: of what the set has left, as the home counts it, and of late asked."""
        if self.plan.max_in_flight and self.out >= max(1, self.plan.max_in_flight // self.size):
            return 0.0
        # A store that does not hold the whole of a request serves none of it: what is sent on then is beyond.
        if self.plan.quota_burst * self.reach < units:  # never, by its size: then it may owe some
            quota = self.level + self.plan.quota_rate * self.reach * SMALL_STORE_US / SECOND_US
        else:
            quota = self.level if self.level >= units else 0.0
        return max(0.0, min(1.0, quota / max(units, self.demand))) if self.plan.quota_rate else 1.0

    def is_short(self, units: float) -> bool:
        """The share of the ceiling here does not hold so much: some of the home's is wanted."""
        return self.split < 1 and self.plan.ceiling_rate > 0 and self.ceiling < units

    def has_given(self, now: int, units: float) -> bool:
        self.given = [(until, left) for until, left in self.given if now <= until]
        return any(left >= units for _, left in self.given)

    def take_given(self, now: int, until: int, units: float) -> None:
        self.has_given(now, units)  # those that are over go, whether or not any request asks for them
        self.given.append((until, units))

    def pass_ceiling(self, now: int, units: float) -> None:
        """Units are sent on: the home's first, as they do not keep."""
        if self.has_given(now, units):
            self.given.remove(next(entry for entry in self.given if entry[1] >= units))
        else:
            self.ceiling -= units

    def spend(self, units: float) -> None:
        small = self.plan.quota_burst * self.reach < 1
        owes_us = SMALL_STORE_US if small else DEMAND_US  # for no longer
        least = -self.plan.quota_rate * self.reach * owes_us / SECOND_US
        self.level = max(self.level - units, least)


def full_again_us(plan: Plan) -> int:
    """How long the stores of a customer take at most to be full, from what it may owe."""
    quota = plan.quota_burst / plan.quota_rate + SMALL_STORE_US / SECOND_US if plan.quota_rate else 0.0
    ceiling = plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate else 0.0
    return round(SECOND_US * max(quota, ceiling))
