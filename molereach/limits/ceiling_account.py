"""One customer's ceiling at one proxy: a token bucket whose rate and burst scale with the usable share."""

import math

from molereach.limits.loans import FULL_SHARE, BorrowedShare, Loan
from molereach.limits.settings import SECOND_US
from molereach.policy.interface.settings import Plan

DEMAND_DECAY_US = 400_000  # time constant of the moving average of demand
SHORTAGE_US = SECOND_US // 4  # how long the full ceiling is requested after a shortage of tokens
DEMAND_HEADROOM = 1.3  # ratio of the requested share to the demand


class CeilingAccount:
    """Share, tokens, demand and loans of one customer's ceiling."""

    __slots__ = (
        "base_share",
        "base_usable_from_us",
        "borrowed",
        "burst",
        "consumed_units",
        "demand_units",
        "loans",
        "members",
        "next_plan_us",
        "rate",
        "shortage_us",
        "tokens",
        "updated_us",
    )

    def __init__(self, plan: Plan, members: tuple[int, ...], now_us: int) -> None:
        """Create an empty account for a plan with a ceiling; `members` is the customer's set of proxies."""
        self.rate = plan.ceiling_rate
        self.burst = plan.ceiling_burst
        self.members = members
        self.base_share = FULL_SHARE // len(members)  # owned by this proxy
        self.base_usable_from_us = now_us  # until then, a loan of an earlier incarnation may be in use
        self.updated_us = now_us
        self.tokens = 0.0
        self.demand_units = 0.0
        self.consumed_units = 0.0
        self.shortage_us = -SECOND_US
        self.next_plan_us = 0  # next planning of its loans, 0 for none
        self.loans: dict[int, Loan] = {}  # by borrower
        self.borrowed: dict[int, BorrowedShare] = {}  # by lender

    def usable_share(self, now_us: int) -> int:
        """The share usable here now: what is not lent of the proxy's own share, plus what is borrowed."""
        remaining = 0
        if now_us >= self.base_usable_from_us:
            remaining = self.base_share - sum(loan.lent_share(now_us) for loan in self.loans.values())
        return max(0, remaining) + sum(borrowed.usable_share(now_us) for borrowed in self.borrowed.values())

    def needed_share(self, now_us: int) -> int:
        """The share required by the local demand."""
        if now_us - self.shortage_us < SHORTAGE_US:
            return FULL_SHARE
        demand_rate = DEMAND_HEADROOM * self.demand_units * SECOND_US / DEMAND_DECAY_US
        return min(FULL_SHARE, math.ceil(demand_rate / self.rate * FULL_SHARE))

    def refill(self, now_us: int, refill_factor: float) -> None:
        """Add the tokens accrued since the last call, in segments between changes of the usable share.

        A `refill_factor` below 1 keeps a fast clock from adding tokens too early.
        """
        if now_us <= self.updated_us:
            return
        if self.loans or self.borrowed or self.updated_us < self.base_usable_from_us:
            for change_us in self._share_changes_us(now_us):
                self._advance(change_us, refill_factor)
        self._advance(now_us, refill_factor)
        self.limit_to_burst(now_us)

    def limit_to_burst(self, now_us: int) -> None:
        """Discard tokens beyond the burst of the currently usable share."""
        self.tokens = min(self.tokens, self.burst * self.usable_share(now_us) / FULL_SHARE)

    def _share_changes_us(self, now_us: int) -> list[int]:
        changes_us = {expiry_us for loan in self.loans.values() for expiry_us in loan.expiry_times_us()}
        changes_us |= {borrowed.granted_until_us for borrowed in self.borrowed.values()}
        changes_us.add(self.base_usable_from_us)
        return sorted(change_us for change_us in changes_us if self.updated_us < change_us < now_us)

    def _advance(self, now_us: int, refill_factor: float) -> None:
        usable_fraction = self.usable_share(self.updated_us) / FULL_SHARE
        elapsed_s = (now_us - self.updated_us) / SECOND_US
        refilled_tokens = self.tokens + self.rate * refill_factor * usable_fraction * elapsed_s
        self.tokens = min(self.burst * usable_fraction, refilled_tokens)
        self.demand_units *= math.exp(-elapsed_s * SECOND_US / DEMAND_DECAY_US)
        self.updated_us = now_us
