"""The known backends, and the choice of one for an attempt: the least expected wait among a few.

Many gateways that all took the least loaded backend would flood it; so each examines a few, at random. A
request for which no backend is usable waits, and is given up as `server` (see `giving_up`).
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

EWMA_ALPHA = 0.1  # weight of a new load in the mean load; and of a period, by which slowness is forgotten
RATE_EWMA_ALPHA = 0.3  # weight of a period's first attempts in the mean rate
CHOICES = 8  # backends examined for one attempt
IDLE_CONNECTION_CHOICES = 6  # of these, with an idle connection, where a new connection has a price
HANDSHAKE_WEIGHT = 10  # of the price of a new connection in the expected wait
CROSS_ZONE_WEIGHT = 10  # of the price of another zone
REPORT_FRESH_US = 1.5 * SECOND_US  # a load report older than this says nothing
MIN_MEAN_LOAD = 0.01

INCREMENTAL = (EndpointListKind.CHANGES, EndpointListKind.FAILED)  # after a failure the old list holds
STALE_LIST_KINDS = (EndpointListKind.SAVED, EndpointListKind.FAILED)  # newer changes may be missing


class LoadBalancer:
    """The backends by name, with what is known of each."""

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
        self.ready: list[BackendState] = []  # those that may be sent new attempts
        self.ready_capacity = 0.0  # in backends: one in slow start counts for its fraction
        self.sharing_proxies = settings.proxy_count  # how many proxies share each backend
        self.forward_rate = 0.0  # mean first attempts per second
        self.mean_load = 0.0  # as the backends report it

    def apply_endpoint_list(self, now_us: int, event: EndpointListReceived) -> None:
        """Apply a complete list, changes to it, or a failure to get it."""
        if event.kind is not EndpointListKind.FAILED:
            self.sharing_proxies = event.sharing_proxies or self.settings.proxy_count
        if event.kind not in INCREMENTAL:
            listed = {endpoint.name for endpoint in event.endpoints}
            self.backends = {name: backend for name, backend in self.backends.items() if name in listed}
        for endpoint in event.endpoints:
            self.apply_endpoint(now_us, endpoint)
        self.ready = [each for each in self.backends.values() if each.endpoint.state is EndpointState.UP]
        self.update_ready_capacity(now_us)

    def apply_endpoint(self, now_us: int, endpoint: Endpoint) -> None:
        """Add or update one backend; one that restarted is a new one, one that is gone is removed."""
        known = self.backends.get(endpoint.name)
        if known is None or known.endpoint.started_us != endpoint.started_us:
            known = BackendState(endpoint)
            self.backends[endpoint.name] = known
            if slow_start.capacity_fraction(now_us, known, self.settings) < 1:
                # All gateways learn of it at once: each sends its first attempt at a random time.
                known.forwarded_at_us = now_us
                known.slow_start_credit = self.random.random()
        known.endpoint = endpoint
        if endpoint.state is EndpointState.REMOVED:  # its name does not come again
            del self.backends[endpoint.name]

    def update_ready_capacity(self, now_us: int) -> None:
        """Add up the capacity of the ready backends."""
        self.ready_capacity = sum(
            slow_start.capacity_fraction(now_us, backend, self.settings) for backend in self.ready
        )

    def end_period(self, now_us: int, offered: float, period_us: int) -> None:
        """A control period is over in which so many first attempts were offered."""
        for backend in self.backends.values():  # a slow one that is sent nothing must get another chance
            backend.slowness += EWMA_ALPHA * (1 - backend.slowness)
        weight = RATE_EWMA_ALPHA if self.forward_rate else 1
        self.forward_rate += weight * (offered * SECOND_US / period_us - self.forward_rate)
        self.update_ready_capacity(now_us)

    def record_load_report(self, now_us: int, backend: BackendState, report: LoadReport) -> None:
        """Take the first load that the report holds; counts only rank backends."""
        for load in (report.cpu_utilization, report.in_flight, report.queue_length):
            if load is not None:
                backend.load = load
                backend.load_reported_at_us = now_us
                self.mean_load += EWMA_ALPHA * (load - self.mean_load)
                return

    def choose(self, now_us: int, pending: PendingRequest) -> BackendState | None:
        """The backend for the next attempt, or None where none may be used.

        Ejected backends and those that the request was sent to already are used only if there is no other.
        """
        allowed = self.ready
        if pending.maybe_executed_on is not None:
            allowed = [each for each in allowed if idempotency.may_run_on(pending, now_us, each)]
        is_unsafe = pending.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        usable = [
            backend
            for backend in allowed
            if now_us >= backend.avoid_until_us
            and backend not in pending.backends
            and not (backend.on_trial and (backend.in_flight or is_unsafe))
        ] or allowed
        best: BackendState | None = None
        shortest = 0.0
        for backend in self.candidates(now_us, usable):
            wait = self.expected_wait(now_us, backend)
            if wait < shortest or best is None:
                best = backend
                shortest = wait
        return best

    def candidates(self, now_us: int, usable: list[BackendState]) -> list[BackendState]:
        """A few backends to choose from; where connections have a price, most of them have an idle one.

        One of many gateways meets most backends seldom: it knows those that it stays with. Backends whose
        slow start is due come first: what they are not sent, the others must bear.
        """
        due: list[BackendState] = []
        idle: list[BackendState] = []
        others: list[BackendState] = []
        settings = self.settings
        usual_rate = max(1 / self.sharing_proxies, self.forward_rate / max(1.0, self.ready_capacity))
        oldest_us = now_us - settings.idle_connection_ttl_us
        for backend in usable:
            if (
                backend.slow_start_from_us
                and (fraction := slow_start.capacity_fraction(now_us, backend, settings)) < 1
            ):
                if slow_start.is_due(now_us, backend, fraction, usual_rate, settings):
                    due.append(backend)
            else:
                backend.slow_start_from_us = 0  # the slow start is over
                (idle if backend.idle_connections and backend.idle_since_us > oldest_us else others).append(
                    backend
                )
        if len(usable) <= CHOICES or not settings.handshake_price:
            available = due + idle + others
            return self.random.sample(available, min(CHOICES, len(available)))
        chosen = self.random.sample(due, min(len(due), CHOICES - IDLE_CONNECTION_CHOICES))
        chosen += self.random.sample(idle, min(len(idle), IDLE_CONNECTION_CHOICES))
        return chosen + self.random.sample(others, min(len(others), CHOICES - len(chosen)))

    def expected_wait(self, now_us: int, backend: BackendState) -> float:
        """The expected wait, without a unit: attempts in flight, weighted by slowness, load and prices.

        A trial that is due goes first, and so does an attempt of a slow start, which is spaced.
        """
        settings = self.settings
        pressure = 1.0
        if backend.load is not None and now_us - backend.load_reported_at_us < REPORT_FRESH_US:
            pressure = 0.5 + backend.load / max(MIN_MEAN_LOAD, self.mean_load) / 2
        zone_cost = 1 + CROSS_ZONE_WEIGHT * settings.cross_zone_price * (
            backend.endpoint.zone != settings.zone
        )
        connection_cost = 1.0
        if not backend.has_idle_connection(now_us, settings.idle_connection_ttl_us):
            connection_cost = 1 + HANDSHAKE_WEIGHT * settings.handshake_price
        queue = len(backend.in_flight) + 1
        if backend.on_trial or slow_start.capacity_fraction(now_us, backend, settings) < 1:
            queue = 0
        return queue * backend.slowness * pressure * zone_cost * connection_cost
