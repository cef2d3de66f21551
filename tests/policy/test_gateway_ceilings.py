"""Ceilings over a set of gateways: split buckets, grants of the owner, and restarts."""

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

PLAN_WITH_CEILING = Plan(
    quota_rate=8.0, quota_burst=16.0, ceiling_rate=16.0, ceiling_burst=20.0, ceiling_slack=2.0
)


def ceiling_customer(cluster: GatewayCluster, owner: int) -> str:
    """The name of a customer that the gateway owns."""
    return next(f"c{n}" for n in range(999) if zlib.crc32(f"c{n}".encode()) % len(cluster.drivers) == owner)


class MixedVersionCluster(GatewayCluster):
    """Gateways 0 to 4 run an older version, which neither splits ceilings nor advertises it."""

    def send_request(self, gateway_index: int, name: str, **values: object) -> None:
        for driver in self.drivers[:5]:  # including those that have restarted
            driver.gateway.customers.has_ceilings = False
        super().send_request(gateway_index, name, **values)


def test_ceiling_starts_empty_and_is_split() -> None:
    plan = Plan(ceiling_rate=10.0, ceiling_burst=20.0)
    driver = GatewayDriver(replace(SETTINGS, plans=(plan,), proxy_count=2))
    for n in range(40):
        driver.send_request(f"r{n}", set_size=2)
    driver.advance(SECOND_US)
    # Half of 10 per second, starting empty.
    assert len(of_type(ForwardAttempt, [action for _, action in driver.log])) in (4, 5)
    driver = GatewayDriver(replace(SETTINGS, plans=(replace(plan, ceiling_burst=7.5),), proxy_count=2))
    for n in range(40):
        driver.send_request(f"r{n}", set_size=2)
    driver.advance(SECOND_US)
    # Split buckets of less than 4 units: only half of the ceiling is split.
    assert len(of_type(ForwardAttempt, [action for _, action in driver.log])) in (2, 3)


def test_ceiling_is_granted_to_the_gateway_with_the_traffic() -> None:
    """All traffic of a customer arrives at one of ten gateways; a tenth of its ceiling would be 2 units."""
    cluster = GatewayCluster(10, replace(SETTINGS, plans=(PLAN_WITH_CEILING,)))
    name = ceiling_customer(cluster, 3)
    for n in range(20):  # each gateway of the set contacts the owner
        cluster.send_request(n % 10, f"w{n}", customer=name)
        cluster.advance(200 * MILLISECOND_US)
    cluster.advance(5 * SECOND_US)
    count_before = cluster.forwarded_count()
    for n in range(30):
        cluster.send_request(7, f"r{n}", customer=name)
        cluster.advance(100 * MILLISECOND_US)
    # Of the 16 + 3 * 8 units of its quota; the local part of the ceiling is 2 + 3 * 1.6.
    assert cluster.forwarded_count() - count_before > 20


def test_request_admitted_by_a_local_draw_requests_units_of_the_ceiling() -> None:
    """100 requests per second at one of twenty gateways are more than may be sent to the owner.

    The few of them that a local draw admits still need units granted by the owner, because the local part of
    the ceiling is only 0.8 per second.
    """
    cluster = GatewayCluster(20, replace(SETTINGS, plans=(PLAN_WITH_CEILING,), gossip_messages_per_s=60.0))
    name = ceiling_customer(cluster, 3)
    for n in range(40):  # each gateway of the set contacts the owner
        cluster.send_request(n % 20, f"w{n}", customer=name)
        cluster.advance(200 * MILLISECOND_US)
    cluster.advance(5 * SECOND_US)
    count_before = cluster.forwarded_count()
    for n in range(400):
        cluster.send_request(7, f"r{n}", customer=name, left_us=SECOND_US)
        cluster.advance(10 * MILLISECOND_US)
    cluster.advance(2 * SECOND_US)
    # Of the 16 + 4 * 8 units of its quota; 31 if requests waited for the ceiling in vain.
    assert 36 <= cluster.forwarded_count() - count_before <= 49
    owner_accounts = cluster.drivers[3].gateway.customers.accounts
    # Admitted requests are counted once.
    assert min(account.tokens for account in owner_accounts.values()) > -1.0


def test_reserve_excludes_gateways_that_do_not_advertise_splitting() -> None:
    """A gateway of an older version uses its full part of a ceiling and does not advertise splitting.

    A gateway that has sent no message has spent nothing, so it counts as splitting.
    """
    cluster = MixedVersionCluster(10, replace(SETTINGS, plans=(PLAN_WITH_CEILING,)))
    name = ceiling_customer(cluster, 7)
    owner = cluster.drivers[7].gateway
    cluster.send_request(7, "first", customer=name)
    cluster.advance(200 * MILLISECOND_US)
    (account,) = owner.customers.accounts.values()
    owner.outbox.grant_ceiling(account, 1.0)
    assert account.ceiling.reserve_fraction == pytest.approx(0.5)
    for n in range(20):
        cluster.send_request(n % 10, f"w{n}", customer=name)
        cluster.advance(200 * MILLISECOND_US)
    owner.outbox.grant_ceiling(account, 1.0)
    # The owner and the other gateways from 5 on
    assert account.ceiling.reserve_fraction == pytest.approx(0.5 * 5 / 10)
    cluster.advance(11 * SECOND_US)  # a gateway that sends no messages spends nothing either
    owner.outbox.grant_ceiling(account, 1.0)
    assert account.ceiling.reserve_fraction == pytest.approx(0.5 * 5 / 10)
    cluster.drivers[9].gateway.customers.has_ceilings = False
    cluster.send_request(9, "older", customer=name)  # restarted with an older version
    cluster.advance(200 * MILLISECOND_US)
    # Accrued while one more gateway split its ceiling; what that one uses now must not be granted as well.
    account.ceiling.reserve_tokens = 5.0
    owner.outbox.grant_ceiling(account, 1.0)
    assert account.ceiling.reserve_fraction == pytest.approx(0.5 * 4 / 10)
    assert account.ceiling.reserve_tokens == pytest.approx(account.ceiling.max_reserve_tokens - 1.0)


def test_reserve_of_a_restarted_owner_fills_from_its_start() -> None:
    """It knows no peer and no customer yet, so its reserve fills from its start."""
    cluster = GatewayCluster(10, replace(SETTINGS, plans=(PLAN_WITH_CEILING,)))
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
    (account,) = driver.gateway.customers.accounts.values()
    assert account.ceiling.reserve_tokens == 0
    cluster.advance(500 * MILLISECOND_US)
    count_before = cluster.forwarded_count()
    for n in range(5):  # of a new customer, of whose ceiling the local bucket holds one unit
        cluster.send_request(5, f"new{n}", customer=next(each for each in names if each != name))
    cluster.advance(100 * MILLISECOND_US)
    # The reserve is half of 16 per second, for half a second.
    assert cluster.forwarded_count() - count_before == 1 + 4


def test_granted_units_expire() -> None:
    """Granted units must not accumulate, because the owner's reserve keeps filling."""
    small_plan = replace(PLAN_WITH_CEILING, ceiling_burst=6.0)
    # Without backends, all requests wait.
    cluster = GatewayCluster(2, replace(SETTINGS, plans=(small_plan,)), fleet=())
    name = ceiling_customer(cluster, 1)
    driver = cluster.drivers[0]
    for n in range(4):
        cluster.send_request(n % 2, f"w{n}", customer=name)
        cluster.advance(500 * MILLISECOND_US)
    account = driver.gateway.customers.accounts[next(iter(driver.gateway.customers.accounts))]
    account.ceiling.tokens = 0.0
    account.ceiling.grants = [(driver.now_us + 300 * MILLISECOND_US, 1.0)]
    assert account.ceiling.has_grant(driver.now_us + 300 * MILLISECOND_US, 1.0)
    assert not account.ceiling.has_grant(driver.now_us + 301 * MILLISECOND_US, 1.0)
    assert account.ceiling.grants == []
    for n in range(100):  # even if no request of the customer is forwarded
        account.ceiling.add_grant(
            driver.now_us + n * 100 * MILLISECOND_US,
            driver.now_us + n * 100 * MILLISECOND_US + 300 * MILLISECOND_US,
            1.0,
        )
    assert len(account.ceiling.grants) <= 4


@pytest.mark.parametrize("cluster_class", [GatewayCluster, MixedVersionCluster])
@pytest.mark.parametrize("loss", [0.0, 0.3])
@pytest.mark.parametrize("restart_interval", [200, 1600])
def test_ceiling_holds_over_a_large_set_with_restarts(
    loss: float, cluster_class: type[GatewayCluster], restart_interval: int
) -> None:
    """The ceiling holds over the whole set while halves of it restart in turn, rarely or often.

    All traffic arrives at few gateways for a while; in one variant some gateways run an older version.
    """
    plan = Plan(quota_rate=40.0, quota_burst=80.0, ceiling_rate=18.0, ceiling_burst=40.0, ceiling_slack=4.0)
    cluster = cluster_class(20, replace(SETTINGS, plans=(plan,)), loss=loss)
    start_us = cluster.drivers[0].now_us
    for n in range(4800):
        cluster.send_request(n % 3 if 300 < n < 600 else n * 7 % 20, f"r{n}")
        if n % 8 == 0:
            cluster.advance(10 * MILLISECOND_US)
        if n % restart_interval == restart_interval - 1:
            for driver in cluster.drivers[n // restart_interval % 2 :: 2]:
                driver.in_flight.clear()
                driver.timers.clear()
                driver.gateway = Gateway(replace(driver.gateway.settings, seed=n))
                driver.handle(EndpointListReceived(EndpointListKind.SAVED, 1, endpoints(4)))
    forwarded_at_us = sorted(
        at_us
        for driver in cluster.drivers
        for at_us, action in driver.log
        if isinstance(action, ForwardAttempt)
    )
    ceiling_tokens, min_ceiling_tokens, previous_us = 40.0, 40.0, start_us
    for at_us in forwarded_at_us:
        ceiling_tokens, previous_us = (
            min(40.0, ceiling_tokens + 18.0 * (at_us - previous_us) / SECOND_US) - 1,
            at_us,
        )
        min_ceiling_tokens = min(min_ceiling_tokens, ceiling_tokens)
    assert min_ceiling_tokens >= -4.0 and len(forwarded_at_us) > 10


def test_ceiling_starts_empty_with_the_gateway_only() -> None:
    plan = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=10.0, ceiling_burst=20.0)
    driver = GatewayDriver(replace(SETTINGS, plans=(plan,)))
    # What was forwarded before a restart is unknown.
    assert not of_type(ForwardAttempt, driver.send_request("a"))
    driver.advance(2 * SECOND_US)
    sent = [
        of_type(ForwardAttempt, driver.send_request(f"b{number}", customer="another")) for number in range(20)
    ]
    assert sum(map(len, sent)) == 20
