"""Limits of one proxy: bounded messages, and no state left of customers that sent a single request."""

from molereach.limits.core import Limits
from molereach.limits.settings import SECOND_US, LimitSettings
from molereach.policy.interface.messages import CustomerKey
from molereach.policy.interface.settings import Plan, Settings

MILLISECOND_US = 1_000
PLAN = Plan(quota_rate=1.0, quota_burst=1.0, ceiling_rate=30.0, ceiling_burst=60.0)


def test_thousands_of_customers_stay_within_the_message_budget_and_are_evicted() -> None:
    settings = Settings(
        seed=1, proxy_index=0, proxy_count=3, classes=(), plans=(PLAN,), gossip_messages_per_s=60.0
    )
    limits = Limits(settings, LimitSettings(reserved_fraction=0.1))
    limits.start(0)
    sent_count = 0
    for number in range(5000):
        now_us = 10 * SECOND_US + number * MILLISECOND_US
        key: CustomerKey = (number, 0, 0, 3)
        limits.request_capacity(now_us, key, 100.0)
        limits.record_spending(now_us, key, 1.0, 0.0)
        sent_count += len([due for due in limits.due_messages(now_us) if due.message])
    assert sent_count < 2 * 120 * 6  # message budget of two peers
    now_us = 15 * SECOND_US
    for _ in range(400):
        now_us += 100 * MILLISECOND_US
        limits.due_messages(now_us)
    assert not limits.escrow.accounts
    assert not limits.partition_quota.totals.entries
    assert not limits.partition_quota.totals.unsent
    assert not limits.partition_quota.totals.repeat_at_us
    assert len(limits.escrow.borrowing.plan_queue) < 10
