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
from molereach.policy.interface.messages import CustomerKey
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from molereach.policy.load_balancing import CHOICES, IDLE_CONNECTION_CHOICES, LoadBalancer
from molereach.policy.pending_request import PendingRequest
from molereach.policy.quota import CustomerAccount
from tests.helpers import PLAN, SAFE, SETTINGS, S, servers

NOW = 100 * S
KEYED = RequestClass(
    2 * S,
    6 * S,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_us=3 * S,
)


def fleet_of(entries: tuple[Endpoint, ...], settings: Settings = SETTINGS) -> LoadBalancer:
    fleet = LoadBalancer(settings, Random(1))
    fleet.apply_endpoint_list(NOW, EndpointListReceived(EndpointListKind.FULL, 1, entries))
    return fleet


def job(rule: RequestClass = SAFE) -> PendingRequest:
    customer = CustomerAccount(PLAN, CustomerKey(1, 0, 0, 1), SETTINGS, NOW, 0)
    return PendingRequest(RequestReceived("a", 0, 0, "c", 6 * S), rule, customer, NOW, 0)


def test_list_is_followed_by_its_kind() -> None:
    first, second, third = servers(3)
    fleet = fleet_of((first, second))
    kept = fleet.backends["s0"]
    fleet.apply_endpoint_list(
        NOW,
        EndpointListReceived(
            EndpointListKind.CHANGES, 2, (third, replace(second, state=EndpointState.REMOVED))
        ),
    )
    assert set(fleet.backends) == {"s0", "s2"} and fleet.backends["s0"] is kept
    fleet.apply_endpoint_list(NOW, EndpointListReceived(EndpointListKind.FAILED, 0))
    assert set(fleet.backends) == {"s0", "s2"}  # the old list holds
    fleet.apply_endpoint_list(
        NOW, EndpointListReceived(EndpointListKind.FULL, 3, (replace(first, state=EndpointState.DRAINING),))
    )
    assert set(fleet.backends) == {"s0"} and not fleet.ready and not fleet.ready_capacity


def test_servers_are_shared_by_those_that_see_them() -> None:
    """What is told of a view says how many gateways share it; a failed call says nothing. The least that a
    cold server is sent is one gateway's part among those."""
    many = replace(SETTINGS, proxy_count=7500, slow_start_window_us=100 * S)
    cold = servers(4, started_us=NOW)
    due = {}
    for seen_by in (0, 21):
        fleet = LoadBalancer(many, Random(1))
        fleet.apply_endpoint_list(NOW, EndpointListReceived(EndpointListKind.FULL, 2, cold, seen_by))
        fleet.apply_endpoint_list(NOW, EndpointListReceived(EndpointListKind.FAILED, 0))
        assert fleet.sharing_proxies == (seen_by or 7500)
        for server in fleet.ready:
            server.slow_start_credit = 0.0
        due[seen_by] = len(fleet.candidates(NOW + 80 * S, fleet.ready))
    assert due == {0: 0, 21: 4}


def test_server_that_started_anew_is_cold_and_begins_at_a_time_of_its_own() -> None:
    fleet = fleet_of(servers(2))
    fleet.backends["s0"].failure_score = 1.0
    fleet.apply_endpoint_list(
        NOW, EndpointListReceived(EndpointListKind.CHANGES, 2, (servers(1, started_us=NOW)[0],))
    )
    known = fleet.backends["s0"]
    assert known.failure_score == 0 and known.forwarded_at_us == NOW and 0 < known.slow_start_credit < 1
    assert fleet.ready_capacity == 1 + SETTINGS.slow_start_fraction


def test_least_expected_wait_is_chosen_and_none_of_the_tried_or_avoided() -> None:
    fleet, asked = fleet_of(servers(4)), job()
    busy, slow, fast, full = fleet.ready
    busy.in_flight[("x", 0)], slow.slowness, full.avoid_until_us = NOW, 1.5, NOW + 1
    assert fleet.choose(NOW, asked) is fast
    asked.backends.append(fast)
    assert fleet.choose(NOW, asked) is slow
    fleet.record_load_report(NOW, slow, LoadReport(cpu_utilization=0.9))
    fleet.record_load_report(NOW, busy, LoadReport(cpu_utilization=0.01))
    assert fleet.choose(NOW, asked) is busy
    assert fleet.choose(NOW + 2 * S, asked) is full  # no more avoided
    assert (
        fleet.expected_wait(NOW, slow) > 1.5 == fleet.expected_wait(NOW + 2 * S, slow)
    )  # reports that old say nothing
    fleet.ready.clear()
    assert fleet.choose(NOW, asked) is None


def test_request_that_may_have_run_stays_where_its_repeats_are_dropped() -> None:
    fleet, keyed = fleet_of(servers(4)), job(KEYED)
    first = fleet.backends["s1"]
    keyed.first_backend, keyed.first_endpoint, keyed.first_forwarded_at_us = first, first.endpoint, NOW
    chosen = {fleet.choose(NOW, keyed) for _ in range(40)}
    assert chosen <= {fleet.backends["s1"], fleet.backends["s3"]}
    assert fleet.choose(NOW + 3 * S, keyed) is None
    assert fleet.choose(NOW, job(replace(KEYED, idempotency=Idempotency.NON_IDEMPOTENT))) is not None


def test_a_few_are_looked_at_and_most_have_a_connection_that_rests() -> None:
    fleet = fleet_of(servers(100), replace(SETTINGS, handshake_price=0.1, idle_connection_ttl_us=5 * S))
    for server in fleet.ready[:20]:
        server.idle_connections, server.idle_since_us = 1, NOW
    few = fleet.candidates(NOW, fleet.ready)
    assert len(few) == CHOICES and sum(server.idle_connections for server in few) == IDLE_CONNECTION_CHOICES


def test_slowness_fades_and_the_rate_follows_what_was_to_be_sent() -> None:
    fleet = fleet_of(servers(1))
    fleet.ready[0].slowness = 2.0
    fleet.end_period(NOW, 50, 2 * S)
    assert fleet.ready[0].slowness == 1.9 and fleet.forward_rate == 25
    fleet.end_period(NOW, 0, S)
    assert fleet.forward_rate == 17.5
