"""The known backends, and the choice of one for an attempt."""

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
from molereach.policy.load_balancing import CANDIDATE_COUNT, IDLE_CONNECTION_CANDIDATE_COUNT, LoadBalancer
from molereach.policy.pending_request import PendingRequest
from molereach.policy.quota import CustomerAccount
from tests.helpers import IDEMPOTENT, PLAN, SECOND_US, SETTINGS, endpoints

NOW = 100 * SECOND_US
IDEMPOTENT_WITH_KEY = RequestClass(
    2 * SECOND_US,
    6 * SECOND_US,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_us=3 * SECOND_US,
)


def make_balancer(listed: tuple[Endpoint, ...], settings: Settings = SETTINGS) -> LoadBalancer:
    balancer = LoadBalancer(settings, Random(1))
    balancer.apply_endpoint_list(NOW, EndpointListReceived(EndpointListKind.FULL, 1, listed))
    return balancer


def pending_request(request_class: RequestClass = IDEMPOTENT) -> PendingRequest:
    account = CustomerAccount(PLAN, CustomerKey(1, 0, 0, 1), SETTINGS, NOW, 0)
    return PendingRequest(RequestReceived("a", 0, 0, "c", 6 * SECOND_US), request_class, account, NOW, 0)


def test_endpoint_list_is_applied_according_to_its_kind() -> None:
    first, second, third = endpoints(3)
    balancer = make_balancer((first, second))
    backend = balancer.backends["s0"]
    balancer.apply_endpoint_list(
        NOW,
        EndpointListReceived(
            EndpointListKind.CHANGES, 2, (third, replace(second, state=EndpointState.REMOVED))
        ),
    )
    assert set(balancer.backends) == {"s0", "s2"} and balancer.backends["s0"] is backend
    balancer.apply_endpoint_list(NOW, EndpointListReceived(EndpointListKind.FAILED, 0))
    assert set(balancer.backends) == {"s0", "s2"}  # the old list is kept
    balancer.apply_endpoint_list(
        NOW, EndpointListReceived(EndpointListKind.FULL, 3, (replace(first, state=EndpointState.DRAINING),))
    )
    assert set(balancer.backends) == {"s0"} and not balancer.ready and not balancer.ready_capacity


def test_slow_start_rate_follows_the_number_of_sharing_proxies() -> None:
    """An endpoint list says how many proxies share the backends; a failure does not change that number.

    The minimum rate to a backend in slow start is this proxy's part among those.
    """
    settings_of_many = replace(SETTINGS, proxy_count=7500, slow_start_window_us=100 * SECOND_US)
    starting_backends = endpoints(4, started_us=NOW)
    due_counts = {}
    for sharing_proxies in (0, 21):
        balancer = LoadBalancer(settings_of_many, Random(1))
        balancer.apply_endpoint_list(
            NOW, EndpointListReceived(EndpointListKind.FULL, 2, starting_backends, sharing_proxies)
        )
        balancer.apply_endpoint_list(NOW, EndpointListReceived(EndpointListKind.FAILED, 0))
        assert balancer.sharing_proxies == (sharing_proxies or 7500)
        for backend in balancer.ready:
            backend.slow_start_credit = 0.0
        due_counts[sharing_proxies] = len(balancer.candidates(NOW + 80 * SECOND_US, balancer.ready))
    assert due_counts == {0: 0, 21: 4}


def test_restarted_backend_begins_slow_start_at_a_random_time() -> None:
    balancer = make_balancer(endpoints(2))
    balancer.backends["s0"].failure_score = 1.0
    balancer.apply_endpoint_list(
        NOW, EndpointListReceived(EndpointListKind.CHANGES, 2, (endpoints(1, started_us=NOW)[0],))
    )
    backend = balancer.backends["s0"]
    assert backend.failure_score == 0 and backend.forwarded_at_us == NOW and 0 < backend.slow_start_credit < 1
    assert balancer.ready_capacity == 1 + SETTINGS.slow_start_fraction


def test_shortest_expected_wait_is_chosen_among_usable_backends() -> None:
    balancer, pending = make_balancer(endpoints(4)), pending_request()
    busy, slow, fast, full = balancer.ready
    busy.in_flight[("x", 0)], slow.latency_ratio, full.avoid_until_us = NOW, 1.5, NOW + 1
    assert balancer.choose(NOW, pending) is fast
    pending.backends.append(fast)
    assert balancer.choose(NOW, pending) is slow
    balancer.record_load_report(NOW, slow, LoadReport(cpu_utilization=0.9))
    balancer.record_load_report(NOW, busy, LoadReport(cpu_utilization=0.01))
    assert balancer.choose(NOW, pending) is busy
    assert balancer.choose(NOW + 2 * SECOND_US, pending) is full  # the pause has ended
    # Older reports are ignored.
    assert balancer.expected_wait(NOW, slow) > 1.5 == balancer.expected_wait(NOW + 2 * SECOND_US, slow)
    balancer.ready.clear()
    assert balancer.choose(NOW, pending) is None


def test_executed_request_stays_in_its_deduplication_scope() -> None:
    balancer, keyed_request = make_balancer(endpoints(4)), pending_request(IDEMPOTENT_WITH_KEY)
    first = balancer.backends["s1"]
    keyed_request.maybe_executed_on, keyed_request.first_endpoint, keyed_request.first_forwarded_at_us = (
        first,
        first.endpoint,
        NOW,
    )
    chosen = {balancer.choose(NOW, keyed_request) for _ in range(40)}
    assert chosen <= {balancer.backends["s1"], balancer.backends["s3"]}
    assert balancer.choose(NOW + 3 * SECOND_US, keyed_request) is None
    assert (
        balancer.choose(
            NOW, pending_request(replace(IDEMPOTENT_WITH_KEY, idempotency=Idempotency.NON_IDEMPOTENT))
        )
        is not None
    )


def test_few_candidates_are_compared_and_most_have_an_idle_connection() -> None:
    balancer = make_balancer(
        endpoints(100), replace(SETTINGS, handshake_price=0.1, idle_connection_ttl_us=5 * SECOND_US)
    )
    for backend in balancer.ready[:20]:
        backend.idle_connections, backend.idle_since_us = 1, NOW
    chosen = balancer.candidates(NOW, balancer.ready)
    assert (
        len(chosen) == CANDIDATE_COUNT
        and sum(backend.idle_connections for backend in chosen) == IDLE_CONNECTION_CANDIDATE_COUNT
    )


def test_latency_ratio_decays_and_the_rate_follows_offered_attempts() -> None:
    balancer = make_balancer(endpoints(1))
    balancer.ready[0].latency_ratio = 2.0
    balancer.end_period(NOW, 50, 2 * SECOND_US)
    assert balancer.ready[0].latency_ratio == 1.9 and balancer.forward_rate == 25
    balancer.end_period(NOW, 0, SECOND_US)
    assert balancer.forward_rate == 17.5
