"""Load balancing: the known backends, and the choice of one with the shortest expected wait for an attempt.

If many gateways all chose the least loaded backend, they would flood it, so each compares only a few random
candidates (power of d choices). A request for which no backend is usable waits and may be given up with the
reason `server` (see `giving_up`).
"""

from random import Random

from molereach.policy import idempotency, slow_start
from molereach.policy.backend_state import BackendState
from molereach.policy.interface.events import (
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    LoadReport,
)
from molereach.policy.interface.settings import Idempotency, Settings
from molereach.policy.pending_request import PendingRequest
from molereach.policy.time_units import SECOND_US

EWMA_ALPHA = 0.1  # weight of a new report in the mean load, and decay of latency ratios per control period
RATE_EWMA_ALPHA = 0.3  # weight of one control period in the mean rate of first attempts
CANDIDATE_COUNT = 8  # backends compared for one attempt
IDLE_CONNECTION_CANDIDATE_COUNT = 6  # of these, with an idle connection, if new connections have a price
HANDSHAKE_WEIGHT = 10  # weight of the price of a new connection in the expected wait
CROSS_ZONE_WEIGHT = 10  # weight of the price of another zone
REPORT_FRESH_US = 1.5 * SECOND_US  # older load reports are ignored
MIN_MEAN_LOAD = 0.01  # lower bound of a divisor

INCREMENTAL_LIST_KINDS = (EndpointListKind.CHANGES, EndpointListKind.FAILED)  # a failure keeps the old list
STALE_LIST_KINDS = (EndpointListKind.SAVED, EndpointListKind.FAILED)  # recent changes may be missing


class LoadBalancer:
    """The backends of the endpoint list by name, and the choice among them."""

    __slots__ = (
        "backends",
        "forward_rate",
        "mean_load",
        "random",
        "ready",
        "ready_capacity",
        "settings",
        "sharing_proxies",
    )

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.backends: dict[str, BackendState] = {}
        self.ready: list[BackendState] = []  # backends that may receive new attempts
        self.ready_capacity = 0.0  # number of ready backends, weighted by their capacity fractions
        self.sharing_proxies = settings.proxy_count  # how many proxies share each backend
        self.forward_rate = 0.0  # mean first attempts per second
        self.mean_load = 0.0  # mean of the reported loads

    def apply_endpoint_list(self, now_us: int, event: EndpointListReceived) -> None:
        """Apply a full endpoint list, changes to it, or a failure to obtain it."""
        if event.kind is not EndpointListKind.FAILED:
            self.sharing_proxies = event.sharing_proxies or self.settings.proxy_count
        if event.kind not in INCREMENTAL_LIST_KINDS:
            listed = {endpoint.name for endpoint in event.endpoints}
            self.backends = {name: backend for name, backend in self.backends.items() if name in listed}
        for endpoint in event.endpoints:
            self.apply_endpoint(now_us, endpoint)
        self.ready = [
            backend for backend in self.backends.values() if backend.endpoint.state is EndpointState.UP
        ]
        self.update_ready_capacity(now_us)

    def apply_endpoint(self, now_us: int, endpoint: Endpoint) -> None:
        """Add, update or remove one backend; a restarted backend is treated as a new one."""
        backend = self.backends.get(endpoint.name)
        if backend is None or backend.endpoint.started_us != endpoint.started_us:
            backend = BackendState(endpoint)
            self.backends[endpoint.name] = backend
            if slow_start.capacity_fraction(now_us, backend, self.settings) < 1:
                # All gateways are notified at once, so each spaces its first attempt randomly.
                backend.forwarded_at_us = now_us
                backend.slow_start_credit = self.random.random()
        backend.endpoint = endpoint
        if endpoint.state is EndpointState.REMOVED:  # names are not reused
            del self.backends[endpoint.name]

    def update_ready_capacity(self, now_us: int) -> None:
        """Recompute the total capacity of the ready backends."""
        self.ready_capacity = sum(
            slow_start.capacity_fraction(now_us, backend, self.settings) for backend in self.ready
        )

    def end_period(self, now_us: int, offered_count: float, period_us: int) -> None:
        """Update the means at the end of a control period with `offered_count` offered first attempts."""
        for backend in self.backends.values():  # so that a slow backend is tried again in time
            backend.latency_ratio += EWMA_ALPHA * (1 - backend.latency_ratio)
        weight = RATE_EWMA_ALPHA if self.forward_rate else 1
        self.forward_rate += weight * (offered_count * SECOND_US / period_us - self.forward_rate)
        self.update_ready_capacity(now_us)

    def record_load_report(self, now_us: int, backend: BackendState, report: LoadReport) -> None:
        """Use the first load value in the report; any kind serves, as loads are compared with their mean."""
        for load in (report.cpu_utilization, report.in_flight, report.queue_length):
            if load is not None:
                backend.reported_load = load
                backend.load_reported_at_us = now_us
                self.mean_load += EWMA_ALPHA * (load - self.mean_load)
                return

    def choose(self, now_us: int, pending: PendingRequest) -> BackendState | None:
        """The backend for the next attempt, or None if no backend may be used.

        Backends that are ejected or that the request was already sent to are used only if there is no other.
        """
        allowed = self.ready
        if pending.maybe_executed_on is not None:
            allowed = [backend for backend in allowed if idempotency.may_run_on(pending, now_us, backend)]
        is_non_idempotent = pending.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        usable = [
            backend
            for backend in allowed
            if now_us >= backend.avoid_until_us
            and backend not in pending.backends
            and not (backend.is_on_trial and (backend.in_flight or is_non_idempotent))
        ] or allowed
        best: BackendState | None = None
        shortest_wait = 0.0
        for backend in self.candidates(now_us, usable):
            wait = self.expected_wait(now_us, backend)
            if wait < shortest_wait or best is None:
                best = backend
                shortest_wait = wait
        return best

    def candidates(self, now_us: int, usable: list[BackendState]) -> list[BackendState]:
        """Random candidates for an attempt; if connections have a price, most have an idle connection.

        One of many gateways sends to most backends so rarely that connections expire, so it prefers a few of
        them. Backends in slow start whose next attempt is due come first, as the others would otherwise have
        to take their load.
        """
        due: list[BackendState] = []
        idle: list[BackendState] = []
        others: list[BackendState] = []
        settings = self.settings
        full_rate = max(1 / self.sharing_proxies, self.forward_rate / max(1.0, self.ready_capacity))
        oldest_us = now_us - settings.idle_connection_ttl_us
        for backend in usable:
            if (
                backend.slow_start_from_us
                and (fraction := slow_start.capacity_fraction(now_us, backend, settings)) < 1
            ):
                if slow_start.is_due(now_us, backend, fraction, full_rate, settings):
                    due.append(backend)
            else:
                backend.slow_start_from_us = 0  # the slow start is over
                (idle if backend.idle_connections and backend.idle_since_us > oldest_us else others).append(
                    backend
                )
        if len(usable) <= CANDIDATE_COUNT or not settings.handshake_price:
            available = due + idle + others
            return self.random.sample(available, min(CANDIDATE_COUNT, len(available)))
        chosen = self.random.sample(due, min(len(due), CANDIDATE_COUNT - IDLE_CONNECTION_CANDIDATE_COUNT))
        chosen += self.random.sample(idle, min(len(idle), IDLE_CONNECTION_CANDIDATE_COUNT))
        return chosen + self.random.sample(others, min(len(others), CANDIDATE_COUNT - len(chosen)))

    def expected_wait(self, now_us: int, backend: BackendState) -> float:
        """The expected wait, without a unit: attempts in flight, weighted by latency ratio, load and prices.

        It is 0 for a backend on trial or in slow start: their attempts are already spaced and go first.
        """
        settings = self.settings
        load_factor = 1.0
        if backend.reported_load is not None and now_us - backend.load_reported_at_us < REPORT_FRESH_US:
            load_factor = 0.5 + backend.reported_load / max(MIN_MEAN_LOAD, self.mean_load) / 2
        zone_cost = 1 + CROSS_ZONE_WEIGHT * settings.cross_zone_price * (
            backend.endpoint.zone != settings.zone
        )
        connection_cost = 1.0
        if not backend.has_idle_connection(now_us, settings.idle_connection_ttl_us):
            connection_cost = 1 + HANDSHAKE_WEIGHT * settings.handshake_price
        queue_length = len(backend.in_flight) + 1
        if backend.is_on_trial or slow_start.capacity_fraction(now_us, backend, settings) < 1:
            queue_length = 0
        return queue_length * backend.latency_ratio * load_factor * zone_cost * connection_cost
