"""The gossip outbox: contents of messages, when they are sent, and ceiling grants."""

from dataclasses import replace

import pytest

from molereach.policy.customers import Customers
from molereach.policy.gossip import (
    MAX_DEFERRAL_US,
    MAX_SPACING_US,
    SPLIT_ADVERTISEMENT_INTERVAL_US,
    GossipOutbox,
)
from molereach.policy.interface.messages import SPLIT_CEILING_PLAN_INDEX, CustomerKey, GossipMessage
from molereach.policy.interface.settings import Plan
from molereach.policy.peer_liveness import PeerLiveness
from molereach.policy.quota import DEFER_MAX_UNREPORTED, CustomerAccount
from tests.helpers import MILLISECOND_US, SECOND_US, SETTINGS

NOW = 100 * SECOND_US
PLAN = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=4.0, ceiling_burst=7.0)
OWNED_HERE = CustomerKey(0, 0, 0, 2)  # owned by the first gateway of the set, which is the one under test
OWNED_BY_PEER = CustomerKey(1, 0, 0, 2)
SPLIT_ADVERTISEMENT = GossipMessage(0, SPLIT_CEILING_PLAN_INDEX, 0, 0)


def make_outbox(plan: Plan = PLAN, **changes: object) -> GossipOutbox:
    settings = replace(SETTINGS, plans=(plan,), proxy_count=2, **changes)
    return GossipOutbox(settings, Customers(settings, None), PeerLiveness())


def test_report_contains_new_demand_and_spending_once() -> None:
    outbox = make_outbox()
    account = outbox.customers.refreshed_account(NOW, OWNED_BY_PEER)
    account.unreported_demand, account.unreported_units = 3.0, 2.0
    outbox.enqueue(1, account, 1.0)
    outbox.enqueue(1, account, 0.0)
    (sent,) = outbox.take_due(NOW)
    assert sent.peer == 1
    assert sent.messages == (
        GossipMessage(*OWNED_BY_PEER, demand=3.0, spent_units=2.0, requested_units=1.0, tokens=20.0),
        GossipMessage(*OWNED_BY_PEER, tokens=20.0),
        SPLIT_ADVERTISEMENT,
    )
    assert not outbox.waiting and not outbox.take_due(NOW)


def test_reply_contains_tokens_and_grants_units_unless_the_draw_rejected() -> None:
    outbox = make_outbox()
    account = outbox.customers.refreshed_account(NOW, OWNED_HERE)
    account.local_demand, account.remote_demand, reserve_tokens = 1.0, 2.0, account.ceiling.reserve_tokens
    outbox.enqueue(1, account, 1.0, True)
    outbox.enqueue(1, account, 1.0, False)
    outbox.enqueue(0, account, 0.0)  # sends nothing to itself
    (sent,) = outbox.take_due(NOW)
    assert sent.messages == (
        GossipMessage(*OWNED_HERE, True, 3.0, 0.0, 1.0, 20.0, True, True),
        GossipMessage(*OWNED_HERE, True, 3.0, 0.0, 1.0, 20.0, False, False),
        SPLIT_ADVERTISEMENT,
    )
    assert account.ceiling.reserve_tokens == reserve_tokens - 1.0


def test_messages_to_a_peer_are_spaced_and_split_advertisements_are_periodic() -> None:
    outbox = make_outbox(gossip_messages_per_s=1.0)
    account = outbox.customers.refreshed_account(NOW, OWNED_BY_PEER)
    advertised = []
    for offset_us in (0, MAX_SPACING_US - 1, MAX_SPACING_US, SPLIT_ADVERTISEMENT_INTERVAL_US):
        outbox.enqueue(1, account, 0.0)
        advertised.append([SPLIT_ADVERTISEMENT in sent.messages for sent in outbox.take_due(NOW + offset_us)])
    assert advertised == [[True], [], [False], [True]]
    outbox_without_ceiling = make_outbox(Plan(quota_rate=10.0, quota_burst=20.0))
    outbox_without_ceiling.enqueue(
        1, outbox_without_ceiling.customers.refreshed_account(NOW, OWNED_BY_PEER), 0.0
    )
    assert SPLIT_ADVERTISEMENT not in outbox_without_ceiling.take_due(NOW)[0].messages


def test_owner_grants_no_more_than_its_reserve() -> None:
    outbox = make_outbox()
    account = outbox.customers.refreshed_account(NOW, OWNED_HERE)
    assert account.ceiling.reserve_tokens == pytest.approx((7.0 - 1.2) / 2)
    assert (
        outbox.grant_ceiling(account, 1.0)
        and outbox.grant_ceiling(account, 1.0)
        and not outbox.grant_ceiling(account, 1.0)
    )
    outbox.peer_liveness.record_message(NOW, 1)  # without a split advertisement: an older version
    account.ceiling.reserve_tokens = 2.0
    assert outbox.grant_ceiling(account, 1.0) and account.ceiling.reserve_fraction == 0.25
    assert account.ceiling.reserve_tokens == pytest.approx((7.0 - 1.2) / 4 - 1.0)
    account.ceiling.reserve_tokens, account.tokens = 1.0, 0.5
    assert not outbox.grant_ceiling(account, 1.0)  # a grant beyond the quota would be lost


def spend(outbox: GossipOutbox, key: CustomerKey, now_us: int, units: float = 1.0) -> CustomerAccount:
    """A request is admitted by the local bucket."""
    account = outbox.customers.refreshed_account(now_us, key)
    account.local_demand, account.unreported_demand = (
        account.local_demand + units,
        account.unreported_demand + units,
    )
    outbox.customers.spend(now_us, account, units)
    outbox.report_spending(now_us, account)
    return account


def test_spending_of_a_full_local_bucket_is_one_deferred_report() -> None:
    """All spending within the deferral is one message; the reported demand has decayed in the meantime."""
    outbox = make_outbox(Plan(quota_rate=10.0, quota_burst=40.0))
    # Without a deferred report, no wake-up is due.
    assert outbox.due_us > NOW + SPLIT_ADVERTISEMENT_INTERVAL_US
    for number in range(4):
        spend(outbox, OWNED_BY_PEER, NOW + number * MILLISECOND_US)
        assert not outbox.take_due(NOW + number * MILLISECOND_US)
    assert outbox.due_us == NOW + MAX_DEFERRAL_US and not outbox.waiting
    assert not outbox.take_due(NOW + MAX_DEFERRAL_US - 1)
    (sent,) = outbox.take_due(NOW + MAX_DEFERRAL_US)
    (message,) = sent.messages
    assert (
        sent.peer == 1
        and message.spent_units == 4.0
        and message.requested_units == 0
        and message.demand < 4.0 / 99
    )
    assert (
        not outbox.deferred
        and not outbox.deferred_since_us
        and not outbox.take_due(NOW + 2 * MAX_DEFERRAL_US)
    )


def test_request_includes_deferred_reports() -> None:
    outbox = make_outbox(Plan(quota_rate=10.0, quota_burst=40.0))
    account = spend(outbox, OWNED_BY_PEER, NOW)
    outbox.enqueue(1, account, 1.0)
    assert [message.spent_units for sent in outbox.take_due(NOW + 1) for message in sent.messages] == [1.0]
    assert not outbox.take_due(NOW + MAX_DEFERRAL_US) and not outbox.deferred


@pytest.mark.parametrize(("local_tokens", "spent_units"), [(9.9, 0.0), (20.0, 5.0)])
def test_low_local_tokens_and_large_unreported_spending_are_reported_at_once(
    local_tokens: float, spent_units: float
) -> None:
    """The owner's bucket, by which it draws, may be wrong by at most a quarter of the local buckets."""
    outbox = make_outbox(Plan(quota_rate=10.0, quota_burst=40.0))
    account = outbox.customers.refreshed_account(NOW, OWNED_BY_PEER)
    account.local_tokens, account.unreported_units = local_tokens, spent_units
    spend(outbox, OWNED_BY_PEER, NOW)
    assert [message.spent_units for sent in outbox.take_due(NOW) for message in sent.messages] == [
        spent_units + 1.0
    ]


def test_small_local_bucket_reports_each_unit_at_once() -> None:
    outbox = make_outbox(Plan(quota_rate=10.0, quota_burst=2 * (1 / DEFER_MAX_UNREPORTED - 0.1)))
    spend(outbox, OWNED_BY_PEER, NOW)
    assert [message.spent_units for sent in outbox.take_due(NOW) for message in sent.messages] == [1.0]


def test_deferred_reports_are_sent_in_order_of_their_due_times() -> None:
    settings = replace(SETTINGS, plans=(Plan(quota_rate=10.0, quota_burst=60.0),), proxy_count=3)
    outbox = GossipOutbox(settings, Customers(settings, None), PeerLiveness())
    first, second = CustomerKey(1, 0, 0, 3), CustomerKey(2, 0, 0, 3)
    spend(outbox, second, NOW)
    spend(outbox, first, NOW + MILLISECOND_US)
    spend(outbox, second, NOW + 2 * MILLISECOND_US)
    assert [sent.peer for sent in outbox.take_due(NOW + MAX_DEFERRAL_US)] == [2]
    assert outbox.due_us == NOW + MILLISECOND_US + MAX_DEFERRAL_US
    assert [sent.peer for sent in outbox.take_due(NOW + MILLISECOND_US + MAX_DEFERRAL_US)] == [1]


def test_deferred_report_goes_to_the_current_owner() -> None:
    """With a limit policy, the owner may change before the report is sent, also to this gateway itself."""
    outbox = make_outbox(Plan(quota_rate=10.0, quota_burst=40.0))
    spend(outbox, OWNED_BY_PEER, NOW).owner = 0
    assert (
        not outbox.take_due(NOW + MAX_DEFERRAL_US)
        and outbox.customers.accounts[OWNED_BY_PEER].unreported_units == 0
    )
