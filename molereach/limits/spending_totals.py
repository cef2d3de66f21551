"""Units that this proxy has spent of quotas owned by other proxies, and the schedule for reporting them.

Each incarnation reports a total that only increases, so a later message compensates for lost ones: Shapiro
et al., "A Comprehensive Study of Convergent and Commutative Replicated Data Types" (2011), 3.1.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from molereach.limits.settings import MAX_EVICTIONS, SECOND_US
from molereach.policy.interface.messages import CustomerKey, SpendingTotal
from molereach.policy.interface.settings import Plan

TOTAL_REPEAT_US = 300_000  # between transmissions of the same total
TOTAL_TRANSMISSIONS = 2  # of each total, as messages may be lost


class LocalSpending:
    """Units of one customer's quota that were spent here, and how often that total was sent to the owner."""

    __slots__ = ("remaining_units", "spent_units", "transmissions", "updated_us")

    def __init__(self) -> None:
        self.updated_us = 0
        self.spent_units = 0.0
        self.remaining_units = 0.0  # of the local quota
        self.transmissions = 0


class SpendingTotals:
    """Spending at one proxy by customer, and the totals that remain to be sent."""

    def __init__(self, plans: Sequence[Plan]) -> None:
        self.plans = plans
        self.entries: OrderedDict[CustomerKey, LocalSpending] = OrderedDict()  # least recently used first
        self.unsent: OrderedDict[CustomerKey, None] = OrderedDict()  # totals to be sent to their owners
        self.repeat_at_us: OrderedDict[CustomerKey, int] = OrderedDict()  # when to send a total again

    def record(self, now_us: int, key: CustomerKey, units: float, remaining_units: float) -> None:
        """Add spent units; `remaining_units` are left of the local quota."""
        entry = self.entries.pop(key, None) or LocalSpending()
        self.entries[key] = entry
        entry.updated_us = now_us
        entry.spent_units += units
        entry.remaining_units = remaining_units
        entry.transmissions = 0
        self.repeat_at_us.pop(key, None)
        self.unsent[key] = None

    def resend(self, keys: Iterable[CustomerKey]) -> None:
        """Schedule the totals of these customers as if they were new."""
        for key in keys:
            self.entries[key].transmissions = 0
            self.unsent[key] = None

    def due(self, now_us: int, max_totals: int) -> list[SpendingTotal]:
        """Return the totals to send now, at most `max_totals`."""
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
        """Whether a total remains to be sent for the first time or again."""
        return bool(self.unsent or self.repeat_at_us)

    def evict_idle(self, now_us: int, retention_us: int) -> None:
        """Remove up to `MAX_EVICTIONS` customers whose quota was not spent here for `retention_us`."""
        for _ in range(min(MAX_EVICTIONS, len(self.entries))):
            if now_us - next(iter(self.entries.values())).updated_us <= retention_us:
                return
            self.entries.popitem(last=False)

    def _total(self, now_us: int, key: CustomerKey, entry: LocalSpending) -> SpendingTotal:
        _, plan_index, _, set_size = key
        plan = self.plans[plan_index]
        elapsed_us = now_us - entry.updated_us
        refilled_units = plan.quota_rate / set_size * elapsed_us / SECOND_US
        remaining_units = min(plan.quota_burst / set_size, entry.remaining_units + refilled_units)
        return SpendingTotal(key, entry.spent_units, remaining_units)
