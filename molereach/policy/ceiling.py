"""A customer's ceiling at one gateway: a token bucket that bounds what is forwarded, within quota or not.

The ceiling is split over the gateways of the customer's set. If the split buckets would be small, only a
fraction of the ceiling is split; the rest is a reserve at the customer's owner, which grants units of it with
its replies. A request is below the ceiling if the bucket or one grant covers all of its units; otherwise it
waits and may be given up with the reason `ceiling` (see `giving_up`). A `LimitPolicy` replaces this rule.
"""

from molereach.policy.interface.settings import Plan
from molereach.policy.time_units import SECOND_US

SMALL_CEILING_UNITS_PER_GATEWAY = 4  # a ceiling with a smaller burst has a reserve
SPLIT_FRACTION = 0.5  # fraction of a ceiling with a reserve that is split over the set
GRANT_TTL_US = 300_000  # how long after the request a grant may be used


class CeilingBucket:
    """One gateway's part of a ceiling, in units; `reserve_tokens` is used only at the customer's owner."""

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
        """The bucket is empty when the gateway starts, since what was spent before a restart is unknown."""
        self.plan = plan
        self.set_size = set_size
        self.split_fraction = SPLIT_FRACTION if has_reserve else 1.0
        accrued = plan.ceiling_rate * uptime_us / SECOND_US
        self.tokens = min(plan.ceiling_burst, accrued) * self.split_fraction / set_size
        self.grants: list[tuple[int, float]] = []  # unused grants of the owner: expiry time, units
        self.reserve_fraction = 1.0 - self.split_fraction
        self.reserve_tokens = min(self.max_reserve_tokens, accrued * self.reserve_fraction)

    def refill(self, elapsed_s: float) -> None:
        """Add what accrues in `elapsed_s` seconds to the bucket and the reserve."""
        rate = self.plan.ceiling_rate
        fraction = 1 / self.set_size * self.split_fraction
        self.tokens = min(self.plan.ceiling_burst * fraction, self.tokens + rate * elapsed_s * fraction)
        self.reserve_tokens = min(
            self.max_reserve_tokens, self.reserve_tokens + rate * elapsed_s * self.reserve_fraction
        )

    @property
    def max_reserve_tokens(self) -> float:
        """Capacity of the reserve: leaves room for granted units that may still be used."""
        outstanding = self.plan.ceiling_rate * GRANT_TTL_US / SECOND_US
        return max(0.0, self.plan.ceiling_burst - outstanding) * self.reserve_fraction

    def limit_reserve(self, splitting_members: int) -> None:
        """Limit the reserve to what those members leave that use only the split fraction of the ceiling."""
        self.reserve_fraction = (1 - self.split_fraction) * splitting_members / self.set_size
        self.reserve_tokens = min(self.reserve_tokens, self.max_reserve_tokens)

    def needs_grant(self, units: float) -> bool:
        """Whether the bucket holds fewer units and the owner may grant them."""
        return self.split_fraction < 1 and self.plan.ceiling_rate > 0 and self.tokens < units

    def has_grant(self, now_us: int, units: float) -> bool:
        """Whether one unused grant covers the units; removes expired grants."""
        self.grants = [(until_us, granted) for until_us, granted in self.grants if now_us <= until_us]
        return any(granted >= units for _, granted in self.grants)

    def add_grant(self, now_us: int, until_us: int, units: float) -> None:
        """Add a grant of the owner that expires at `until_us`."""
        self.has_grant(now_us, units)  # removes expired grants even if no request needs one any more
        self.grants.append((until_us, units))

    def spend(self, now_us: int, units: float) -> None:
        """Take forwarded units from a grant if one covers them, since grants expire, else from the bucket."""
        if self.has_grant(now_us, units):
            self.grants.remove(next(grant for grant in self.grants if grant[1] >= units))
        else:
            self.tokens -= units
