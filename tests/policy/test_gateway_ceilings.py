"""Ceilings over a set of gateways: shares, what the home gives out, and restarts."""

import zlib
from dataclasses import replace

import pytest

from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import ForwardAttempt
from molereach.policy.interface.events import EndpointListKind, EndpointListReceived
from molereach.policy.interface.settings import Plan
from tests.helpers import (
    MILLISECOND_US,
    SECOND_US,
    SETTINGS,
    GatewayCluster,
    GatewayDriver,
    endpoints,
    of_type,
)

CEILED = Plan(quota_rate=8.0, quota_burst=16.0, ceiling_rate=16.0, ceiling_burst=20.0, ceiling_slack=2.0)


def ceiling_customer(cluster: GatewayCluster, home: int) -> str:
    """A customer whose home is that gateway."""
    return next(f"c{n}" for n in range(999) if zlib.crc32(f"c{n}".encode()) % len(cluster.drivers) == home)


class Older(GatewayCluster):
    """The gateways up to number 4 are of a version that splits no ceilings, and says nothing of it."""

    def send_request(self, me: int, name: str, **values: object) -> None:
        for driver in self.drivers[:5]:  # also those that have started again
            driver.gateway.customers.has_ceilings = False
        super().send_request(me, name, **values)


def test_ceiling_starts_empty_and_is_split() -> None:
    plan = Plan(ceiling_rate=10.0, ceiling_burst=20.0)
    driver = GatewayDriver(replace(SETTINGS, plans=(plan,), proxy_count=2))
    for n in range(40):
        driver.send_request(f"r{n}", set_size=2)
    driver.advance(SECOND_US)
    assert len(of_type(ForwardAttempt, [action for _, action in driver.log])) in (
        4,
        5,
    )  # half of 10 a second, from none
    driver = GatewayDriver(replace(SETTINGS, plans=(replace(plan, ceiling_burst=7.5),), proxy_count=2))
    for n in range(40):
        driver.send_request(f"r{n}", set_size=2)
    driver.advance(SECOND_US)
    # Parts of under 4 units: half of that stays here.
    assert len(of_type(ForwardAttempt, [action for _, action in driver.log])) in (2, 3)


def test_ceiling_goes_where_the_traffic_is() -> None:
    """All of a building's traffic stands at one of ten gateways: a tenth of its ceiling would be 2 units."""
    cluster = GatewayCluster(10, replace(SETTINGS, plans=(CEILED,)))
    name = ceiling_customer(cluster, 3)
    for n in range(20):  # all of the set come to speak with the home
        cluster.send_request(n % 10, f"w{n}", customer=name)
        cluster.advance(200 * MILLISECOND_US)
    cluster.advance(5 * SECOND_US)
    before = cluster.forwarded_count()
    for n in range(30):
        cluster.send_request(7, f"r{n}", customer=name)
        cluster.advance(100 * MILLISECOND_US)
    assert (
        cluster.forwarded_count() - before > 20
    )  # of the 16 + 3 * 8 that its quota holds; its own share is 2 + 3 * 1.6


def test_what_is_let_in_by_the_last_word_asks_for_units_of_the_ceiling() -> None:
    """A hundred a second at one of twenty gateways are more than may be asked about; the few of them that
    its home's last word lets in still have need of the home's units: the share here is 0.8 a second."""
    cluster = GatewayCluster(20, replace(SETTINGS, plans=(CEILED,), gossip_messages_per_s=60.0))
    name = ceiling_customer(cluster, 3)
    for n in range(40):  # all of the set come to speak with the home
        cluster.send_request(n % 20, f"w{n}", customer=name)
        cluster.advance(200 * MILLISECOND_US)
    cluster.advance(5 * SECOND_US)
    before = cluster.forwarded_count()
    for n in range(400):
        cluster.send_request(7, f"r{n}", customer=name, remaining_us=SECOND_US)
        cluster.advance(10 * MILLISECOND_US)
    cluster.advance(2 * SECOND_US)
    assert (
        36 <= cluster.forwarded_count() - before <= 49
    )  # of the 16 + 4 * 8 that its quota holds; 31 when held in vain
    home = cluster.drivers[3].gateway.customers.accounts
    assert min(customer.tokens for customer in home.values()) > -1.0  # what was let in is counted once


def test_home_gives_out_what_all_leave_but_those_that_speak_and_do_not_say_so() -> None:
    """A gateway of an older version keeps its whole part of a ceiling, and says nothing of it; one that has
    not spoken has spent nothing."""
    cluster = Older(10, replace(SETTINGS, plans=(CEILED,)))
    name = ceiling_customer(cluster, 7)
    home = cluster.drivers[7].gateway
    cluster.send_request(7, "first", customer=name)
    cluster.advance(200 * MILLISECOND_US)
    (customer,) = home.customers.accounts.values()
    home.outbox.grant_ceiling(customer, 1.0)
    assert customer.ceiling.reserve_fraction == pytest.approx(0.5)
    for n in range(20):
        cluster.send_request(n % 10, f"w{n}", customer=name)
        cluster.advance(200 * MILLISECOND_US)
    home.outbox.grant_ceiling(customer, 1.0)
    assert customer.ceiling.reserve_fraction == pytest.approx(0.5 * 5 / 10)  # the home and those from 5 on
    cluster.advance(11 * SECOND_US)  # one that says nothing at all also spends nothing
    home.outbox.grant_ceiling(customer, 1.0)
    assert customer.ceiling.reserve_fraction == pytest.approx(0.5 * 5 / 10)
    cluster.drivers[9].gateway.customers.has_ceilings = False
    cluster.send_request(9, "older", customer=name)  # an older version took its place
    cluster.advance(200 * MILLISECOND_US)
    customer.ceiling.reserve_tokens = (
        5.0  # filled while more left their share: what that one keeps must not be given out too
    )
    home.outbox.grant_ceiling(customer, 1.0)
    assert customer.ceiling.reserve_fraction == pytest.approx(0.5 * 4 / 10)
    assert customer.ceiling.reserve_tokens == pytest.approx(customer.ceiling.max_reserve_tokens - 1.0)


def test_home_that_starts_again_has_its_share_of_ceilings_from_then_on() -> None:
    """It has heard of nobody yet, and of no customer: the store fills from the start on."""
    cluster = GatewayCluster(10, replace(SETTINGS, plans=(CEILED,)))
    names = [f"c{n}" for n in range(99) if zlib.crc32(f"c{n}".encode()) % 10 == 3]
    name, driver = names[0], cluster.drivers[3]
    for n in range(40):
        cluster.send_request(n % 10, f"w{n}", customer=name)
        cluster.advance(50 * MILLISECOND_US)
    driver.in_flight.clear()
    driver.timers.clear()
    driver.gateway = Gateway(driver.gateway.settings)
    driver.handle(EndpointListReceived(EndpointListKind.SAVED, 1, endpoints(4)))
    driver.send_request("now", customer=name, set_size=10)
    (customer,) = driver.gateway.customers.accounts.values()
    assert customer.ceiling.reserve_tokens == 0
    cluster.advance(500 * MILLISECOND_US)
    before = cluster.forwarded_count()
    for n in range(5):  # of a customer that nobody has met: the part here holds one
        cluster.send_request(5, f"new{n}", customer=next(each for each in names if each != name))
    cluster.advance(100 * MILLISECOND_US)
    assert (
        cluster.forwarded_count() - before == 1 + 4
    )  # 16 a second of which the home has half, for half a second


def test_granted_units_expire() -> None:
    """What was given out while the home's store went on filling must not be added up beside it."""
    small = replace(CEILED, ceiling_burst=6.0)
    cluster = GatewayCluster(
        2, replace(SETTINGS, plans=(small,)), initial_endpoints=()
    )  # with no server everything is held
    name = ceiling_customer(cluster, 1)
    driver = cluster.drivers[0]
    for n in range(4):
        cluster.send_request(n % 2, f"w{n}", customer=name)
        cluster.advance(500 * MILLISECOND_US)
    customer = driver.gateway.customers.accounts[next(iter(driver.gateway.customers.accounts))]
    customer.ceiling.tokens = 0.0
    customer.ceiling.grants = [(driver.now_us + 300 * MILLISECOND_US, 1.0)]
    assert customer.ceiling.has_grant(driver.now_us + 300 * MILLISECOND_US, 1.0)
    assert not customer.ceiling.has_grant(driver.now_us + 301 * MILLISECOND_US, 1.0)
    assert customer.ceiling.grants == []
    for n in range(100):  # also where no request of the customer comes to be sent on
        customer.ceiling.add_grant(
            driver.now_us + n * 100 * MILLISECOND_US,
            driver.now_us + n * 100 * MILLISECOND_US + 300 * MILLISECOND_US,
            1.0,
        )
    assert len(customer.ceiling.grants) <= 4


@pytest.mark.parametrize("kind", [GatewayCluster, Older])
@pytest.mark.parametrize("loss", [0.0, 0.3])
@pytest.mark.parametrize("every", [200, 1600])
def test_ceiling_holds_over_a_large_set_with_restarts(
    loss: float, kind: type[GatewayCluster], every: int
) -> None:
    """All parts together, half of the set restarted in turn, once or often, all traffic on few gateways for a
    while; also while a tier is replaced by a newer version."""
    plan = Plan(quota_rate=40.0, quota_burst=80.0, ceiling_rate=18.0, ceiling_burst=40.0, ceiling_slack=4.0)
    cluster = kind(20, replace(SETTINGS, plans=(plan,)), loss=loss)
    start = cluster.drivers[0].now_us
    for n in range(4800):
        cluster.send_request(n % 3 if 300 < n < 600 else n * 7 % 20, f"r{n}")
        if n % 8 == 0:
            cluster.advance(10 * MILLISECOND_US)
        if n % every == every - 1:
            for driver in cluster.drivers[n // every % 2 :: 2]:
                driver.in_flight.clear()
                driver.timers.clear()
                driver.gateway = Gateway(replace(driver.gateway.settings, seed=n))
                driver.handle(EndpointListReceived(EndpointListKind.SAVED, 1, endpoints(4)))
    times = sorted(
        at for driver in cluster.drivers for at, action in driver.log if isinstance(action, ForwardAttempt)
    )
    store, lowest, last = 40.0, 40.0, start
    for at in times:
        store, last = min(40.0, store + 18.0 * (at - last) / SECOND_US) - 1, at
        lowest = min(lowest, store)
    assert lowest >= -4.0 and len(times) > 10


def test_ceiling_starts_empty_with_the_gateway_only() -> None:
    plan = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=10.0, ceiling_burst=20.0)
    driver = GatewayDriver(replace(SETTINGS, plans=(plan,)))
    assert not of_type(
        ForwardAttempt, driver.send_request("a")
    )  # what was let through before a restart is not known
    driver.advance(2 * SECOND_US)
    sent = [
        of_type(ForwardAttempt, driver.send_request(f"b{number}", customer="another")) for number in range(20)
    ]
    assert sum(map(len, sent)) == 20
