"""Quotas over a set of gateways: the home, its words, and those that are lost."""

import zlib
from dataclasses import replace
from random import Random

import pytest

from molereach.policy.gossip import MAX_DEFERRAL_US
from molereach.policy.interface.actions import FailRequest, ForwardAttempt, Reject, SendGossip, SetTimer
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    EndpointListKind,
    EndpointListReceived,
    GossipReceived,
)
from molereach.policy.interface.messages import CustomerKey, GossipMessage
from molereach.policy.interface.settings import Plan
from tests.helpers import MS, PLAN, SETTINGS, S, Set, World, of
from tests.policy.gateways import UNSAFE, with_class


def peer_customer(world: World) -> str:
    """A customer whose home is the other gateway of two, with this one's part of its burst used up."""
    name = next(f"c{n}" for n in range(9) if zlib.crc32(f"c{n}".encode()) % 2)
    for number in range(10):
        world.ask(f"used{number}", customer=name, set_size=2)
        world.answer(f"used{number}")
    return name


@pytest.mark.parametrize("count", [1, 2, 20])
def test_burst_and_rate_are_the_customers_whole(count: int) -> None:
    """A part far under one unit must not keep a customer from its quota, nor many parts from holding it."""
    gates = Set(count)
    for n in range(60):
        gates.ask(n * 7 % count, f"r{n}")
        gates.run(10 * MS)
    gates.run(S)
    assert 19 <= gates.sent() <= 35  # a burst of 20, what came back in 0.6 s and while demand aged
    before = gates.sent()
    for n in range(600):
        gates.ask(n * 7 % count, f"more{n}")
        gates.run(10 * MS)
    gates.run(S)
    assert gates.sent() - before == pytest.approx(60, abs=16)  # 10 a second for 6 s, of 100 asked


def test_granted_asks_are_counted_once() -> None:
    """The home counts what it grants; what members tell it later must not be the same units again."""
    gates, homes = Set(20, replace(SETTINGS, plans=(replace(PLAN, quota_burst=10.0),))), []
    for n in range(300):
        gates.ask(n * 7 % 20, f"r{n}")
        gates.run(110 * MS)
        homes = [
            world.gateway
            for world in gates.worlds
            for customer in world.gateway.customers.accounts.values()
            if customer.owner == world.gateway.settings.proxy_index
        ]
    level = next(iter(homes[0].customers.accounts.values())).tokens
    assert level > 6  # of 10, at nine tenths of the rate


def test_what_is_granted_but_not_sent_comes_back_to_the_quota() -> None:
    gates = Set(20)
    for world in gates.worlds:
        world.tell(EndpointListReceived(EndpointListKind.FULL, 2, ()))
    for _ in range(3):
        for n in range(20):
            gates.ask(n, f"r{gates.worlds[n].now}")
        gates.run(4 * S)
    levels = [
        customer.tokens
        for world in gates.worlds
        for customer in world.gateway.customers.accounts.values()
        if customer.owner == world.gateway.settings.proxy_index
    ]
    assert levels == [pytest.approx(20, abs=0.5)]


def test_quota_is_used_with_words_lost_or_the_home_dead() -> None:
    """Requests inside the quota leave without a word from the home, and in time."""
    for loss, down in ((0.3, -1), (0.0, 3)):
        gates = Set(20, loss=loss)
        gates.down = down
        for n in range(200):
            if n * 7 % 20 != down:
                gates.ask(n * 7 % 20, f"r{n}")
            gates.run(200 * MS)
        assert gates.sent() >= 180


def test_messages_stay_under_half_the_intake() -> None:
    """However much one customer asks, its home can take in what is told of it."""
    for count in (3, 40):
        gates, taken = Set(count), 0
        for n in range(2000):
            gates.ask(n * 7 % count, f"r{n}")
            if n % 4 == 3:
                gates.run(10 * MS)
                most = max(sum(peer == me for _, peer, _ in gates.posted) for me in range(count))
                taken += most
        assert taken / 5 <= 60


def test_home_is_wrong_by_little_and_for_a_short_time() -> None:
    """What it has not heard of is a quarter of the others' parts at most, at any time, however the customer's
    requests come; and nothing half a second after the last one."""
    plan, size = replace(PLAN, quota_rate=8.0, quota_burst=64.0), 4
    gates, random = Set(size, replace(SETTINGS, plans=(plan,))), Random(5)

    def untold() -> float:
        return sum(
            max(0.0, customer.unreported_units)
            for world in gates.worlds
            for customer in world.gateway.customers.accounts.values()
        )

    most = 0.0
    for n in range(400):
        for m in range(random.choice((0, 0, 0, 1, 1, 8))):
            gates.ask(random.choice((0, 1, 2, 3, 3, 3)), f"r{n}-{m}")
        most = max(most, untold())
        gates.run(20 * MS)
    full = plan.quota_burst / size
    assert full / 8 < most <= (size - 1) * full / 4
    gates.run(MAX_DEFERRAL_US + 100 * MS)
    assert untold() == 0


def test_quiet_customers_cost_few_messages_and_no_wake_ups() -> None:
    """Ten of a home's customers ask at another gateway: they are one message in half a second."""
    world = World(
        replace(SETTINGS, proxy_count=2, plans=(replace(PLAN, quota_rate=40.0, quota_burst=200.0),))
    )
    names = [name for name in (f"c{n}" for n in range(40)) if zlib.crc32(name.encode()) % 2][:10]
    for n in range(100):
        world.ask(f"r{n}", customer=names[n % 10], set_size=2)
        world.answer(f"r{n}")
        world.run(50 * MS)
    tells = of(SendGossip, [action for _, action in world.log])
    assert 8 <= len(tells) <= 10 and all(len(tell.messages) <= 10 for tell in tells)
    world.run(S)
    world.ask("last", customer=names[0], set_size=2)
    world.answer("last")
    asked, before = world.now, len(world.log)
    world.run(2 * S)
    after = world.log[before:]
    (told,) = [at for at, action in after if isinstance(action, SendGossip)]
    assert MAX_DEFERRAL_US <= told - asked <= MAX_DEFERRAL_US + 20 * MS
    assert len([at for at, action in after if isinstance(action, SetTimer) and at <= told]) <= 3


def test_words_from_outside_are_checked() -> None:
    world = World(replace(SETTINGS, proxy_count=2))
    huge = GossipMessage(1, 0, 0, 2, demand=1e9, requested_units=1e9, tokens=-1e9)
    for word in (GossipMessage(1, 9, 0, 2), GossipMessage(1, 0, 5, 1), GossipMessage(1, 0, 0, 0), huge):
        world.tell(GossipReceived(1, (word,)))
    assert len(world.gateway.customers.accounts) == 1


def test_idle_gateway_wakes_up_once_a_period() -> None:
    world = World()
    world.run(10 * S)
    assert len(of(SetTimer, [action for _, action in world.log])) <= 12


def test_customers_seen_long_ago_are_forgotten() -> None:
    world = World()
    for n in range(50):
        world.ask(f"r{n}", customer=f"c{n}")
        world.answer(f"r{n}")
    world.run(90 * S)
    assert not world.gateway.customers.accounts


def test_no_time_left_costs_no_quota() -> None:
    world = World()
    for n in range(30):
        world.ask(f"r{n}", left_us=100 * MS)
    assert next(iter(world.gateway.customers.accounts.values())).tokens == 20


def test_max_out_plan() -> None:
    world = World(replace(SETTINGS, plans=(Plan(max_in_flight=2),)))
    assert of(ForwardAttempt, world.ask("a")) and of(ForwardAttempt, world.ask("b"))
    assert of(Reject, world.ask("c"))
    world.answer("a")
    assert of(ForwardAttempt, world.ask("d"))


def test_true_units_are_settled() -> None:
    world = World(replace(SETTINGS, costs_are_corrected=True))
    world.ask("a")
    server, sent, _ = world.out.pop(("a", 0))
    world.tell(AttemptEnded("a", True, 0, server, AttemptResult.OK, world.now - sent, actual_units=4.0))
    assert next(iter(world.gateway.customers.accounts.values())).tokens == pytest.approx(16)


@pytest.mark.parametrize("left", [5, 30, 60, 90, 130, 200, 260])
def test_who_waits_for_word_is_answered_in_time(left: int) -> None:
    """Clients that come with little time left, and a home that never answers."""
    gates = Set(
        20, with_class(replace(UNSAFE, latency_objective_us=2 * S), plans=(replace(PLAN, quota_burst=2.0),))
    )
    for me, world in enumerate(gates.worlds):
        gates.down = me
        world.tell(EndpointListReceived(EndpointListKind.FULL, 2, ()))
        world.gateway.attempts.mean_latency_us = [20 * MS]
        world.ask("a", left_us=left * MS, set_size=20)
        start = world.now
        world.run(S)
        ends = [at - start for at, action in world.log if isinstance(action, Reject | FailRequest)]
        assert len(ends) == 1 and ends[0] <= left * MS


def test_home_is_told_off_every_ask_that_it_may_have_counted() -> None:
    """Each ask is counted at the home as spent in part; a second one is no second unit."""
    world = World(replace(SETTINGS, proxy_count=2))
    name = next(f"c{n}" for n in range(9) if zlib.crc32(f"c{n}".encode()) % 2)  # the other one is its home
    for number in range(11):  # the eleventh is past this one's part of the burst
        world.ask(f"a{number}", customer=name, set_size=2)
    world.run(S)
    words = [word for _, action in world.log if isinstance(action, SendGossip) for word in action.messages]
    asked = [word for word in words if word.requested_units]
    assert len(asked) == 3
    (customer,) = world.gateway.customers.accounts.values()
    told = sum(word.spent_units for word in words) + customer.unreported_units
    assert told == pytest.approx(11 - 3 * 10 / 11)  # three times the chance: 10 are left of 11 asked


@pytest.mark.parametrize("burst", [0.0, 0.5])
def test_store_that_holds_no_whole_request_serves_its_rate(burst: float) -> None:
    """A plan may name a rate and no burst; or little of it may be spent on this side of a split."""
    for every_ms, least, most in ((200, 45, 50), (20, 80, 110)):  # 5 a second of 9, and 50
        world = World(replace(SETTINGS, plans=(Plan(quota_rate=9.0, quota_burst=burst),)))
        for n in range(10_000 // every_ms):
            world.ask(f"r{n}")
            world.run(every_ms * MS)
            if (f"r{n}", 0) in world.out:
                world.answer(f"r{n}")
        assert least <= sum(isinstance(action, ForwardAttempt) for _, action in world.log) <= most


def test_home_counts_what_it_let_in_and_not_the_mean_of_it() -> None:
    """Each of 40 gateways asks once, so none tells the home later what came of the chance."""
    gates = Set(40, replace(SETTINGS, plans=(Plan(quota_rate=0.01, quota_burst=12.0),)))
    for number in range(40):
        gates.ask(number, f"r{number}", customer="c9")
        gates.run(20 * MS)
    gates.run(S)
    (home,) = {
        customer.owner for world in gates.worlds for customer in world.gateway.customers.accounts.values()
    }
    (customer,) = gates.worlds[home].gateway.customers.accounts.values()
    assert 9 <= gates.sent() <= 12
    assert customer.tokens == pytest.approx(12 - gates.sent(), abs=0.05)


@pytest.mark.parametrize("inside", [True, False])
def test_what_the_home_drew_holds_at_the_asker(inside: bool) -> None:
    world = World(replace(SETTINGS, proxy_count=2))
    name = next(f"c{n}" for n in range(9) if zlib.crc32(f"c{n}".encode()) % 2)
    for number in range(11):  # the eleventh is past this one's part of the burst
        world.ask(f"a{number}", customer=name, set_size=2)
    key = next(iter(world.gateway.customers.accounts))
    level = 0.5 if inside else 20.0  # by which the asker itself would draw the other way
    actions = world.tell(
        GossipReceived(1, (GossipMessage(*key, True, 1.0, 0.0, 1.0, level, is_within_quota=inside),))
    )
    assert bool(of(ForwardAttempt, actions)) is inside
    assert bool(of(Reject, actions)) is not inside


def test_large_set_serves_a_quota_whole_and_nothing_beyond() -> None:
    """With 40 gateways no part of a burst holds one request, so the home's word decides on each. What its
    store does not hold whole is beyond the quota; what was asked a while ago takes nothing from this one."""
    gates = Set(40, replace(SETTINGS, plans=(Plan(quota_rate=0.5, quota_burst=3.0),)))
    for number in range(3):
        gates.ask(number * 7, f"in{number}", customer="c9")
        gates.run(400 * MS)
    assert gates.sent() == 3  # the burst
    for number in range(12):
        gates.ask(number * 3 + 1, f"out{number}", customer="c9")
    gates.run(600 * MS)
    assert gates.sent() == 3  # 0.9 units have come since the start: no whole request
    gates.run(2 * S)
    gates.ask(5, "later", customer="c9")
    gates.run(400 * MS)
    assert gates.sent() == 4


def test_customer_is_kept_until_its_stores_are_full() -> None:
    world = World(replace(SETTINGS, plans=(Plan(quota_rate=1.0, quota_burst=30.0),)))
    for number in range(30):
        world.ask(f"a{number}")
        world.answer(f"a{number}")
    world.run(29 * S)
    (customer,) = world.gateway.customers.accounts.values()
    assert customer.local_tokens == 0.0  # as it was when it was last looked at
    world.run(4 * S)
    assert not world.gateway.customers.accounts


def test_another_set_of_the_same_customer_opens_no_fresh_burst() -> None:
    world = World(replace(SETTINGS, proxy_count=2, may_gossip=False))
    sent = [len(of(ForwardAttempt, world.ask(f"a{number}", set_size=1 + number % 2))) for number in range(60)]
    assert sum(sent) <= 21  # the burst of 20, and chance
    world = World(replace(SETTINGS, proxy_count=2, may_gossip=False))
    assert of(ForwardAttempt, world.ask("other", customer="other", set_size=2))


@pytest.mark.parametrize(("first", "size"), [(0, 3), (0, 0), (0, 65535), (9, 2), (1, 1)])
def test_words_of_a_set_that_cannot_be_are_passed_over(first: int, size: int) -> None:
    world = World(replace(SETTINGS, proxy_count=2))
    world.tell(
        GossipReceived(
            1, (GossipMessage(7, 0, first, size, demand=1.0, spent_units=1.0, requested_units=1.0),)
        )
    )
    assert not world.gateway.customers.accounts
    world.tell(GossipReceived(1, (GossipMessage(7, 0, 0, 2, demand=1.0),)))
    assert len(world.gateway.customers.accounts) == 1


def test_wait_for_word_ends_before_half_of_the_time() -> None:
    world = World(replace(SETTINGS, proxy_count=2))
    world.gateway.attempts.mean_latency_us = [10.0 * MS]
    name = next(f"c{n}" for n in range(9) if zlib.crc32(f"c{n}".encode()) % 2)  # the other one is its home
    for number in range(10):
        world.ask(f"a{number}", customer=name, set_size=2)
    assert not of(ForwardAttempt, world.ask("last", customer=name, set_size=2, left_us=200 * MS))
    world.run(100 * MS)
    assert world.tries.get("last") == 1


def test_word_of_a_home_that_has_gone_holds_for_a_second_only() -> None:
    """What it said last stood for 10 s, while own demand only added to what it had said."""
    world = World(replace(SETTINGS, proxy_count=2))
    name = peer_customer(world)
    key = CustomerKey(zlib.crc32(name.encode()), 0, 0, 2)
    world.tell(GossipReceived(1, (GossipMessage(*key, True, demand=40.0, tokens=-5.0),)))
    customer = world.gateway.customers.accounts[key]
    for number in range(30):
        world.ask(f"a{number}", customer=name, set_size=2, left_us=S)
        world.run(100 * MS)
    assert customer.refill(world.now).demand < 10  # 5 come in the time in which demand ages
    sent = [at for at, action in world.log if isinstance(action, ForwardAttempt) and at > world.now - S]
    assert len(sent) >= 8


def test_home_that_answers_nothing_is_not_waited_for() -> None:
    world = World(replace(SETTINGS, proxy_count=2))
    name = peer_customer(world)
    waited = 0
    for number in range(30):
        if not of(ForwardAttempt, world.ask(f"a{number}", customer=name, set_size=2)):
            waited += 1
        world.run(100 * MS)
        for job, attempt in list(world.out):
            world.answer(job, attempt=attempt)
    assert waited < 15  # all of the first half second, then now and then
    assert waited > 5  # and it is asked again
