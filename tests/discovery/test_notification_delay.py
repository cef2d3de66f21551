"""How soon a proxy knows a change: within 6 s after discovery had it and was reachable.

Runs `WatchSupervisor` and `PollBackoff` without I/O on a simulated clock, against a discovery that fails
requests in every way until a given time and then answers promptly. docs/design/standing-terms.md has the
calculation.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from molereach.discovery.client import CONNECT_TIMEOUT_S, MIN_WAIT_S
from molereach.discovery.poll_backoff import HUNG_CONNECT_S, MAX_UNJITTERED_PROXIES, PollBackoff
from molereach.discovery.watch_supervisor import HEARTBEAT_INTERVAL_S, WatchSupervisor
from molereach.protocol.settings import MAX_PROXIES

NOTIFICATION_LIMIT_S = 6.0
POLL_WITHIN_S = 10.0
RESPONSE_TIME_S = 0.2  # a connect and a complete response of a reachable discovery
PROXY_COUNTS = st.one_of(
    st.integers(1, MAX_PROXIES),
    st.sampled_from([1, MAX_UNJITTERED_PROXIES, MAX_UNJITTERED_PROXIES + 1, 200, 7500]),
)
# Outcomes of an attempt that is made before discovery is reachable.
FAILURES = ["refused", "reset", "hangs", "forgotten", "trickles", "begins"]
WATCH_ENDS = ["none", "reset", "silent", "trickles"]  # outcomes of the watch that was open
TRICKLE_INTERVAL_S = 0.7  # between bytes that complete no object


class SimulatedProxy:
    """One proxy that may have an open watch; `outcome` decides what becomes of each attempt that it makes."""

    def __init__(
        self, backoff: PollBackoff, draw: Callable[[], float], outcome: Callable[[float], str]
    ) -> None:
        self.supervisor, self.outcome = WatchSupervisor(backoff, draw), outcome
        self.now_s, self.object_at_s = 0.0, -1.0
        self.serial = itertools.count()
        self.events: list[tuple[float, int, str, int]] = []  # time, serial, what happens, to which attempt
        self.opened_at_s: list[float] = []

    def schedule(self, delay_s: float, event: str, attempt_id: int) -> None:
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.serial), event, attempt_id))

    def open_watch(self, end: str) -> None:
        """Open a watch that has just received its last object, and that fails as given."""
        attempt_id = self.supervisor.open_if_due(self.now_s)
        assert attempt_id
        self.supervisor.record_object(attempt_id, self.now_s)
        self.supervisor.record_applied()
        if end == "trickles":
            self.schedule(TRICKLE_INTERVAL_S, "byte", attempt_id)
        elif end == "reset":
            self.schedule(0.0, "ended", attempt_id)

    def request(self, attempt_id: int) -> None:
        outcome = self.outcome(self.now_s)
        self.opened_at_s.append(self.now_s)
        if outcome == "answered":
            self.schedule(RESPONSE_TIME_S, "object", attempt_id)
        elif outcome in ("refused", "reset", "hangs"):
            self.schedule(
                {"refused": 0.001, "reset": 2.0, "hangs": CONNECT_TIMEOUT_S}[outcome], "ended", attempt_id
            )
        elif outcome in ("trickles", "begins"):  # the first byte comes soon, or after a long wait
            self.schedule(0.3 if outcome == "trickles" else 4.4, "byte", attempt_id)

    def handle(self, event: str, attempt_id: int) -> None:
        if attempt_id not in self.supervisor.open_attempts:
            return
        if event == "object":
            for other in self.supervisor.record_object(attempt_id, self.now_s):
                self.supervisor.forget_attempt(other)
            self.supervisor.record_applied()
            self.object_at_s = self.now_s
        elif event == "byte":
            self.supervisor.record_bytes(attempt_id, self.now_s)
            self.schedule(TRICKLE_INTERVAL_S, "byte", attempt_id)
        else:
            self.supervisor.record_failure(attempt_id, self.now_s)

    def step(self) -> None:
        """As `DiscoveryClient.run`: advance to the next event or due time, and do what is due then."""
        wakes_at_s = self.now_s + max(MIN_WAIT_S, self.supervisor.wait_s(self.now_s))
        if self.events and self.events[0][0] <= wakes_at_s:
            self.now_s, _, event, attempt_id = heapq.heappop(self.events)
            self.handle(event, attempt_id)
        else:
            self.now_s = wakes_at_s
        if self.supervisor.wait_s(self.now_s):
            return
        for attempt_id in self.supervisor.expired(self.now_s):
            self.supervisor.record_failure(attempt_id, self.now_s)
        if opened := self.supervisor.open_if_due(self.now_s):
            self.request(opened)
        for attempt_id in self.supervisor.surplus():
            self.supervisor.forget_attempt(attempt_id)

    def notification_delay_s(self, reachable_at_s: float) -> float:
        """Time from when discovery is reachable until an object is received."""
        while self.object_at_s < reachable_at_s:
            self.step()
            assert self.now_s < reachable_at_s + 100, "no object is ever received"
        return self.object_at_s - reachable_at_s


def simulated_proxy(
    must_poll: bool, proxy_count: int, seed: int, outcome: Callable[[float], str]
) -> SimulatedProxy:
    return SimulatedProxy(
        PollBackoff(proxy_count, must_poll, POLL_WITHIN_S), random.Random(seed).random, outcome
    )


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.booleans(),
    PROXY_COUNTS,
    st.integers(0, 1 << 30),
    st.sampled_from(WATCH_ENDS),
    st.lists(st.sampled_from(FAILURES), min_size=1, max_size=4),
    st.floats(0, 60),
)
@example(True, 7500, 1, "none", ["refused"], 59.0)
@example(True, 7500, 1, "silent", ["forgotten"], 30.0)
@example(True, 7500, 1, "trickles", ["begins"], 30.0)
@example(True, 9, 1, "none", ["begins"], 30.0)
@example(False, 7500, 1, "none", ["begins"], 31.0)
def test_change_is_known_within_6_s_of_when_discovery_had_it_and_was_reachable(
    must_poll: bool, proxy_count: int, seed: int, watch_end: str, failures: list[str], reachable_at_s: float
) -> None:
    """For any outcomes and number of earlier attempts, and any number of proxies."""
    random_source = random.Random(seed + 1)
    proxy = simulated_proxy(
        must_poll,
        proxy_count,
        seed,
        lambda now_s: "answered" if now_s >= reachable_at_s else random_source.choice(failures),
    )
    if watch_end != "none":
        proxy.open_watch(watch_end)
    assert proxy.notification_delay_s(reachable_at_s) < NOTIFICATION_LIMIT_S


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.booleans(), PROXY_COUNTS, st.integers(0, 1 << 30), st.sampled_from(WATCH_ENDS[1:]))
@example(True, 7500, 1, "silent")
def test_broken_watch_is_replaced_within_6_s_even_if_a_connect_hangs(
    must_poll: bool, proxy_count: int, seed: int, watch_end: str
) -> None:
    """Discovery is reachable all the time; the first connect after the break hangs."""
    outcomes = ["hangs"]
    proxy = simulated_proxy(
        must_poll, proxy_count, seed, lambda now_s: outcomes.pop() if outcomes else "answered"
    )
    proxy.open_watch(watch_end)
    if must_poll or watch_end != "trickles":
        assert proxy.notification_delay_s(0.001) < NOTIFICATION_LIMIT_S
    else:  # bytes without an object from an agent time out after 5 s; then a hedge replaces the hung connect
        assert proxy.notification_delay_s(0.001) < 5.0 + 0.5 + RESPONSE_TIME_S + 0.1


@pytest.mark.parametrize("failure", FAILURES)
def test_attempts_are_limited_in_number_while_discovery_is_unreachable(failure: str) -> None:
    """Where the list must be polled: two at a time, and seconds apart if there are many proxies."""
    proxy = simulated_proxy(True, 7500, 3, lambda now_s: failure)
    while proxy.now_s < 60:
        proxy.step()
        assert len(proxy.supervisor.open_attempts) <= 2
    assert len(proxy.opened_at_s) <= 60 / 1.5 + 1


def test_polls_of_many_proxies_are_distributed_over_the_available_time() -> None:
    """Also after failures: no half second has more than a third of the polls."""
    assert HUNG_CONNECT_S == CONNECT_TIMEOUT_S
    for failure_count in (0, 1, 5):
        delays_s = []
        for seed in range(2000):
            random_source, backoff = random.Random(seed), PollBackoff(7500, True, POLL_WITHIN_S)
            for _ in range(failure_count):
                backoff.record_failure(random_source.random())
            delays_s.append(backoff.record_failure(random_source.random()))
        half_seconds = [int(delay_s * 2) for delay_s in delays_s]
        assert max(half_seconds.count(each) for each in set(half_seconds)) < len(delays_s) / 3
        assert max(delays_s) < NOTIFICATION_LIMIT_S - CONNECT_TIMEOUT_S


class DiscoveryQueue:
    """Discovery: requests are processed in order, including those whose clients have given up; requests are
    rejected while the queue is too long."""

    def __init__(self, service_time_s: float, max_queue_s: float) -> None:
        self.service_time_s, self.max_queue_s, self.free_at_s = service_time_s, max_queue_s, 0.0

    def request(self, now_s: float) -> float | None:
        """When the request is answered; None if it is rejected."""
        start_s = max(now_s, self.free_at_s)
        if start_s - now_s > self.max_queue_s:
            return None
        self.free_at_s = start_s + self.service_time_s
        return self.free_at_s


def recovery_times_s(
    proxy_count: int, service_time_for_all_s: float, max_queue_s: float, seed: int, until_s: float
) -> list[float]:
    """All watches are reset at once: when each proxy receives its next object."""
    queue, random_source = (
        DiscoveryQueue(service_time_for_all_s / proxy_count, max_queue_s),
        random.Random(seed),
    )
    proxies = [
        simulated_proxy(True, proxy_count, random_source.randrange(1 << 30), lambda now_s: "")
        for _ in range(proxy_count)
    ]

    def request(proxy: SimulatedProxy, attempt_id: int) -> None:
        answered_at_s = queue.request(proxy.now_s)
        proxy.schedule(
            0.001 if answered_at_s is None else answered_at_s - proxy.now_s,
            "ended" if answered_at_s is None else "object",
            attempt_id,
        )

    for proxy in proxies:
        proxy.request = lambda attempt_id, proxy=proxy: request(proxy, attempt_id)  # type: ignore[method-assign,misc]
        proxy.open_watch("reset")
    due = [(0.0, number) for number in range(proxy_count)]
    recovered_s = []
    while due and due[0][0] < until_s:
        _, number = heapq.heappop(due)
        proxy = proxies[number]
        proxy.step()
        if proxy.object_at_s >= 0:
            recovered_s.append(proxy.object_at_s)
        else:
            wakes_at_s = proxy.now_s + max(MIN_WAIT_S, proxy.supervisor.wait_s(proxy.now_s))
            heapq.heappush(due, (min([wakes_at_s, *(event[0] for event in proxy.events[:1])]), number))
    return recovered_s


@pytest.mark.parametrize(("service_time_for_all_s", "limit_s"), [(8, 20.0), (10, 40.0), (12, 60.0)])
def test_discovery_too_slow_for_the_limit_is_not_overloaded(
    service_time_for_all_s: int, limit_s: float
) -> None:
    """Discovery needs 8 to 12 s for one request of each proxy, so some are answered after 6 s.

    All are answered soon for a short queue and for one that is practically unlimited, as no queued request is
    abandoned before it is processed.
    """
    for seed, max_queue_s in [*((seed, 4.0) for seed in range(50)), *((seed, 1000.0) for seed in range(5))]:
        recovered_s = recovery_times_s(40, service_time_for_all_s, max_queue_s, seed, 2 * limit_s)
        assert len(recovered_s) == 40
        assert max(recovered_s) < limit_s


def test_polls_after_silent_watches_are_distributed_over_a_heartbeat_interval() -> None:
    """Heartbeats of watches have different phases, so watches that fall silent together time out apart."""
    random_source, polls_at_s = random.Random(5), []
    for seed in range(500):
        proxy = simulated_proxy(True, 7500, seed, lambda now_s: "answered")
        proxy.now_s = random_source.uniform(0, HEARTBEAT_INTERVAL_S)
        proxy.open_watch("silent")
        while not proxy.opened_at_s:
            proxy.step()
        polls_at_s.append(proxy.opened_at_s[0])
    assert max(polls_at_s) - min(polls_at_s) > 0.9 * HEARTBEAT_INTERVAL_S
