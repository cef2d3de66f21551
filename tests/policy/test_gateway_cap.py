"""The cap in a gateway: what it holds, in which order it leaves, and what the cap goes by."""

from dataclasses import replace

import pytest

from molereach.policy.interface.actions import ForwardAttempt, Reject
from molereach.policy.interface.events import EndpointListKind, EndpointListReceived, LoadReport
from molereach.policy.interface.settings import Plan, RequestClass
from molereach.policy.overload_control import IN_FLIGHT_PER_BACKEND, UTILIZATION_TARGETS, next_n
from tests.helpers import MS, SAFE, SETTINGS, S, World, of, servers

UTIL = UTILIZATION_TARGETS


def loaded_world(util: float, plans: tuple[Plan, ...] = (Plan(),)) -> World:
    patient = (RequestClass(latency_objective_us=6 * S, deadline_us=6 * S),)
    world = World(replace(SETTINGS, plans=plans, proxy_count=2, classes=patient))
    for n in range(20):
        world.ask(f"w{n}")
        world.run(50 * MS)
        world.answer(f"w{n}", report=LoadReport(cpu_utilization=util))
    world.run(20 * MS)
    return world


def test_cap_engages_spreads_and_is_lifted() -> None:
    world = loaded_world(0.9)
    assert (
        world.gateway.overload_control.n_past == 16
    )  # 8 for each of 4 ready servers, halved over two gateways
    for n in range(150):
        world.ask(f"r{n}", customer=f"c{n}")
    world.run(world.gateway.overload_control.period_started_at_us + S - world.now)
    start, allowed = world.now, world.gateway.overload_control.n_past
    for _ in range(99):
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
        world.run(10 * MS)
    sends = [at for at, action in world.log if isinstance(action, ForwardAttempt) and at >= start]
    assert len(sends) == allowed
    assert sends[-1] - sends[0] > 0.8 * S
    idle = loaded_world(0.3)
    assert idle.gateway.overload_control.n_past is None
    assert idle.gateway.overload_control.overhead == pytest.approx(0.3)


def test_what_may_be_out_is_counted_over_those_that_share_the_servers() -> None:
    """256 of 93,000 servers, each shared by 21 of 7,500 gateways: without it two attempts could be out."""
    world = World(replace(SETTINGS, proxy_count=7500, plans=(Plan(),)), servers(256))
    world.tell(EndpointListReceived(EndpointListKind.FULL, 2, servers(256), sharing_proxies=21))
    for n in range(120):
        world.ask(f"r{n}")
    assert len(world.out) == IN_FLIGHT_PER_BACKEND * 256 // 21


def test_period_follows_the_rate() -> None:
    """With two requests a second, N of one or two a second would halve or double by rounding alone."""
    world = World(replace(SETTINGS, plans=(Plan(),), proxy_count=20), servers(10))
    for n in range(40):
        world.ask(f"r{n}")
        world.run(500 * MS)
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt, report=LoadReport(cpu_utilization=0.9))
    assert world.gateway.overload_control.control_period_us == 2 * S
    assert 4 <= world.gateway.overload_control.n_past <= 12
    assert next_n(10, 1, 0.99, 0.1, UTIL, 4.0) == 4  # steps by the second: 10 * 0.9 ** 8
    assert next_n(10, 10, 0.2, 0.3, UTIL, 4.0) == 20


def test_cap_in_full_use_is_not_lifted() -> None:
    world = loaded_world(0.9)
    for n in range(60):
        world.ask(f"r{n}")
    for _ in range(110):
        world.run(10 * MS)
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt, report=LoadReport(cpu_utilization=0.3))
    assert world.gateway.overload_control.n_past == 19  # the largest step from 16


def test_held_leave_by_worth_then_arrival() -> None:
    plans = (Plan(priority_factor=1.0), Plan(priority_factor=3.0))
    world = loaded_world(0.9, plans)
    for n in range(30):
        world.ask(f"fill{n}")
    world.ask("low1")
    world.ask("high1", plan_index=1, customer="d")
    world.ask("high2", plan_index=1, customer="d")
    order = [action.request_id for action in of(ForwardAttempt, world.run(S))]
    assert order[:2] == ["high1", "high2"]


def test_held_past_its_aim_is_refused_in_time() -> None:
    world = World(fleet=())
    world.ask("a")
    started = world.now
    world.run(3 * S)
    answered = [at for at, action in world.log if action == Reject("a", 500 * MS)]
    assert len(answered) == 1
    assert answered[0] - started < 2 * S


def test_attempts_out_at_once_are_bounded() -> None:
    """Servers that answer nobody must not be given more and more, whatever the cap says."""
    worlds = [
        World(replace(SETTINGS, plans=(Plan(),), proxy_count=5, proxy_index=me), servers(10))
        for me in range(5)
    ]
    for world in worlds:
        for n in range(200):
            world.ask(f"r{n}")
        assert world.gateway.overload_control.n_past is None
    assert sum(len(world.out) for world in worlds) == 80  # 8 for each of 10
    worlds[0].answer("r0")
    worlds[0].run(20 * MS)
    assert len(worlds[0].out) == 16


def test_overdue_attempts_raise_the_latency_signal() -> None:
    """A jam answers nobody; waiting for answers would leave the cap lifted."""
    world = World(replace(SETTINGS, plans=(Plan(),)))
    for n in range(20):
        world.ask(f"r{n}")
    world.run(1100 * MS)
    assert world.gateway.overload_control.n_past is not None


def test_cap_starts_and_moves_by_the_second_of_the_deployment() -> None:
    """Where aims are a third, servers do three times as much in a second, and jams build up as fast."""
    for scale in (1, 3):
        rule = replace(SAFE, latency_objective_us=round(1.5 * S) // scale)
        gateway = World(replace(SETTINGS, classes=(rule,), proxy_count=2)).gateway
        assert gateway.overload_control.control_period_us == S // scale
        gateway.overload_control.utilization_samples = [0.9]
        gateway.overload_control.update(100, 4, list)
        assert (
            gateway.overload_control.n_past == 16
        )  # 8 for each of 4 ready servers, halved over two gateways
        gateway.overload_control.utilization_samples = [0.1]
        gateway.overload_control.update(16, 4, list)
        assert gateway.overload_control.n_past == 19
