"""Deployments whose times are far shorter than usual: what is waited for scales with them."""

import zlib
from dataclasses import replace

import pytest

from molereach.policy.interface.actions import FailRequest, ForwardAttempt, Reject, SendGossip
from molereach.policy.interface.events import AttemptResult
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, RequestClass
from molereach.policy.overload_control import OverloadControl
from molereach.policy.time_units import TICK_US
from tests.helpers import MILLISECOND_US, SETTINGS, GatewayDriver

SHORT = RequestClass(latency_objective_us=100 * MILLISECOND_US, deadline_us=400 * MILLISECOND_US)
PAIR = replace(SETTINGS, proxy_count=2, classes=(SHORT,))
LEFT_US = SHORT.deadline_us - 25 * MILLISECOND_US


def other_home(world: GatewayDriver) -> str:
    return next(f"c{n}" for n in range(99) if zlib.crc32(f"c{n}".encode()) % 2)


def asks(world: GatewayDriver) -> list[int]:
    return [
        at
        for at, action in world.log
        if isinstance(action, SendGossip)
        for word in action.messages
        if word.requested_units
    ]


def test_word_that_was_lost_is_asked_for_again_where_the_wait_is_short() -> None:
    """The wait is a third of the aim; whether there is time for another was judged by the longest wait."""
    world = GatewayDriver(PAIR)
    name = other_home(world)
    for number in range(11):  # the eleventh is past this one's part of the burst
        world.send_request(f"a{number}", customer=name, set_size=2, remaining_us=LEFT_US)
    world.advance(LEFT_US // 2)
    assert len(asks(world)) == 3
    assert [
        at
        for at, action in world.log
        if isinstance(action, ForwardAttempt | Reject) and action.request_id == "a10"
    ]


@pytest.mark.parametrize("effect", list(Idempotency))
@pytest.mark.parametrize(
    ("aim_us", "deadline_us"),
    [(100 * MILLISECOND_US, 400 * MILLISECOND_US), (60 * MILLISECOND_US, 200 * MILLISECOND_US)],
)
def test_each_request_has_one_answer_in_time(effect: Idempotency, aim_us: int, deadline_us: int) -> None:
    """Servers that answer nothing, and a home that is silent: the final answer comes before the deadline."""
    rule = RequestClass(
        aim_us,
        deadline_us,
        idempotency=effect,
        deduplication_window_us=aim_us // 2,
        deduplication_scope=DeduplicationScope.CELL,
    )
    world = GatewayDriver(replace(PAIR, classes=(rule,), max_attempts=2))
    came = {}
    for number in range(40):
        came[f"a{number}"] = world.now_us
        world.send_request(
            f"a{number}",
            customer=other_home(world),
            set_size=2,
            remaining_us=deadline_us - 25 * MILLISECOND_US,
        )
        for _ in range(2):
            world.advance(10 * MILLISECOND_US)
            for (name, attempt), (_, sent, wait) in list(world.in_flight.items()):
                if wait and world.now_us - sent >= wait:
                    world.end_attempt(name, AttemptResult.TIMEOUT, attempt)
    for _ in range(deadline_us // (10 * MILLISECOND_US)):
        world.advance(10 * MILLISECOND_US)
        for (name, attempt), (_, sent, wait) in list(world.in_flight.items()):
            if wait and world.now_us - sent >= wait:
                world.end_attempt(name, AttemptResult.TIMEOUT, attempt)
    ended = [(at, action.request_id) for at, action in world.log if isinstance(action, Reject | FailRequest)]
    assert sorted(name for _, name in ended) == sorted(came)
    assert all(at - came[name] < deadline_us for at, name in ended)


def test_periods_are_no_shorter_than_the_steps_that_end_them() -> None:
    """With an aim of a millisecond a period was 667 us, and a tick ended thirty; of 1 us, thousands."""
    for aim_us in (1, 1000, 29 * MILLISECOND_US):
        rule = RequestClass(aim_us, 400 * MILLISECOND_US)
        assert OverloadControl(replace(SETTINGS, classes=(rule,))).control_period_us == TICK_US
    assert OverloadControl(replace(SETTINGS, classes=(SHORT,))).control_period_us == pytest.approx(66_667)
