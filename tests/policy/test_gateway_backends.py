"""Backends in a gateway: draining, slow start, ejection and the endpoint list; and the policy's modules."""

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


def attempts_by_second(cluster: GatewayCluster, names: set[str], start_us: int) -> list[int]:
    """Attempts of all gateways at these backends, by second."""
    seconds = [
        (at_us - start_us) // SECOND_US
        for driver in cluster.drivers
        for at_us, action in driver.log
        if isinstance(action, ForwardAttempt) and action.endpoint in names
    ]
    return [seconds.count(second) for second in range(max(seconds) + 1)]


def run_starting_cluster(starting_count: int) -> tuple[GatewayCluster, int]:
    """40 gateways and 20 backends, some of which have just started, after 9 of the 10 s of slow start."""
    fleet = endpoints(20)
    cluster = GatewayCluster(40, replace(SETTINGS, plans=(Plan(),), slow_start_fraction=0.25), fleet)
    for n in range(200):  # so that the gateways know the rate
        cluster.send_request(n * 7 % 40, f"w{n}", customer=f"c{n}")
        cluster.advance(10 * MILLISECOND_US)
    start_us = cluster.drivers[0].now_us
    for driver in cluster.drivers:
        restarted = tuple(replace(backend, started_us=start_us) for backend in fleet[:starting_count])
        driver.handle(EndpointListReceived(EndpointListKind.CHANGES, 2, restarted))
    for n in range(900):
        cluster.send_request(n * 7 % 40, f"r{n}", customer=f"c{n}")
        cluster.advance(10 * MILLISECOND_US)
    return cluster, start_us


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_draining_or_removed_backend_gets_no_new_attempts(state: EndpointState) -> None:
    driver = GatewayDriver(fleet=endpoints(2))
    driver.handle(EndpointListReceived(EndpointListKind.CHANGES, 2, endpoints(1, state=state)))
    for n in range(8):
        driver.send_request(f"r{n}")
    assert {action.endpoint for _, action in driver.log if isinstance(action, ForwardAttempt)} == {"s1"}


def test_backend_missing_from_a_full_list_is_removed() -> None:
    driver = GatewayDriver(fleet=endpoints(2))
    driver.handle(EndpointListReceived(EndpointListKind.FULL, 2, endpoints(1)))
    for n in range(8):
        driver.send_request(f"r{n}")
    assert {action.endpoint for _, action in driver.log if isinstance(action, ForwardAttempt)} == {"s0"}


def test_backend_in_slow_start_gets_few_attempts() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(),)))
    for n in range(120):
        if n == 60:
            starting_backend = replace(endpoints(4)[3], started_us=driver.now_us)
            driver.handle(EndpointListReceived(EndpointListKind.CHANGES, 2, (starting_backend,)))
            driver.log.clear()
        driver.send_request(f"r{n}")
        driver.advance((10 + n * 37 % 50) * MILLISECOND_US)
        driver.end_attempt(f"r{n}")
    counts = [
        sum(a.endpoint == f"s{n}" for _, a in driver.log if isinstance(a, ForwardAttempt)) for n in range(4)
    ]
    assert 1 <= counts[3] <= 0.4 * sum(counts[:3]) / 3  # the capacity fraction is 0.2 to 0.36 in these 2 s


def test_load_of_many_gateways_follows_the_capacity_fraction_in_slow_start() -> None:
    """Each of 40 gateways sends a starting backend one attempt in 30 s; the interval must keep shrinking."""
    cluster, start_us = run_starting_cluster(4)
    attempt_counts = attempts_by_second(cluster, {f"s{n}" for n in range(4)}, start_us)
    assert sum(attempt_counts[:2]) < 0.5 * 2 * 20  # fraction 0.25 to 0.4 of a fifth of 100 per second
    assert sum(attempt_counts[6:9]) > 0.6 * 3 * 20  # fraction 0.7 to 0.93


def test_load_is_proportional_to_capacity_if_most_backends_are_in_slow_start() -> None:
    cluster, start_us = run_starting_cluster(15)
    attempt_counts = attempts_by_second(cluster, {f"s{n}" for n in range(15)}, start_us)
    assert 0.35 * 300 < sum(attempt_counts[:3]) < 0.7 * 300  # 15 * 0.36 of 5 + 15 * 0.36 are 0.52
    assert attempt_counts[0] < 0.7 * 100


def test_gateway_prefers_backends_with_idle_connections() -> None:
    """Choosing among all 60 backends, nearly each request would open a new connection, which costs work."""

    def used_backend_count(handshake_price: float) -> int:
        settings = replace(
            SETTINGS, plans=(Plan(),), handshake_price=handshake_price, idle_connection_ttl_us=15 * SECOND_US
        )
        driver = GatewayDriver(settings, endpoints(60))
        used: set[str] = set()
        for n in range(100):
            driver.send_request(f"r{n}")
            driver.advance((100 + n * 37 % 200) * MILLISECOND_US)
            used.add(driver.in_flight[(f"r{n}", 0)][0])
            driver.end_attempt(f"r{n}")
        return len(used)

    assert used_backend_count(0.08) <= 5
    assert used_backend_count(0.0) > 20


def test_lost_or_old_connection_does_not_count_as_idle() -> None:
    driver = GatewayDriver(
        replace(SETTINGS, plans=(Plan(),), handshake_price=0.1, idle_connection_ttl_us=5 * SECOND_US),
        endpoints(1),
    )
    (backend,) = driver.gateway.load_balancer.ready
    for result, is_idle in (
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
            backend.has_idle_connection(driver.now_us, driver.gateway.settings.idle_connection_ttl_us)
            is is_idle
        )
        driver.advance(SECOND_US)
    driver.advance(5 * SECOND_US)
    assert not backend.has_idle_connection(driver.now_us, driver.gateway.settings.idle_connection_ttl_us)


def test_starting_backend_is_not_flooded_by_a_hundred_gateways() -> None:
    """To each gateway, a backend that has just started looks the least loaded."""
    fleet = endpoints(20)
    cluster = GatewayCluster(100, replace(SETTINGS, plans=(Plan(),), slow_start_fraction=0.2), fleet)
    starting_backend = replace(fleet[0], started_us=cluster.drivers[0].now_us)
    for driver in cluster.drivers:
        driver.gateway.attempts.mean_latency_us = [10 * MILLISECOND_US]
        driver.handle(EndpointListReceived(EndpointListKind.CHANGES, 2, (starting_backend,)))
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
    assert 1 <= names.count("s0") <= 0.6 * 1000 / 20  # the capacity fraction is 0.2 to 0.36 in these 2 s


def test_clock_jump_and_duplicate_endpoints_are_tolerated() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(),)), endpoints(2) + endpoints(2))
    driver.send_request("a")
    driver.now_us += 60 * SECOND_US
    driver.handle(TimerExpired(0))
    assert len(of_type(ForwardAttempt, driver.send_request("b"))) == 1
    driver.handle(EndpointListReceived(EndpointListKind.FULL, 3, ()))
    assert not of_type(ForwardAttempt, driver.send_request("c"))


def test_silent_backend_is_ejected_and_tried_later() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(),)), endpoints(3))
    failing_backend, attempt_counts, trial_count = "s0", 0, 0
    for n in range(400):
        driver.send_request(f"r{n}")
        driver.advance((1 + n * 37 % 50) * MILLISECOND_US)
        for name, attempt in list(driver.in_flight):
            is_failing = driver.in_flight[(name, attempt)][0] == failing_backend
            attempt_counts, trial_count = attempt_counts + is_failing, trial_count + (is_failing and n > 200)
            driver.end_attempt(name, AttemptResult.RESET if is_failing else AttemptResult.OK, attempt)
    assert attempt_counts < 20
    assert trial_count >= 1


def test_same_events_lead_to_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        driver = GatewayDriver(replace(SETTINGS, plans=(replace(PLAN, quota_rate=2.0, quota_burst=4.0),)))
        for n in range(100):
            driver.send_request(f"r{n}")
            driver.advance(30 * MILLISECOND_US)
        logs.append(driver.log)
    assert logs[0] == logs[1]


def test_gateway_subscribes_to_the_endpoint_list_after_a_saved_list_or_a_failure() -> None:
    gateway = Gateway(replace(SETTINGS, must_poll_endpoints=True))
    assert SubscribeToEndpoints(True) in gateway.handle(
        5, EndpointListReceived(EndpointListKind.SAVED, 1, endpoints(2))
    )
    assert gateway.handle(9, EndpointListReceived(EndpointListKind.FAILED, 0)) == [SubscribeToEndpoints(True)]
    assert of_type(ForwardAttempt, gateway.handle(10, RequestReceived("a", 0, 0, "c", SECOND_US)))


def test_deploy_file_lists_every_module_of_the_policy_and_each_stays_small() -> None:
    files = [ROOT / name for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]]
    policy = ROOT / "molereach" / "policy"
    interface = set((policy / "interface").rglob("*.py"))
    assert set(files) == set(policy.rglob("*.py")) - interface
    for file in files:
        lines = file.read_text().splitlines()
        assert len(lines) <= MAX_MODULE_LINES, file
        assert max(map(len, lines)) <= 110, file


def test_removed_backends_and_customers_with_full_buckets_are_evicted() -> None:
    driver = GatewayDriver(fleet=endpoints(2))
    for number in range(200):
        endpoint = Endpoint(f"x{number}", 0, 0, 0, EndpointState.UP)
        driver.handle(EndpointListReceived(EndpointListKind.CHANGES, number, (endpoint,)))
        driver.handle(
            EndpointListReceived(
                EndpointListKind.CHANGES, number, (replace(endpoint, state=EndpointState.REMOVED),)
            )
        )
        driver.send_request(f"a{number}", customer=f"once{number}")
        driver.end_attempt(f"a{number}")
    assert set(driver.gateway.load_balancer.backends) == {"s0", "s1"}
    assert len(driver.gateway.customers.accounts) == 200
    driver.advance(12 * SECOND_US)
    assert not driver.gateway.customers.accounts and not driver.gateway.customers.first_keys
    assert not driver.gateway.attempts.pending


def test_backends_that_are_all_in_slow_start_get_all_requests() -> None:
    """If slow start were spaced by the rate of forwarded attempts, that rate could never grow."""
    driver = GatewayDriver(
        replace(SETTINGS, plans=(Plan(quota_rate=1e4, quota_burst=1e4),), slow_start_fraction=0.9),
        endpoints(4),
    )
    for backend in driver.gateway.load_balancer.backends.values():
        backend.slow_start_from_us = driver.now_us  # as after an ejection
    driver.gateway.load_balancer.forward_rate = 1.0
    for number in range(400):
        driver.send_request(f"a{number}", left_us=6 * SECOND_US)
        driver.advance(20 * MILLISECOND_US)
        for name, attempt in list(driver.in_flight):
            driver.end_attempt(name, attempt=attempt)
    forwarded_at_us = [
        at_us
        for at_us, action in driver.log
        if isinstance(action, ForwardAttempt) and at_us > driver.now_us - SECOND_US
    ]
    # 50 were received in the last second; when spaced by the rate of forwarded attempts, 4 were forwarded.
    assert len(forwarded_at_us) > 30
