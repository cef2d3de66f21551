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
from tests.helpers import MS, PLAN, SETTINGS, S, Set, World, of, servers

ROOT = Path(__file__).parents[2]

MAX_MODULE_LINES = 250


def sends_by_second(gates: Set, names: set[str], start: int) -> list[int]:
    """Sends of all gateways to these servers, for each second."""
    times = [
        (at - start) // S
        for world in gates.worlds
        for at, action in world.log
        if isinstance(action, ForwardAttempt) and action.endpoint in names
    ]
    return [times.count(second) for second in range(max(times) + 1)]


def cold_fleet(cold: int) -> tuple[Set, int]:
    """40 gateways and 20 servers, so many of which have just started, for 9 of the 10 s that they take."""
    fleet = servers(20)
    gates = Set(40, replace(SETTINGS, plans=(Plan(),), slow_start_fraction=0.25), fleet)
    for n in range(200):  # so that the rate is known
        gates.ask(n * 7 % 40, f"w{n}", customer=f"c{n}")
        gates.run(10 * MS)
    start = gates.worlds[0].now
    for world in gates.worlds:
        new = tuple(replace(server, started_us=start) for server in fleet[:cold])
        world.tell(EndpointListReceived(EndpointListKind.CHANGES, 2, new))
    for n in range(900):
        gates.ask(n * 7 % 40, f"r{n}", customer=f"c{n}")
        gates.run(10 * MS)
    return gates, start


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_new_to_a_draining_server(state: EndpointState) -> None:
    world = World(fleet=servers(2))
    world.tell(EndpointListReceived(EndpointListKind.CHANGES, 2, servers(1, state=state)))
    for n in range(8):
        world.ask(f"r{n}")
    assert {action.endpoint for _, action in world.log if isinstance(action, ForwardAttempt)} == {"s1"}


def test_server_missing_from_a_full_list_is_gone() -> None:
    world = World(fleet=servers(2))
    world.tell(EndpointListReceived(EndpointListKind.FULL, 2, servers(1)))
    for n in range(8):
        world.ask(f"r{n}")
    assert {action.endpoint for _, action in world.log if isinstance(action, ForwardAttempt)} == {"s0"}


def test_cold_server_is_sent_little() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)))
    for n in range(120):
        if n == 60:
            cold = replace(servers(4)[3], started_us=world.now)
            world.tell(EndpointListReceived(EndpointListKind.CHANGES, 2, (cold,)))
            world.log.clear()
        world.ask(f"r{n}")
        world.run((10 + n * 37 % 50) * MS)
        world.answer(f"r{n}")
    counts = [
        sum(a.endpoint == f"s{n}" for _, a in world.log if isinstance(a, ForwardAttempt)) for n in range(4)
    ]
    assert 1 <= counts[3] <= 0.4 * sum(counts[:3]) / 3  # warmth is 0.2 to 0.36 in these 2 s


def test_servers_get_their_part_as_they_warm_also_from_many_gateways() -> None:
    """Each of 40 gateways has one request for a cold server in 30 s: the space must shrink while it runs."""
    gates, start = cold_fleet(4)
    sends = sends_by_second(gates, {f"s{n}" for n in range(4)}, start)
    assert sum(sends[:2]) < 0.5 * 2 * 20  # warmth 0.25 to 0.4 of a fifth of 100 a second
    assert sum(sends[6:9]) > 0.6 * 3 * 20  # warmth 0.7 to 0.93


def test_where_most_servers_are_cold_all_bear_a_like_part_of_what_they_can() -> None:
    gates, start = cold_fleet(15)
    sends = sends_by_second(gates, {f"s{n}" for n in range(15)}, start)
    assert 0.35 * 300 < sum(sends[:3]) < 0.7 * 300  # 15 * 0.36 of 5 + 15 * 0.36 are 0.52
    assert sends[0] < 0.7 * 100


def test_gateway_of_many_stays_with_servers_that_it_has_connections_to() -> None:
    """A new connection costs work; with 60 servers in a wide choice nearly each request would open one."""

    def opened(price: float) -> int:
        settings = replace(SETTINGS, plans=(Plan(),), handshake_price=price, idle_connection_ttl_us=15 * S)
        world = World(settings, servers(60))
        used: set[str] = set()
        for n in range(100):
            world.ask(f"r{n}")
            world.run((100 + n * 37 % 200) * MS)
            used.add(world.out[(f"r{n}", 0)][0])
            world.answer(f"r{n}")
        return len(used)

    assert opened(0.08) <= 5
    assert opened(0.0) > 20


def test_connection_that_was_lost_or_is_old_counts_for_nothing() -> None:
    world = World(
        replace(SETTINGS, plans=(Plan(),), handshake_price=0.1, idle_connection_ttl_us=5 * S), servers(1)
    )
    (server,) = world.gateway.load_balancer.ready
    for result, kept in (
        (AttemptResult.OK, True),
        (AttemptResult.RESET, False),
        (AttemptResult.ERROR, True),
        (AttemptResult.TIMEOUT, False),
        (AttemptResult.REJECTED, True),
    ):
        world.gateway.attempts.retry_policy.tokens = 0
        world.ask(result.value)
        world.answer(result.value, result=result)
        assert server.has_idle_connection(world.now, world.gateway.settings.idle_connection_ttl_us) is kept
        world.run(S)
    world.run(5 * S)
    assert not server.has_idle_connection(world.now, world.gateway.settings.idle_connection_ttl_us)


def test_cold_server_is_not_flooded_by_a_hundred_gateways() -> None:
    """Each of them sees a server that has just started as the emptiest."""
    fleet = servers(20)
    gates = Set(100, replace(SETTINGS, plans=(Plan(),), slow_start_fraction=0.2), fleet)
    cold = replace(fleet[0], started_us=gates.worlds[0].now)
    for world in gates.worlds:
        world.gateway.attempts.mean_latency_us = [10 * MS]
        world.tell(EndpointListReceived(EndpointListKind.CHANGES, 2, (cold,)))
    for n in range(1000):
        gates.ask(n * 7 % 100, f"r{n}", customer=f"c{n}")
        if n % 5 == 0:
            gates.run(10 * MS)
    names = [
        action.endpoint
        for world in gates.worlds
        for _, action in world.log
        if isinstance(action, ForwardAttempt)
    ]
    assert len(names) == 1000
    assert 1 <= names.count("s0") <= 0.6 * 1000 / 20  # warmth is 0.2 to 0.36 in these 2 s


def test_clock_that_jumps_and_a_list_that_names_twice() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)), servers(2) + servers(2))
    world.ask("a")
    world.now += 60 * S
    world.tell(TimerExpired(0))
    assert len(of(ForwardAttempt, world.ask("b"))) == 1
    world.tell(EndpointListReceived(EndpointListKind.FULL, 3, ()))
    assert not of(ForwardAttempt, world.ask("c"))


def test_silent_server_is_left_and_tried_again() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)), servers(3))
    bad, sends, trials = "s0", 0, 0
    for n in range(400):
        world.ask(f"r{n}")
        world.run((1 + n * 37 % 50) * MS)
        for name, attempt in list(world.out):
            hit = world.out[(name, attempt)][0] == bad
            sends, trials = sends + hit, trials + (hit and n > 200)
            world.answer(name, AttemptResult.RESET if hit else AttemptResult.OK, attempt)
    assert sends < 20
    assert trials >= 1


def test_same_events_same_actions() -> None:
    logs = []
    for _ in range(2):
        world = World(replace(SETTINGS, plans=(replace(PLAN, quota_rate=2.0, quota_burst=4.0),)))
        for n in range(100):
            world.ask(f"r{n}")
            world.run(30 * MS)
        logs.append(world.log)
    assert logs[0] == logs[1]


def test_list_must_be_asked_for() -> None:
    gateway = Gateway(replace(SETTINGS, must_subscribe=True))
    assert SubscribeToEndpoints(True) in gateway.handle(
        5, EndpointListReceived(EndpointListKind.SAVED, 1, servers(2))
    )
    assert gateway.handle(9, EndpointListReceived(EndpointListKind.FAILED, 0)) == [SubscribeToEndpoints(True)]
    assert of(ForwardAttempt, gateway.handle(10, RequestReceived("a", 0, 0, "c", S)))


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
    world = World(fleet=servers(2))
    for number in range(200):
        gone = Endpoint(f"x{number}", 0, 0, 0, EndpointState.UP)
        world.tell(EndpointListReceived(EndpointListKind.CHANGES, number, (gone,)))
        world.tell(
            EndpointListReceived(
                EndpointListKind.CHANGES, number, (replace(gone, state=EndpointState.REMOVED),)
            )
        )
        world.ask(f"a{number}", customer=f"once{number}")
        world.answer(f"a{number}")
    assert set(world.gateway.load_balancer.backends) == {"s0", "s1"}
    assert len(world.gateway.customers.accounts) == 200
    world.run(12 * S)
    assert not world.gateway.customers.accounts and not world.gateway.customers.first_keys
    assert not world.gateway.attempts.pending


def test_fleet_that_is_all_cold_is_sent_what_comes() -> None:
    """Spaced by the rate of what was sent, it would never be sent more than it was."""
    world = World(
        replace(SETTINGS, plans=(Plan(quota_rate=1e4, quota_burst=1e4),), slow_start_fraction=0.9), servers(4)
    )
    for server in world.gateway.load_balancer.backends.values():
        server.slow_start_from_us = world.now  # as after a suspicion
    world.gateway.load_balancer.forward_rate = 1.0
    for number in range(400):
        world.ask(f"a{number}", left_us=6 * S)
        world.run(20 * MS)
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
    sent = [at for at, action in world.log if isinstance(action, ForwardAttempt) and at > world.now - S]
    assert len(sent) > 30  # 50 came in the last second; before, 4 were sent
