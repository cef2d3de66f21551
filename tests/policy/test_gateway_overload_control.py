"""Overload control in a gateway: which requests wait, in which order they are forwarded, and its inputs."""

from dataclasses import replace

import pytest

from molereach.policy.interface.actions import ForwardAttempt, Reject
from molereach.policy.interface.events import EndpointListKind, EndpointListReceived, LoadReport
from molereach.policy.interface.settings import Plan, RequestClass
from molereach.policy.overload_control import IN_FLIGHT_PER_BACKEND, UTILIZATION_TARGETS, next_n
from tests.helpers import IDEMPOTENT, MILLISECOND_US, SECOND_US, SETTINGS, GatewayDriver, endpoints, of_type

TARGETS = UTILIZATION_TARGETS


def loaded_driver(utilization: float, plans: tuple[Plan, ...] = (Plan(),)) -> GatewayDriver:
    patient_classes = (RequestClass(latency_objective_us=6 * SECOND_US, deadline_us=6 * SECOND_US),)
    driver = GatewayDriver(replace(SETTINGS, plans=plans, proxy_count=2, classes=patient_classes))
    for n in range(20):
        driver.send_request(f"w{n}")
        driver.advance(50 * MILLISECOND_US)
        driver.end_attempt(f"w{n}", report=LoadReport(cpu_utilization=utilization))
    driver.advance(20 * MILLISECOND_US)
    return driver


def test_n_is_set_spread_over_the_period_and_lifted() -> None:
    driver = loaded_driver(0.9)
    # 8 for each of 4 ready backends, divided by two gateways
    assert driver.gateway.overload_control.n_past == 16
    for n in range(150):
        driver.send_request(f"r{n}", customer=f"c{n}")
    driver.advance(driver.gateway.overload_control.period_started_at_us + SECOND_US - driver.now_us)
    start_us, allowed_count = driver.now_us, driver.gateway.overload_control.n_past
    for _ in range(99):
        for name, attempt in list(driver.in_flight):
            driver.end_attempt(name, attempt=attempt)
        driver.advance(10 * MILLISECOND_US)
    forwarded_at_us = [
        at_us for at_us, action in driver.log if isinstance(action, ForwardAttempt) and at_us >= start_us
    ]
    assert len(forwarded_at_us) == allowed_count
    assert forwarded_at_us[-1] - forwarded_at_us[0] > 0.8 * SECOND_US
    idle_driver = loaded_driver(0.3)
    assert idle_driver.gateway.overload_control.n_past is None
    assert idle_driver.gateway.overload_control.overhead == pytest.approx(0.3)


def test_limit_of_attempts_in_flight_is_divided_by_the_sharing_proxies() -> None:
    """With 256 of 93,000 backends, each shared by 21 of 7,500 gateways, the limit is divided by 21.

    Divided by all gateways, it would allow only two attempts in flight.
    """
    driver = GatewayDriver(replace(SETTINGS, proxy_count=7500, plans=(Plan(),)), endpoints(256))
    driver.handle(EndpointListReceived(EndpointListKind.FULL, 2, endpoints(256), sharing_proxies=21))
    for n in range(120):
        driver.send_request(f"r{n}")
    assert len(driver.in_flight) == IN_FLIGHT_PER_BACKEND * 256 // 21


def test_control_period_follows_the_rate() -> None:
    """At two requests per second, an N of one or two per second would halve or double by rounding alone."""
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(),), proxy_count=20), endpoints(10))
    for n in range(40):
        driver.send_request(f"r{n}")
        driver.advance(500 * MILLISECOND_US)
        for name, attempt in list(driver.in_flight):
            driver.end_attempt(name, attempt=attempt, report=LoadReport(cpu_utilization=0.9))
    assert driver.gateway.overload_control.control_period_us == 2 * SECOND_US
    assert 4 <= driver.gateway.overload_control.n_past <= 12
    assert next_n(10, 1, 0.99, 0.1, TARGETS, 4.0) == 4  # steps per time unit: 10 * 0.9 ** 8
    assert next_n(10, 10, 0.2, 0.3, TARGETS, 4.0) == 20


def test_n_in_full_use_is_not_lifted() -> None:
    driver = loaded_driver(0.9)
    for n in range(60):
        driver.send_request(f"r{n}")
    for _ in range(110):
        driver.advance(10 * MILLISECOND_US)
        for name, attempt in list(driver.in_flight):
            driver.end_attempt(name, attempt=attempt, report=LoadReport(cpu_utilization=0.3))
    assert driver.gateway.overload_control.n_past == 19  # the largest increase from 16


def test_waiting_requests_are_forwarded_by_priority_then_arrival() -> None:
    plans = (Plan(priority_factor=1.0), Plan(priority_factor=3.0))
    driver = loaded_driver(0.9, plans)
    for n in range(30):
        driver.send_request(f"fill{n}")
    driver.send_request("low1")
    driver.send_request("high1", plan_index=1, customer="d")
    driver.send_request("high2", plan_index=1, customer="d")
    forwarded_ids = [action.request_id for action in of_type(ForwardAttempt, driver.advance(SECOND_US))]
    assert forwarded_ids[:2] == ["high1", "high2"]


def test_request_waiting_past_its_objective_is_rejected_in_time() -> None:
    driver = GatewayDriver(fleet=())
    driver.send_request("a")
    started_us = driver.now_us
    driver.advance(3 * SECOND_US)
    answered_at_us = [at_us for at_us, action in driver.log if action == Reject("a", 500 * MILLISECOND_US)]
    assert len(answered_at_us) == 1
    assert answered_at_us[0] - started_us < 2 * SECOND_US


def test_attempts_in_flight_are_bounded() -> None:
    """Backends that do not answer must not get ever more attempts, even while N is not set."""
    drivers = [
        GatewayDriver(
            replace(SETTINGS, plans=(Plan(),), proxy_count=5, proxy_index=proxy_index), endpoints(10)
        )
        for proxy_index in range(5)
    ]
    for driver in drivers:
        for n in range(200):
            driver.send_request(f"r{n}")
        assert driver.gateway.overload_control.n_past is None
    assert sum(len(driver.in_flight) for driver in drivers) == 80  # 8 for each of 10 backends
    drivers[0].end_attempt("r0")
    drivers[0].advance(20 * MILLISECOND_US)
    assert len(drivers[0].in_flight) == 16


def test_overdue_attempts_raise_the_latency_signal() -> None:
    """Backends that hang return no answers; without the ages of attempts in flight, N would not be set."""
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan(),)))
    for n in range(20):
        driver.send_request(f"r{n}")
    driver.advance(1100 * MILLISECOND_US)
    assert driver.gateway.overload_control.n_past is not None


def test_n_is_set_and_updated_by_the_time_unit() -> None:
    """If objectives are a third, backends serve three times the rate, and overload builds up as fast."""
    for scale in (1, 3):
        request_class = replace(IDEMPOTENT, latency_objective_us=round(1.5 * SECOND_US) // scale)
        gateway = GatewayDriver(replace(SETTINGS, classes=(request_class,), proxy_count=2)).gateway
        assert gateway.overload_control.control_period_us == SECOND_US // scale
        gateway.overload_control.utilization_samples = [0.9]
        gateway.overload_control.update(100, 4, list)
        # 8 for each of 4 ready backends, divided by two gateways
        assert gateway.overload_control.n_past == 16
        gateway.overload_control.utilization_samples = [0.1]
        gateway.overload_control.update(16, 4, list)
        assert gateway.overload_control.n_past == 19
