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
from tests.helpers import MILLISECOND_US, PLAN, SECOND_US, SETTINGS, GatewayCluster, GatewayDriver, of_type
from tests.policy.request_classes import NON_IDEMPOTENT, with_class


def peer_customer(driver: GatewayDriver) -> str:
    """A customer whose home is the other gateway of two, with this one's part of its burst used up."""
    name = next(f"c{n}" for n in range(9) if zlib.crc32(f"c{n}".encode()) % 2)
    for number in range(10):
        driver.send_request(f"used{number}", customer=name, set_size=2)
        driver.end_attempt(f"used{number}")
    return name


@pytest.mark.parametrize("count", [1, 2, 20])
def test_burst_and_rate_are_the_customers_whole(count: int) -> None:
    """A part far under one unit must not keep a customer from its quota, nor many parts from holding it."""
    cluster = GatewayCluster(count)
    for n in range(60):
        cluster.send_request(n * 7 % count, f"r{n}")
        cluster.advance(10 * MILLISECOND_US)
    cluster.advance(SECOND_US)
    assert (
        19 <= cluster.forwarded_count() <= 35
    )  # a burst of 20, what came back in 0.6 s and while demand aged
    before = cluster.forwarded_count()
    for n in range(600):
        cluster.send_request(n * 7 % count, f"more{n}")
        cluster.advance(10 * MILLISECOND_US)
    cluster.advance(SECOND_US)
    assert cluster.forwarded_count() - before == pytest.approx(
        60, abs=16
    )  # 10 a second for 6 s, of 100 asked


def test_granted_requests_are_counted_once() -> None:
    """The home counts what it grants; what members tell it later must not be the same units again."""
    cluster, homes = GatewayCluster(20, replace(SETTINGS, plans=(replace(PLAN, quota_burst=10.0),))), []
    for n in range(300):
        cluster.send_request(n * 7 % 20, f"r{n}")
        cluster.advance(110 * MILLISECOND_US)
        homes = [
            driver.gateway
            for driver in cluster.drivers
            for customer in driver.gateway.customers.accounts.values()
            if customer.owner == driver.gateway.settings.proxy_index
        ]
    level = next(iter(homes[0].customers.accounts.values())).tokens
    assert level > 6  # of 10, at nine tenths of the rate


def test_what_is_granted_but_not_sent_comes_back_to_the_quota() -> None:
    cluster = GatewayCluster(20)
    for driver in cluster.drivers:
        driver.handle(EndpointListReceived(EndpointListKind.FULL, 2, ()))
    for _ in range(3):
        for n in range(20):
            cluster.send_request(n, f"r{cluster.drivers[n].now_us}")
        cluster.advance(4 * SECOND_US)
    levels = [
        customer.tokens
        for driver in cluster.drivers
        for customer in driver.gateway.customers.accounts.values()
        if customer.owner == driver.gateway.settings.proxy_index
    ]
    assert levels == [pytest.approx(20, abs=0.5)]


def test_quota_is_used_with_messages_lost_or_the_owner_dead() -> None:
    """Requests inside the quota leave without a word from the home, and in time."""
    for loss, down in ((0.3, -1), (0.0, 3)):
        cluster = GatewayCluster(20, loss=loss)
        cluster.down = down
        for n in range(200):
            if n * 7 % 20 != down:
                cluster.send_request(n * 7 % 20, f"r{n}")
            cluster.advance(200 * MILLISECOND_US)
        assert cluster.forwarded_count() >= 180


def test_messages_stay_under_half_of_what_a_gateway_receives() -> None:
    """However much one customer asks, its home can take in what is told of it."""
    for count in (3, 40):
        cluster, taken = GatewayCluster(count), 0
        for n in range(2000):
            cluster.send_request(n * 7 % count, f"r{n}")
            if n % 4 == 3:
                cluster.advance(10 * MILLISECOND_US)
                most = max(sum(peer == me for _, peer, _ in cluster.messages) for me in range(count))
                taken += most
        assert taken / 5 <= 60


def test_owner_is_wrong_by_little_and_for_a_short_time() -> None:
    """What it has not heard of is a quarter of the others' parts at most, at any time, however the customer's
    requests come; and nothing half a second after the last one."""
    plan, size = replace(PLAN, quota_rate=8.0, quota_burst=64.0), 4
    cluster, random = GatewayCluster(size, replace(SETTINGS, plans=(plan,))), Random(5)

    def untold() -> float:
        return sum(
            max(0.0, customer.unreported_units)
            for driver in cluster.drivers
            for customer in driver.gateway.customers.accounts.values()
        )

    most = 0.0
    for n in range(400):
        for m in range(random.choice((0, 0, 0, 1, 1, 8))):
            cluster.send_request(random.choice((0, 1, 2, 3, 3, 3)), f"r{n}-{m}")
        most = max(most, untold())
        cluster.advance(20 * MILLISECOND_US)
    full = plan.quota_burst / size
    assert full / 8 < most <= (size - 1) * full / 4
    cluster.advance(MAX_DEFERRAL_US + 100 * MILLISECOND_US)
    assert untold() == 0


def test_quiet_customers_cost_few_messages_and_no_wake_ups() -> None:
    """Ten of a home's customers ask at another gateway: they are one message in half a second."""
    driver = GatewayDriver(
        replace(SETTINGS, proxy_count=2, plans=(replace(PLAN, quota_rate=40.0, quota_burst=200.0),))
    )
    names = [name for name in (f"c{n}" for n in range(40)) if zlib.crc32(name.encode()) % 2][:10]
    for n in range(100):
        driver.send_request(f"r{n}", customer=names[n % 10], set_size=2)
        driver.end_attempt(f"r{n}")
        driver.advance(50 * MILLISECOND_US)
    tells = of_type(SendGossip, [action for _, action in driver.log])
    assert 8 <= len(tells) <= 10 and all(len(tell.messages) <= 10 for tell in tells)
    driver.advance(SECOND_US)
    driver.send_request("last", customer=names[0], set_size=2)
    driver.end_attempt("last")
    asked, before = driver.now_us, len(driver.log)
    driver.advance(2 * SECOND_US)
    after = driver.log[before:]
    (told,) = [at for at, action in after if isinstance(action, SendGossip)]
    assert MAX_DEFERRAL_US <= told - asked <= MAX_DEFERRAL_US + 20 * MILLISECOND_US
    assert len([at for at, action in after if isinstance(action, SetTimer) and at <= told]) <= 3


def test_messages_of_peers_are_validated() -> None:
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    huge = GossipMessage(1, 0, 0, 2, demand=1e9, requested_units=1e9, tokens=-1e9)
    for word in (GossipMessage(1, 9, 0, 2), GossipMessage(1, 0, 5, 1), GossipMessage(1, 0, 0, 0), huge):
        driver.handle(GossipReceived(1, (word,)))
    assert len(driver.gateway.customers.accounts) == 1


def test_idle_gateway_wakes_up_once_a_period() -> None:
    driver = GatewayDriver()
    driver.advance(10 * SECOND_US)
    assert len(of_type(SetTimer, [action for _, action in driver.log])) <= 12


def test_customers_seen_long_ago_are_forgotten() -> None:
    driver = GatewayDriver()
    for n in range(50):
        driver.send_request(f"r{n}", customer=f"c{n}")
        driver.end_attempt(f"r{n}")
    driver.advance(90 * SECOND_US)
    assert not driver.gateway.customers.accounts


def test_no_time_left_costs_no_quota() -> None:
    driver = GatewayDriver()
    for n in range(30):
        driver.send_request(f"r{n}", remaining_us=100 * MILLISECOND_US)
    assert next(iter(driver.gateway.customers.accounts.values())).tokens == 20


def test_plan_bounds_attempts_in_flight() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(max_in_flight=2),)))
    assert of_type(ForwardAttempt, driver.send_request("a")) and of_type(
        ForwardAttempt, driver.send_request("b")
    )
    assert of_type(Reject, driver.send_request("c"))
    driver.end_attempt("a")
    assert of_type(ForwardAttempt, driver.send_request("d"))


def test_true_units_are_settled() -> None:
    driver = GatewayDriver(replace(SETTINGS, costs_are_corrected=True))
    driver.send_request("a")
    server, sent, _ = driver.in_flight.pop(("a", 0))
    driver.handle(
        AttemptEnded("a", True, 0, server, AttemptResult.OK, driver.now_us - sent, actual_units=4.0)
    )
    assert next(iter(driver.gateway.customers.accounts.values())).tokens == pytest.approx(16)


@pytest.mark.parametrize("left", [5, 30, 60, 90, 130, 200, 260])
def test_request_waiting_for_a_reply_is_answered_in_time(left: int) -> None:
    """Clients that come with little time left, and a home that never answers."""
    cluster = GatewayCluster(
        20,
        with_class(
            replace(NON_IDEMPOTENT, latency_objective_us=2 * SECOND_US),
            plans=(replace(PLAN, quota_burst=2.0),),
        ),
    )
    for me, driver in enumerate(cluster.drivers):
        cluster.down = me
        driver.handle(EndpointListReceived(EndpointListKind.FULL, 2, ()))
        driver.gateway.attempts.mean_latency_us = [20 * MILLISECOND_US]
        driver.send_request("a", remaining_us=left * MILLISECOND_US, set_size=20)
        start = driver.now_us
        driver.advance(SECOND_US)
        ends = [at - start for at, action in driver.log if isinstance(action, Reject | FailRequest)]
        assert len(ends) == 1 and ends[0] <= left * MILLISECOND_US


def test_home_is_told_off_every_ask_that_it_may_have_counted() -> None:
    """Each ask is counted at the home as spent in part; a second one is no second unit."""
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    name = next(f"c{n}" for n in range(9) if zlib.crc32(f"c{n}".encode()) % 2)  # the other one is its home
    for number in range(11):  # the eleventh is past this one's part of the burst
        driver.send_request(f"a{number}", customer=name, set_size=2)
    driver.advance(SECOND_US)
    words = [word for _, action in driver.log if isinstance(action, SendGossip) for word in action.messages]
    asked = [word for word in words if word.requested_units]
    assert len(asked) == 3
    (customer,) = driver.gateway.customers.accounts.values()
    told = sum(word.spent_units for word in words) + customer.unreported_units
    assert told == pytest.approx(11 - 3 * 10 / 11)  # three times the chance: 10 are left of 11 asked


@pytest.mark.parametrize("burst", [0.0, 0.5])
def test_store_that_holds_no_whole_request_serves_its_rate(burst: float) -> None:
    """A plan may name a rate and no burst; or little of it may be spent on this side of a split."""
    for every_ms, least, most in ((200, 45, 50), (20, 80, 110)):  # 5 a second of 9, and 50
        driver = GatewayDriver(replace(SETTINGS, plans=(Plan(quota_rate=9.0, quota_burst=burst),)))
        for n in range(10_000 // every_ms):
            driver.send_request(f"r{n}")
            driver.advance(every_ms * MILLISECOND_US)
            if (f"r{n}", 0) in driver.in_flight:
                driver.end_attempt(f"r{n}")
        assert least <= sum(isinstance(action, ForwardAttempt) for _, action in driver.log) <= most


def test_owner_counts_what_it_admitted_and_not_the_expected_value() -> None:
    """Each of 40 gateways asks once, so none tells the home later what came of the chance."""
    cluster = GatewayCluster(40, replace(SETTINGS, plans=(Plan(quota_rate=0.01, quota_burst=12.0),)))
    for number in range(40):
        cluster.send_request(number, f"r{number}", customer="c9")
        cluster.advance(20 * MILLISECOND_US)
    cluster.advance(SECOND_US)
    (home,) = {
        customer.owner
        for driver in cluster.drivers
        for customer in driver.gateway.customers.accounts.values()
    }
    (customer,) = cluster.drivers[home].gateway.customers.accounts.values()
    assert 9 <= cluster.forwarded_count() <= 12
    assert customer.tokens == pytest.approx(12 - cluster.forwarded_count(), abs=0.05)


@pytest.mark.parametrize("inside", [True, False])
def test_draw_of_the_owner_holds_at_the_requester(inside: bool) -> None:
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    name = next(f"c{n}" for n in range(9) if zlib.crc32(f"c{n}".encode()) % 2)
    for number in range(11):  # the eleventh is past this one's part of the burst
        driver.send_request(f"a{number}", customer=name, set_size=2)
    key = next(iter(driver.gateway.customers.accounts))
    level = 0.5 if inside else 20.0  # by which the asker itself would draw the other way
    actions = driver.handle(
        GossipReceived(1, (GossipMessage(*key, True, 1.0, 0.0, 1.0, level, is_within_quota=inside),))
    )
    assert bool(of_type(ForwardAttempt, actions)) is inside
    assert bool(of_type(Reject, actions)) is not inside


def test_large_set_serves_a_quota_whole_and_nothing_beyond() -> None:
    """With 40 gateways no part of a burst holds one request, so the home's word decides on each. What its
    store does not hold whole is beyond the quota; what was asked a while ago takes nothing from this one."""
    cluster = GatewayCluster(40, replace(SETTINGS, plans=(Plan(quota_rate=0.5, quota_burst=3.0),)))
    for number in range(3):
        cluster.send_request(number * 7, f"in{number}", customer="c9")
        cluster.advance(400 * MILLISECOND_US)
    assert cluster.forwarded_count() == 3  # the burst
    for number in range(12):
        cluster.send_request(number * 3 + 1, f"out{number}", customer="c9")
    cluster.advance(600 * MILLISECOND_US)
    assert cluster.forwarded_count() == 3  # 0.9 units have come since the start: no whole request
    cluster.advance(2 * SECOND_US)
    cluster.send_request(5, "later", customer="c9")
    cluster.advance(400 * MILLISECOND_US)
    assert cluster.forwarded_count() == 4


def test_customer_is_kept_until_its_stores_are_full() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(quota_rate=1.0, quota_burst=30.0),)))
    for number in range(30):
        driver.send_request(f"a{number}")
        driver.end_attempt(f"a{number}")
    driver.advance(29 * SECOND_US)
    (customer,) = driver.gateway.customers.accounts.values()
    assert customer.local_tokens == 0.0  # as it was when it was last looked at
    driver.advance(4 * SECOND_US)
    assert not driver.gateway.customers.accounts


def test_another_set_of_the_same_customer_opens_no_fresh_burst() -> None:
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2, may_gossip=False))
    sent = [
        len(of_type(ForwardAttempt, driver.send_request(f"a{number}", set_size=1 + number % 2)))
        for number in range(60)
    ]
    assert sum(sent) <= 21  # the burst of 20, and chance
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2, may_gossip=False))
    assert of_type(ForwardAttempt, driver.send_request("other", customer="other", set_size=2))


@pytest.mark.parametrize(("first", "size"), [(0, 3), (0, 0), (0, 65535), (9, 2), (1, 1)])
def test_messages_of_an_invalid_set_are_ignored(first: int, size: int) -> None:
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    driver.handle(
        GossipReceived(
            1, (GossipMessage(7, 0, first, size, demand=1.0, spent_units=1.0, requested_units=1.0),)
        )
    )
    assert not driver.gateway.customers.accounts
    driver.handle(GossipReceived(1, (GossipMessage(7, 0, 0, 2, demand=1.0),)))
    assert len(driver.gateway.customers.accounts) == 1


def test_wait_for_a_reply_ends_before_half_of_the_time() -> None:
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    driver.gateway.attempts.mean_latency_us = [10.0 * MILLISECOND_US]
    name = next(f"c{n}" for n in range(9) if zlib.crc32(f"c{n}".encode()) % 2)  # the other one is its home
    for number in range(10):
        driver.send_request(f"a{number}", customer=name, set_size=2)
    assert not of_type(
        ForwardAttempt,
        driver.send_request("last", customer=name, set_size=2, remaining_us=200 * MILLISECOND_US),
    )
    driver.advance(100 * MILLISECOND_US)
    assert driver.attempt_counts.get("last") == 1


def test_reply_of_a_failed_owner_holds_for_a_second_only() -> None:
    """What it said last stood for 10 s, while own demand only added to what it had said."""
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    name = peer_customer(driver)
    key = CustomerKey(zlib.crc32(name.encode()), 0, 0, 2)
    driver.handle(GossipReceived(1, (GossipMessage(*key, True, demand=40.0, tokens=-5.0),)))
    customer = driver.gateway.customers.accounts[key]
    for number in range(30):
        driver.send_request(f"a{number}", customer=name, set_size=2, remaining_us=SECOND_US)
        driver.advance(100 * MILLISECOND_US)
    assert customer.refill(driver.now_us).demand < 10  # 5 come in the time in which demand ages
    sent = [
        at
        for at, action in driver.log
        if isinstance(action, ForwardAttempt) and at > driver.now_us - SECOND_US
    ]
    assert len(sent) >= 8


def test_owner_that_never_replies_is_not_waited_for() -> None:
    driver = GatewayDriver(replace(SETTINGS, proxy_count=2))
    name = peer_customer(driver)
    waited = 0
    for number in range(30):
        if not of_type(ForwardAttempt, driver.send_request(f"a{number}", customer=name, set_size=2)):
            waited += 1
        driver.advance(100 * MILLISECOND_US)
        for job, attempt in list(driver.in_flight):
            driver.end_attempt(job, attempt=attempt)
    assert waited < 15  # all of the first half second, then now and then
    assert waited > 5  # and it is asked again
