"""What this proxy has spent of quotas whose owner is another, and when the owner is notified.

A total that only grows, one for each incarnation of a proxy, makes good what was lost on the way: Shapiro
et al., "A Comprehensive Study of Convergent and Commutative Replicated Data Types" (2011), 3.1.
"""

from collections.abc import Iterable, Sequence

from molereach.limits.settings import SECOND_US
from molereach.policy.interface.messages import CustomerKey, SpendingTotal
from molereach.policy.interface.settings import Plan

TOTAL_REPEAT_US = 300_000  # between two transmissions of a total
TOTAL_TRANSMISSIONS = 2  # as messages may be lost


class LocalSpending:
    """What was spent here of one customer's quota, and how often its owner was notified of it."""

    __slots__ = ("remaining_units", "spent_units", "transmissions", "updated_us")

    def __init__(self) -> None:
        self.updated_us = 0
        self.spent_units = 0.0
        self.remaining_units = 0.0  # of the local quota
        self.transmissions = 0


class SpendingTotals:
    """The spending of one proxy by customer, and which totals are still to be sent."""

    def __init__(self, plans: Sequence[Plan]) -> None:
        self.plans = plans
        self.entries: dict[CustomerKey, LocalSpending] = {}  # the most recently used one last
        self.unsent: dict[CustomerKey, None] = {}  # spending of which the owner has not been notified
        self.repeat_at_us: dict[CustomerKey, int] = {}  # when a total is sent once more

    def record(self, now_us: int, key: CustomerKey, units: float, remaining_units: float) -> None:
        """Add what was spent; `remaining_units` are left of the local quota."""
        entry = self.entries.pop(key, None) or LocalSpending()
        self.entries[key] = entry
        entry.updated_us = now_us
        entry.spent_units += units
        entry.remaining_units = remaining_units
        entry.transmissions = 0
        self.repeat_at_us.pop(key, None)
        self.unsent[key] = None

    def resend(self, keys: Iterable[CustomerKey]) -> None:
        """Send the totals of these customers anew, as often as new ones."""
        for key in keys:
            self.entries[key].transmissions = 0
            self.unsent[key] = None

    def due(self, now_us: int, max_totals: int) -> list[SpendingTotal]:
        """Totals to be sent now, at most so many."""
        totals: list[SpendingTotal] = []
        while self.repeat_at_us and len(totals) < max_totals:
            key, repeat_us = next(iter(self.repeat_at_us.items()))
            if repeat_us > now_us:
                break
            del self.repeat_at_us[key]
            self.unsent[key] = None
        while self.unsent and len(totals) < max_totals:
            key = next(iter(self.unsent))
            del self.unsent[key]
            entry = self.entries.get(key)
            if entry is None:
                continue
            totals.append(self._total(now_us, key, entry))
            entry.transmissions += 1
            if entry.transmissions < TOTAL_TRANSMISSIONS:
                self.repeat_at_us[key] = now_us + TOTAL_REPEAT_US
        return totals

    def has_pending(self) -> bool:
        """Whether a total is to be sent, now or once more."""
        return bool(self.unsent or self.repeat_at_us)

    def evict_idle(self, now_us: int, retention_us: int) -> None:
        """Forget customers of which nothing was spent for so long."""
        while self.entries and now_us - next(iter(self.entries.values())).updated_us > retention_us:
            del self.entries[next(iter(self.entries))]

    def _total(self, now_us: int, key: CustomerKey, entry: LocalSpending) -> SpendingTotal:
        _, plan_index, _, set_size = key
        plan = self.plans[plan_index]
        elapsed_us = now_us - entry.updated_us
        refilled_units = plan.quota_rate / set_size * elapsed_us / SECOND_US
        remaining_units = min(plan.quota_burst / set_size, entry.remaining_units + refilled_units)
        return SpendingTotal(key, entry.spent_units, remaining_units)
