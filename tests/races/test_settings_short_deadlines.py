"""Deployments with far shorter deadlines than usual: waiting times scale with them."""

import zlib
from dataclasses import replace

import pytest

from molereach.policy.interface.actions import FailRequest, ForwardAttempt, Reject, SendGossip
from molereach.policy.interface.events import AttemptResult
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, RequestClass
from molereach.policy.overload_control import OverloadControl
from molereach.policy.time_units import TICK_US
from tests.helpers import MILLISECOND_US, SETTINGS, GatewayDriver

SHORT_CLASS = RequestClass(latency_objective_us=100 * MILLISECOND_US, deadline_us=400 * MILLISECOND_US)
TWO_PROXIES = replace(SETTINGS, proxy_count=2, classes=(SHORT_CLASS,))
REMAINING_US = SHORT_CLASS.deadline_us - 25 * MILLISECOND_US


def customer_of_other_home(driver: GatewayDriver) -> str:
    return next(f"c{number}" for number in range(99) if zlib.crc32(f"c{number}".encode()) % 2)


def question_times(driver: GatewayDriver) -> list[int]:
    return [
        time_us
        for time_us, action in driver.log
        if isinstance(action, SendGossip)
        for message in action.messages
        if message.requested_units
    ]


def test_lost_gossip_is_requested_again_where_the_wait_is_short() -> None:
    """The wait is a third of the latency objective; whether time remains for another was judged by the
    longest wait."""
    driver = GatewayDriver(TWO_PROXIES)
    name = customer_of_other_home(driver)
    for number in range(11):  # the eleventh exceeds this proxy's part of the burst
        driver.send_request(f"a{number}", customer=name, set_size=2, remaining_us=REMAINING_US)
    driver.advance(REMAINING_US // 2)
    assert len(question_times(driver)) == 3
    assert [
        time_us
        for time_us, action in driver.log
        if isinstance(action, ForwardAttempt | Reject) and action.request_id == "a10"
    ]


@pytest.mark.parametrize("idempotency", list(Idempotency))
@pytest.mark.parametrize(
    ("objective_us", "deadline_us"),
    [(100 * MILLISECOND_US, 400 * MILLISECOND_US), (60 * MILLISECOND_US, 200 * MILLISECOND_US)],
)
def test_each_request_gets_one_answer_before_its_deadline(
    idempotency: Idempotency, objective_us: int, deadline_us: int
) -> None:
    """Backends that never respond, and a silent home: the final answer still comes before the deadline."""
    request_class = RequestClass(
        objective_us,
        deadline_us,
        idempotency=idempotency,
        deduplication_window_us=objective_us // 2,
        deduplication_scope=DeduplicationScope.CELL,
    )
    driver = GatewayDriver(replace(TWO_PROXIES, classes=(request_class,), max_attempts=2))
    arrived_us = {}
    for number in range(40):
        arrived_us[f"a{number}"] = driver.now_us
        driver.send_request(
            f"a{number}",
            customer=customer_of_other_home(driver),
            set_size=2,
            remaining_us=deadline_us - 25 * MILLISECOND_US,
        )
        for _ in range(2):
            driver.advance(10 * MILLISECOND_US)
            for (name, attempt), (_, sent_us, timeout_us) in list(driver.in_flight.items()):
                if timeout_us and driver.now_us - sent_us >= timeout_us:
                    driver.end_attempt(name, AttemptResult.TIMEOUT, attempt)
    for _ in range(deadline_us // (10 * MILLISECOND_US)):
        driver.advance(10 * MILLISECOND_US)
        for (name, attempt), (_, sent_us, timeout_us) in list(driver.in_flight.items()):
            if timeout_us and driver.now_us - sent_us >= timeout_us:
                driver.end_attempt(name, AttemptResult.TIMEOUT, attempt)
    final_answers = [
        (time_us, action.request_id)
        for time_us, action in driver.log
        if isinstance(action, Reject | FailRequest)
    ]
    assert sorted(name for _, name in final_answers) == sorted(arrived_us)
    assert all(time_us - arrived_us[name] < deadline_us for time_us, name in final_answers)


def test_control_periods_are_no_shorter_than_a_tick() -> None:
    """With an objective of a millisecond a period was 667 us, so that one tick ended thirty; with 1 us,
    thousands."""
    for objective_us in (1, 1000, 29 * MILLISECOND_US):
        request_class = RequestClass(objective_us, 400 * MILLISECOND_US)
        assert OverloadControl(replace(SETTINGS, classes=(request_class,))).control_period_us == TICK_US
    assert OverloadControl(replace(SETTINGS, classes=(SHORT_CLASS,))).control_period_us == pytest.approx(
        66_667
    )
