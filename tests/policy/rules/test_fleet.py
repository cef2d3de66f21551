"""Which servers are known and which one an attempt goes to, without a gateway."""

from dataclasses import replace
from random import Random

from molereach.policy.interface.events import (
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    LoadReport,
    RequestReceived,
)
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from molereach.policy.load_balancing import CHOICES, KEPT_CHOICES, Fleet
from molereach.policy.pending_request import Job
from molereach.policy.quota import Customer
from tests.helpers import PLAN, SAFE, SETTINGS, S, servers

NOW = 100 * S
KEYED = RequestClass(
    2 * S,
    6 * S,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_us=3 * S,
)


def fleet_of(entries: tuple[Endpoint, ...], settings: Settings = SETTINGS) -> Fleet:
    fleet = Fleet(settings, Random(1))
    fleet.learn(NOW, EndpointListReceived(EndpointListKind.FULL, 1, entries))
    return fleet


def job(rule: RequestClass = SAFE) -> Job:
    customer = Customer(PLAN, (1, 0, 0, 1), SETTINGS, NOW, 0)
    return Job(RequestReceived("a", 0, 0, "c", 6 * S), rule, customer, NOW, 0)


def test_list_is_followed_by_its_kind() -> None:
    first, second, third = servers(3)
    fleet = fleet_of((first, second))
    kept = fleet.servers["s0"]
    fleet.learn(
        NOW,
        EndpointListReceived(EndpointListKind.CHANGES, 2, (third, replace(second, state=EndpointState.GONE))),
    )
    assert set(fleet.servers) == {"s0", "s2"} and fleet.servers["s0"] is kept
    fleet.learn(NOW, EndpointListReceived(EndpointListKind.FAILED, 0))
    assert set(fleet.servers) == {"s0", "s2"}  # the old list holds
    fleet.learn(
        NOW, EndpointListReceived(EndpointListKind.FULL, 3, (replace(first, state=EndpointState.DRAINING),))
    )
    assert set(fleet.servers) == {"s0"} and not fleet.up and not fleet.warm


def test_servers_are_shared_by_those_that_see_them() -> None:
    """What is told of a view says how many gateways share it; a failed call says nothing. The least that a
    cold server is sent is one gateway's part among those."""
    many = replace(SETTINGS, proxy_count=7500, slow_start_window_us=100 * S)
    cold = servers(4, started_us=NOW)
    due = {}
    for seen_by in (0, 21):
        fleet = Fleet(many, Random(1))
        fleet.learn(NOW, EndpointListReceived(EndpointListKind.FULL, 2, cold, seen_by))
        fleet.learn(NOW, EndpointListReceived(EndpointListKind.FAILED, 0))
        assert fleet.sharers == (seen_by or 7500)
        for server in fleet.up:
            server.credit = 0.0
        due[seen_by] = len(fleet.candidates(NOW + 80 * S, fleet.up))
    assert due == {0: 0, 21: 4}


def test_server_that_started_anew_is_cold_and_begins_at_a_time_of_its_own() -> None:
    fleet = fleet_of(servers(2))
    fleet.servers["s0"].fails = 1.0
    fleet.learn(NOW, EndpointListReceived(EndpointListKind.CHANGES, 2, (servers(1, started_us=NOW)[0],)))
    known = fleet.servers["s0"]
    assert known.fails == 0 and known.sent_us == NOW and 0 < known.credit < 1
    assert fleet.warm == 1 + SETTINGS.slow_start_fraction


def test_least_expected_wait_is_chosen_and_none_of_the_tried_or_avoided() -> None:
    fleet, asked = fleet_of(servers(4)), job()
    busy, slow, fast, full = fleet.up
    busy.out[("x", 0)], slow.slowness, full.avoid_until = NOW, 1.5, NOW + 1
    assert fleet.choose(NOW, asked) is fast
    asked.servers.append(fast)
    assert fleet.choose(NOW, asked) is slow
    fleet.hear_load(NOW, slow, LoadReport(cpu_utilization=0.9))
    fleet.hear_load(NOW, busy, LoadReport(cpu_utilization=0.01))
    assert fleet.choose(NOW, asked) is busy
    assert fleet.choose(NOW + 2 * S, asked) is full  # no more avoided
    assert fleet.cost(NOW, slow) > 1.5 == fleet.cost(NOW + 2 * S, slow)  # reports that old say nothing
    fleet.up.clear()
    assert fleet.choose(NOW, asked) is None


def test_request_that_may_have_run_stays_where_its_repeats_are_dropped() -> None:
    fleet, keyed = fleet_of(servers(4)), job(KEYED)
    first = fleet.servers["s1"]
    keyed.ran_on, keyed.ran_as, keyed.ran_us = first, first.entry, NOW
    chosen = {fleet.choose(NOW, keyed) for _ in range(40)}
    assert chosen <= {fleet.servers["s1"], fleet.servers["s3"]}
    assert fleet.choose(NOW + 3 * S, keyed) is None
    assert fleet.choose(NOW, job(replace(KEYED, idempotency=Idempotency.NON_IDEMPOTENT))) is not None


def test_a_few_are_looked_at_and_most_have_a_connection_that_rests() -> None:
    fleet = fleet_of(servers(100), replace(SETTINGS, handshake_price=0.1, idle_connection_ttl_us=5 * S))
    for server in fleet.up[:20]:
        server.kept, server.kept_at = 1, NOW
    few = fleet.candidates(NOW, fleet.up)
    assert len(few) == CHOICES and sum(server.kept for server in few) == KEPT_CHOICES


def test_slowness_fades_and_the_rate_follows_what_was_to_be_sent() -> None:
    fleet = fleet_of(servers(1))
    fleet.up[0].slowness = 2.0
    fleet.end_period(NOW, 50, 2 * S)
    assert fleet.up[0].slowness == 1.9 and fleet.rate == 25
    fleet.end_period(NOW, 0, S)
    assert fleet.rate == 17.5
