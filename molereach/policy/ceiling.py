"""A customer's ceiling at one gateway: a token bucket for what may be forwarded, within its quota or not.

The ceiling is split over the gateways of the customer's set. Where the split buckets would be small, only a
fraction of the ceiling is split; the rest is a reserve of the customer's owner, which grants units of it with
its replies. A request is below the ceiling where the bucket or a grant holds all of its units; else it waits
and is given up as `ceiling` (see `giving_up`). Where a `LimitPolicy` is in use it replaces this rule.
"""

from molereach.policy.interface.settings import Plan
from molereach.policy.time_units import SECOND_US

SMALL_CEILING_TOKENS = 4  # units per gateway below which a ceiling has a reserve
SPLIT_FRACTION = 0.5  # of a ceiling with a reserve: what is split over the set
GRANT_TTL_US = 300_000  # for how long after its request a grant may be used


class CeilingBucket:
    """One gateway's part of a ceiling, in units; `reserve_tokens` counts at the customer's owner only."""

    __slots__ = (
        "grants",
        "plan",
        "reserve_fraction",
        "reserve_tokens",
        "set_size",
        "split_fraction",
        "tokens",
    )

    def __init__(self, plan: Plan, set_size: int, uptime_us: int, has_reserve: bool) -> None:
        """It is empty at the gateway's start, as a restart looks like a first one; it fills from then on."""
        self.plan = plan
        self.set_size = set_size
        self.split_fraction = SPLIT_FRACTION if has_reserve else 1.0
        filled = plan.ceiling_rate * uptime_us / SECOND_US
        self.tokens = min(plan.ceiling_burst, filled) * self.split_fraction / set_size
        self.grants: list[tuple[int, float]] = []  # unused grants of the owner: until when, units
        self.reserve_fraction = 1.0 - self.split_fraction
        self.reserve_tokens = min(self.max_reserve_tokens, filled * self.reserve_fraction)

    def refill(self, elapsed_s: float) -> None:
        """Refill the bucket and the reserve by what `elapsed_s` seconds bring."""
        rate = self.plan.ceiling_rate
        fraction = 1 / self.set_size * self.split_fraction
        self.tokens = min(self.plan.ceiling_burst * fraction, self.tokens + rate * elapsed_s * fraction)
        self.reserve_tokens = min(
            self.max_reserve_tokens, self.reserve_tokens + rate * elapsed_s * self.reserve_fraction
        )

    @property
    def max_reserve_tokens(self) -> float:
        """What the reserve holds: less what may still be used of units that were granted."""
        outstanding = self.plan.ceiling_rate * GRANT_TTL_US / SECOND_US
        return max(0.0, self.plan.ceiling_burst - outstanding) * self.reserve_fraction

    def limit_reserve(self, splitting_members: int) -> None:
        """The reserve is what the gateways of the set leave: those that keep to the split fraction."""
        self.reserve_fraction = (1 - self.split_fraction) * splitting_members / self.set_size
        self.reserve_tokens = min(self.reserve_tokens, self.max_reserve_tokens)

    def needs_grant(self, units: float) -> bool:
        """Whether the bucket does not hold so many units and the owner may grant them."""
        return self.split_fraction < 1 and self.plan.ceiling_rate > 0 and self.tokens < units

    def has_grant(self, now_us: int, units: float) -> bool:
        """Whether one unused grant holds so many units; expired ones are removed."""
        self.grants = [(until_us, granted) for until_us, granted in self.grants if now_us <= until_us]
        return any(granted >= units for _, granted in self.grants)

    def add_grant(self, now_us: int, until_us: int, units: float) -> None:
        """The owner granted units that may be used until then."""
        self.has_grant(now_us, units)  # removes the expired ones even if no request needs a grant any more
        self.grants.append((until_us, units))

    def spend(self, now_us: int, units: float) -> None:
        """Units are forwarded: of a grant first, as it expires."""
        if self.has_grant(now_us, units):
            self.grants.remove(next(grant for grant in self.grants if grant[1] >= units))
        else:
            self.tokens -= units
