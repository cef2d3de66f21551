"""Words to peers without a gateway: what they say, when they leave, and what the home gives."""

from dataclasses import replace

import pytest

from molereach.policy.customers import Customers
from molereach.policy.gossip import MAX_DEFERRAL_US, MAX_SPACING_US, SPLIT_MARK_INTERVAL_US, GossipOutbox
from molereach.policy.interface.messages import SPLIT_CEILING_MARK, CustomerKey, GossipMessage
from molereach.policy.interface.settings import Plan
from molereach.policy.peer_liveness import PeerLiveness
from molereach.policy.quota import DEFER_MAX_UNREPORTED, CustomerAccount
from tests.helpers import MS, SETTINGS, S

NOW = 100 * S
PLAN = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=4.0, ceiling_burst=7.0)
HERE = CustomerKey(0, 0, 0, 2)  # its home is the first of the set
THERE = CustomerKey(1, 0, 0, 2)
MARK = GossipMessage(0, SPLIT_CEILING_MARK, 0, 0)


def words_of(plan: Plan = PLAN, **changes: object) -> GossipOutbox:
    settings = replace(SETTINGS, plans=(plan,), proxy_count=2, **changes)
    return GossipOutbox(settings, Customers(settings, None), PeerLiveness())


def test_word_says_what_is_new_once() -> None:
    words = words_of()
    customer = words.customers.get(NOW, THERE)
    customer.unreported_demand, customer.unreported_units = 3.0, 2.0
    words.enqueue(1, customer, 1.0)
    words.enqueue(1, customer, 0.0)
    (tell,) = words.take_due(NOW)
    assert tell.peer == 1
    assert tell.messages == (
        GossipMessage(*THERE, demand=3.0, spent_units=2.0, requested_units=1.0, tokens=20.0),
        GossipMessage(*THERE, tokens=20.0),
        MARK,
    )
    assert not words.waiting and not words.take_due(NOW)


def test_answer_says_what_the_set_has_left_and_brings_units_unless_the_draw_refused() -> None:
    words = words_of()
    customer = words.customers.get(NOW, HERE)
    customer.local_demand, customer.remote_demand, pool = 1.0, 2.0, customer.ceiling.reserve_tokens
    words.enqueue(1, customer, 1.0, True)
    words.enqueue(1, customer, 1.0, False)
    words.enqueue(0, customer, 0.0)  # none to itself
    (tell,) = words.take_due(NOW)
    assert tell.messages == (
        GossipMessage(*HERE, True, 3.0, 0.0, 1.0, 20.0, True, True),
        GossipMessage(*HERE, True, 3.0, 0.0, 1.0, 20.0, False, False),
        MARK,
    )
    assert customer.ceiling.reserve_tokens == pool - 1.0


def test_words_to_a_peer_are_spaced_and_the_mark_comes_now_and_then() -> None:
    words = words_of(gossip_messages_per_s=1.0)
    customer = words.customers.get(NOW, THERE)
    marks = []
    for at in (0, MAX_SPACING_US - 1, MAX_SPACING_US, SPLIT_MARK_INTERVAL_US):
        words.enqueue(1, customer, 0.0)
        marks.append([MARK in tell.messages for tell in words.take_due(NOW + at)])
    assert marks == [[True], [], [False], [True]]
    unsplit = words_of(Plan(quota_rate=10.0, quota_burst=20.0))
    unsplit.enqueue(1, unsplit.customers.get(NOW, THERE), 0.0)
    assert MARK not in unsplit.take_due(NOW)[0].messages


def test_home_gives_what_the_set_leaves_and_no_more() -> None:
    words = words_of()
    customer = words.customers.get(NOW, HERE)
    assert customer.ceiling.reserve_tokens == pytest.approx((7.0 - 1.2) / 2)
    assert (
        words.grant_ceiling(customer, 1.0)
        and words.grant_ceiling(customer, 1.0)
        and not words.grant_ceiling(customer, 1.0)
    )
    words.peers.record_message(NOW, 1)  # an older one
    customer.ceiling.reserve_tokens = 2.0
    assert words.grant_ceiling(customer, 1.0) and customer.ceiling.reserve_fraction == 0.25
    assert customer.ceiling.reserve_tokens == pytest.approx((7.0 - 1.2) / 4 - 1.0)
    customer.ceiling.reserve_tokens, customer.tokens = 1.0, 0.5
    assert not words.grant_ceiling(customer, 1.0)  # what the quota refuses would be lost


def spend(words: GossipOutbox, key: CustomerKey, now: int, units: float = 1.0) -> CustomerAccount:
    """A request is let in by the part here."""
    customer = words.customers.get(now, key)
    customer.local_demand, customer.unreported_demand = (
        customer.local_demand + units,
        customer.unreported_demand + units,
    )
    words.customers.spend(now, customer, units)
    words.report_spending(now, customer)
    return customer


def test_what_a_full_part_spends_is_one_word_in_time() -> None:
    """All of half a second is one word, however many requests there were; its demand has aged meanwhile."""
    words = words_of(Plan(quota_rate=10.0, quota_burst=40.0))
    assert words.due_us > NOW + SPLIT_MARK_INTERVAL_US  # nothing wakes the gateway up for nothing
    for number in range(4):
        spend(words, THERE, NOW + number * MS)
        assert not words.take_due(NOW + number * MS)
    assert words.due_us == NOW + MAX_DEFERRAL_US and not words.waiting
    assert not words.take_due(NOW + MAX_DEFERRAL_US - 1)
    (tell,) = words.take_due(NOW + MAX_DEFERRAL_US)
    (word,) = tell.messages
    assert tell.peer == 1 and word.spent_units == 4.0 and word.requested_units == 0 and word.demand < 4.0 / 99
    assert (
        not words.deferred and not words.deferred_since_us and not words.take_due(NOW + 2 * MAX_DEFERRAL_US)
    )


def test_ask_takes_with_it_what_would_have_been_told_late() -> None:
    words = words_of(Plan(quota_rate=10.0, quota_burst=40.0))
    customer = spend(words, THERE, NOW)
    words.enqueue(1, customer, 1.0)
    assert [word.spent_units for tell in words.take_due(NOW + 1) for word in tell.messages] == [1.0]
    assert not words.take_due(NOW + MAX_DEFERRAL_US) and not words.deferred


@pytest.mark.parametrize(("part", "spent"), [(9.9, 0.0), (20.0, 5.0)])
def test_part_that_runs_low_and_much_that_is_untold_are_told_at_once(part: float, spent: float) -> None:
    """The home lets in what is asked by its store: that may be off by a quarter of the parts and no more."""
    words = words_of(Plan(quota_rate=10.0, quota_burst=40.0))
    customer = words.customers.get(NOW, THERE)
    customer.local_tokens, customer.unreported_units = part, spent
    spend(words, THERE, NOW)
    assert [word.spent_units for tell in words.take_due(NOW) for word in tell.messages] == [spent + 1.0]


def test_small_part_is_told_of_each_unit_at_once() -> None:
    words = words_of(Plan(quota_rate=10.0, quota_burst=2 * (1 / DEFER_MAX_UNREPORTED - 0.1)))
    spend(words, THERE, NOW)
    assert [word.spent_units for tell in words.take_due(NOW) for word in tell.messages] == [1.0]


def test_words_told_late_come_in_the_order_in_which_their_time_is_up() -> None:
    settings = replace(SETTINGS, plans=(Plan(quota_rate=10.0, quota_burst=60.0),), proxy_count=3)
    words = GossipOutbox(settings, Customers(settings, None), PeerLiveness())
    first, second = CustomerKey(1, 0, 0, 3), CustomerKey(2, 0, 0, 3)
    spend(words, second, NOW)
    spend(words, first, NOW + MS)
    spend(words, second, NOW + 2 * MS)
    assert [tell.peer for tell in words.take_due(NOW + MAX_DEFERRAL_US)] == [2]
    assert words.due_us == NOW + MS + MAX_DEFERRAL_US
    assert [tell.peer for tell in words.take_due(NOW + MS + MAX_DEFERRAL_US)] == [1]


def test_word_goes_to_the_home_that_there_is_by_then() -> None:
    """Where shares move a customer may have another home by the time it is told of, or be at home here."""
    words = words_of(Plan(quota_rate=10.0, quota_burst=40.0))
    spend(words, THERE, NOW).owner = 0
    assert not words.take_due(NOW + MAX_DEFERRAL_US) and words.customers.accounts[THERE].unreported_units == 0
