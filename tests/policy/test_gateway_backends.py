"""Servers as a gateway takes them: drains, cold and silent ones, the list; and the module as a whole."""

import tomllib
from dataclasses import replace
from pathlib import Path

import pytest

from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import ForwardAttempt, SubscribeToEndpoints
from molereach.policy.interface.events import (
    AttemptResult,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    RequestReceived,
    TimerExpired,
)
from molereach.policy.interface.settings import Plan
from tests.helpers import (
    MILLISECOND_US,
    PLAN,
    SECOND_US,
    SETTINGS,
    GatewayCluster,
    GatewayDriver,
    endpoints,
    of_type,
)

ROOT = Path(__file__).parents[2]

MAX_MODULE_LINES = 250


def sends_by_second(cluster: GatewayCluster, names: set[str], start: int) -> list[int]:
    """Sends of all gateways to these servers, for each second."""
    times = [
        (at - start) // SECOND_US
        for driver in cluster.drivers
        for at, action in driver.log
        if isinstance(action, ForwardAttempt) and action.endpoint in names
    ]
    return [times.count(second) for second in range(max(times) + 1)]


def cold_fleet(cold: int) -> tuple[GatewayCluster, int]:
    """40 gateways and 20 servers, so many of which have just started, for 9 of the 10 s that they take."""
    fleet = endpoints(20)
    cluster = GatewayCluster(40, replace(SETTINGS, plans=(Plan(),), slow_start_fraction=0.25), fleet)
    for n in range(200):  # so that the rate is known
        cluster.send_request(n * 7 % 40, f"w{n}", customer=f"c{n}")
        cluster.advance(10 * MILLISECOND_US)
    start = cluster.drivers[0].now_us
    for driver in cluster.drivers:
        new = tuple(replace(server, started_us=start) for server in fleet[:cold])
        driver.handle(EndpointListReceived(EndpointListKind.CHANGES, 2, new))
    for n in range(900):
        cluster.send_request(n * 7 % 40, f"r{n}", customer=f"c{n}")
        cluster.advance(10 * MILLISECOND_US)
    return cluster, start


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_new_to_a_draining_server(state: EndpointState) -> None:
    driver = GatewayDriver(initial_endpoints=endpoints(2))
    driver.handle(EndpointListReceived(EndpointListKind.CHANGES, 2, endpoints(1, state=state)))
    for n in range(8):
        driver.send_request(f"r{n}")
    assert {action.endpoint for _, action in driver.log if isinstance(action, ForwardAttempt)} == {"s1"}


def test_server_missing_from_a_full_list_is_gone() -> None:
    driver = GatewayDriver(initial_endpoints=endpoints(2))
    driver.handle(EndpointListReceived(EndpointListKind.FULL, 2, endpoints(1)))
    for n in range(8):
        driver.send_request(f"r{n}")
    assert {action.endpoint for _, action in driver.log if isinstance(action, ForwardAttempt)} == {"s0"}


def test_backend_in_slow_start_gets_few_attempts() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(),)))
    for n in range(120):
        if n == 60:
            cold = replace(endpoints(4)[3], started_us=driver.now_us)
            driver.handle(EndpointListReceived(EndpointListKind.CHANGES, 2, (cold,)))
            driver.log.clear()
        driver.send_request(f"r{n}")
        driver.advance((10 + n * 37 % 50) * MILLISECOND_US)
        driver.end_attempt(f"r{n}")
    counts = [
        sum(a.endpoint == f"s{n}" for _, a in driver.log if isinstance(a, ForwardAttempt)) for n in range(4)
    ]
    assert 1 <= counts[3] <= 0.4 * sum(counts[:3]) / 3  # warmth is 0.2 to 0.36 in these 2 s


def test_servers_get_their_part_as_they_warm_also_from_many_gateways() -> None:
    """Each of 40 gateways has one request for a cold server in 30 s: the space must shrink while it runs."""
    cluster, start = cold_fleet(4)
    sends = sends_by_second(cluster, {f"s{n}" for n in range(4)}, start)
    assert sum(sends[:2]) < 0.5 * 2 * 20  # warmth 0.25 to 0.4 of a fifth of 100 a second
    assert sum(sends[6:9]) > 0.6 * 3 * 20  # warmth 0.7 to 0.93


def test_where_most_servers_are_cold_all_bear_a_like_part_of_what_they_can() -> None:
    cluster, start = cold_fleet(15)
    sends = sends_by_second(cluster, {f"s{n}" for n in range(15)}, start)
    assert 0.35 * 300 < sum(sends[:3]) < 0.7 * 300  # 15 * 0.36 of 5 + 15 * 0.36 are 0.52
    assert sends[0] < 0.7 * 100


def test_gateway_of_many_stays_with_servers_that_it_has_connections_to() -> None:
    """A new connection costs work; with 60 servers in a wide choice nearly each request would open one."""

    def opened(price: float) -> int:
        settings = replace(
            SETTINGS, plans=(Plan(),), handshake_price=price, idle_connection_ttl_us=15 * SECOND_US
        )
        driver = GatewayDriver(settings, endpoints(60))
        used: set[str] = set()
        for n in range(100):
            driver.send_request(f"r{n}")
            driver.advance((100 + n * 37 % 200) * MILLISECOND_US)
            used.add(driver.in_flight[(f"r{n}", 0)][0])
            driver.end_attempt(f"r{n}")
        return len(used)

    assert opened(0.08) <= 5
    assert opened(0.0) > 20


def test_connection_that_was_lost_or_is_old_counts_for_nothing() -> None:
    driver = GatewayDriver(
        replace(SETTINGS, plans=(Plan(),), handshake_price=0.1, idle_connection_ttl_us=5 * SECOND_US),
        endpoints(1),
    )
    (server,) = driver.gateway.load_balancer.ready
    for result, kept in (
        (AttemptResult.OK, True),
        (AttemptResult.RESET, False),
        (AttemptResult.ERROR, True),
        (AttemptResult.TIMEOUT, False),
        (AttemptResult.REJECTED, True),
    ):
        driver.gateway.attempts.retry_policy.tokens = 0
        driver.send_request(result.value)
        driver.end_attempt(result.value, result=result)
        assert (
            server.has_idle_connection(driver.now_us, driver.gateway.settings.idle_connection_ttl_us) is kept
        )
        driver.advance(SECOND_US)
    driver.advance(5 * SECOND_US)
    assert not server.has_idle_connection(driver.now_us, driver.gateway.settings.idle_connection_ttl_us)


def test_cold_server_is_not_flooded_by_a_hundred_gateways() -> None:
    """Each of them sees a server that has just started as the emptiest."""
    fleet = endpoints(20)
    cluster = GatewayCluster(100, replace(SETTINGS, plans=(Plan(),), slow_start_fraction=0.2), fleet)
    cold = replace(fleet[0], started_us=cluster.drivers[0].now_us)
    for driver in cluster.drivers:
        driver.gateway.attempts.mean_latency_us = [10 * MILLISECOND_US]
        driver.handle(EndpointListReceived(EndpointListKind.CHANGES, 2, (cold,)))
    for n in range(1000):
        cluster.send_request(n * 7 % 100, f"r{n}", customer=f"c{n}")
        if n % 5 == 0:
            cluster.advance(10 * MILLISECOND_US)
    names = [
        action.endpoint
        for driver in cluster.drivers
        for _, action in driver.log
        if isinstance(action, ForwardAttempt)
    ]
    assert len(names) == 1000
    assert 1 <= names.count("s0") <= 0.6 * 1000 / 20  # warmth is 0.2 to 0.36 in these 2 s


def test_clock_that_jumps_and_a_list_that_names_twice() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(),)), endpoints(2) + endpoints(2))
    driver.send_request("a")
    driver.now_us += 60 * SECOND_US
    driver.handle(TimerExpired(0))
    assert len(of_type(ForwardAttempt, driver.send_request("b"))) == 1
    driver.handle(EndpointListReceived(EndpointListKind.FULL, 3, ()))
    assert not of_type(ForwardAttempt, driver.send_request("c"))


def test_silent_backend_is_ejected_and_tried_later() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(),)), endpoints(3))
    bad, sends, trials = "s0", 0, 0
    for n in range(400):
        driver.send_request(f"r{n}")
        driver.advance((1 + n * 37 % 50) * MILLISECOND_US)
        for name, attempt in list(driver.in_flight):
            hit = driver.in_flight[(name, attempt)][0] == bad
            sends, trials = sends + hit, trials + (hit and n > 200)
            driver.end_attempt(name, AttemptResult.RESET if hit else AttemptResult.OK, attempt)
    assert sends < 20
    assert trials >= 1


def test_same_events_same_actions() -> None:
    logs = []
    for _ in range(2):
        driver = GatewayDriver(replace(SETTINGS, plans=(replace(PLAN, quota_rate=2.0, quota_burst=4.0),)))
        for n in range(100):
            driver.send_request(f"r{n}")
            driver.advance(30 * MILLISECOND_US)
        logs.append(driver.log)
    assert logs[0] == logs[1]


def test_list_must_be_asked_for() -> None:
    gateway = Gateway(replace(SETTINGS, must_poll_endpoints=True))
    assert SubscribeToEndpoints(True) in gateway.handle(
        5, EndpointListReceived(EndpointListKind.SAVED, 1, endpoints(2))
    )
    assert gateway.handle(9, EndpointListReceived(EndpointListKind.FAILED, 0)) == [SubscribeToEndpoints(True)]
    assert of_type(ForwardAttempt, gateway.handle(10, RequestReceived("a", 0, 0, "c", SECOND_US)))


def test_deploy_file_names_every_module_of_the_decisions_and_each_stays_small() -> None:
    files = [ROOT / name for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]]
    decisions = ROOT / "molereach" / "policy"
    interface = set((decisions / "interface").rglob("*.py"))
    assert set(files) == set(decisions.rglob("*.py")) - interface
    for file in files:
        lines = file.read_text().splitlines()
        assert len(lines) <= MAX_MODULE_LINES, file
        assert max(map(len, lines)) <= 110, file


def test_servers_that_are_gone_and_customers_that_are_full_again_are_forgotten() -> None:
    driver = GatewayDriver(initial_endpoints=endpoints(2))
    for number in range(200):
        gone = Endpoint(f"x{number}", 0, 0, 0, EndpointState.UP)
        driver.handle(EndpointListReceived(EndpointListKind.CHANGES, number, (gone,)))
        driver.handle(
            EndpointListReceived(
                EndpointListKind.CHANGES, number, (replace(gone, state=EndpointState.REMOVED),)
            )
        )
        driver.send_request(f"a{number}", customer=f"once{number}")
        driver.end_attempt(f"a{number}")
    assert set(driver.gateway.load_balancer.backends) == {"s0", "s1"}
    assert len(driver.gateway.customers.accounts) == 200
    driver.advance(12 * SECOND_US)
    assert not driver.gateway.customers.accounts and not driver.gateway.customers.first_keys
    assert not driver.gateway.attempts.pending


def test_fleet_that_is_all_cold_is_sent_what_comes() -> None:
    """Spaced by the rate of what was sent, it would never be sent more than it was."""
    driver = GatewayDriver(
        replace(SETTINGS, plans=(Plan(quota_rate=1e4, quota_burst=1e4),), slow_start_fraction=0.9),
        endpoints(4),
    )
    for server in driver.gateway.load_balancer.backends.values():
        server.slow_start_from_us = driver.now_us  # as after a suspicion
    driver.gateway.load_balancer.forward_rate = 1.0
    for number in range(400):
        driver.send_request(f"a{number}", remaining_us=6 * SECOND_US)
        driver.advance(20 * MILLISECOND_US)
        for name, attempt in list(driver.in_flight):
            driver.end_attempt(name, attempt=attempt)
    sent = [
        at
        for at, action in driver.log
        if isinstance(action, ForwardAttempt) and at > driver.now_us - SECOND_US
    ]
    assert len(sent) > 30  # 50 came in the last second; before, 4 were sent
