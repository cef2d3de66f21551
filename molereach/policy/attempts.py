"""Pending requests and their attempts: forwarding, the attempt timeout, and the end of an attempt.

An attempt that may be retried times out early enough for the retry to meet the latency objective.
"""

from molereach.policy.backend_state import BackendState
from molereach.policy.idempotency import write_deadline_us
from molereach.policy.interface.actions import ForwardAttempt
from molereach.policy.interface.events import AttemptEnded, AttemptResult
from molereach.policy.interface.settings import Idempotency, Settings
from molereach.policy.pending_request import PendingRequest
from molereach.policy.retry_policy import RetryPolicy

EWMA_ALPHA = 0.1  # weight of a new latency in the moving averages
MIN_LATENCY_RATIO = 0.25  # bounds that limit the effect of an outlier
MAX_LATENCY_RATIO = 4.0

REUSABLE_CONNECTION_RESULTS = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED)
UNSENT_RESULTS = (AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
UNEXECUTED_RESULTS = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


class Attempts:
    """Pending requests by id, and the mean latency of each class in microseconds."""

    __slots__ = ("in_flight", "mean_latency_us", "pending", "retry_policy", "settings")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.in_flight = 0  # attempts of all requests
        self.pending: dict[str, PendingRequest] = {}
        self.mean_latency_us = [request_class.latency_objective_us / 4 for request_class in settings.classes]
        self.retry_policy = RetryPolicy(settings.max_attempts)

    def overdue_ages(self, now_us: int) -> list[float]:
        """Ages of attempts in flight for longer than the mean latency, as fractions of their objectives."""
        return [
            min(1.0, (now_us - forwarded_at_us) / pending.request_class.latency_objective_us)
            for pending in self.pending.values()
            for forwarded_at_us in pending.in_flight.values()
            if now_us - forwarded_at_us > self.mean_latency_us[pending.request.class_index]
        ]

    def begin(self, now_us: int, pending: PendingRequest, backend: BackendState) -> ForwardAttempt:
        """Record that an attempt is forwarded to the backend, and return the action."""
        attempt_number = len(pending.backends)
        request_id = pending.request.request_id
        if not attempt_number:
            self.retry_policy.record_first_attempt()
        pending.backends.append(backend)
        pending.in_flight[attempt_number] = now_us
        pending.account.in_flight += 1
        self.in_flight += 1
        if backend.has_idle_connection(now_us, self.settings.idle_connection_ttl_us):
            backend.idle_connections -= 1
        else:
            backend.idle_connections = 0
        backend.in_flight[(request_id, attempt_number)] = now_us
        backend.forwarded_at_us = now_us
        backend.slow_start_credit = 0.0
        deadline_us = write_deadline_us(pending)  # only a retry has one
        if pending.maybe_executed_on is None:
            pending.maybe_executed_on = backend
            pending.first_endpoint = backend.endpoint
            pending.first_forwarded_at_us = now_us
        timeout_us = self.timeout_us(now_us, pending)
        return ForwardAttempt(request_id, backend.endpoint.name, timeout_us, deadline_us, attempt_number)

    def timeout_us(self, now_us: int, pending: PendingRequest) -> int:
        """The timeout of an attempt that is forwarded now.

        It is all of the remaining time if no retry may follow. Otherwise it is short enough for a retry that
        takes twice the mean latency to meet the objective, provided that this attempt has as much time.
        """
        remaining_us = pending.deadline_us - now_us
        if (
            pending.request_class.idempotency is Idempotency.NON_IDEMPOTENT
            or len(pending.backends) >= self.settings.max_attempts
        ):
            return max(1, remaining_us)
        mean_us = self.mean_latency_us[pending.request.class_index]
        early_timeout_us = round(pending.objective_at_us - now_us - 2 * mean_us)
        return max(1, remaining_us if early_timeout_us < 2 * mean_us else min(remaining_us, early_timeout_us))

    def end(self, now_us: int, event: AttemptEnded) -> PendingRequest | None:
        """Record the end of an attempt; return its request, or None if the attempt is unknown."""
        pending = self.pending.get(event.request_id)
        if pending is None or event.attempt not in pending.in_flight:
            return None
        backend = pending.backends[event.attempt]
        result = event.result
        pending.account.in_flight -= 1
        self.in_flight -= 1
        del pending.in_flight[event.attempt]
        del backend.in_flight[(event.request_id, event.attempt)]
        if result is AttemptResult.OK:
            self.record_success(now_us, pending, backend, event)
        backend.record_attempt_end(now_us, result, event.latency_us, self.settings.slow_start_window_us)
        if result in REUSABLE_CONNECTION_RESULTS:
            backend.idle_connections += 1
            backend.idle_since_us = now_us
        if result in UNSENT_RESULTS:
            pending.unsent_count += 1
        if result in UNEXECUTED_RESULTS:
            pending.unexecuted_count += 1
        if pending.unexecuted_count == len(pending.backends):
            pending.maybe_executed_on = None
        return pending

    def record_success(
        self, now_us: int, pending: PendingRequest, backend: BackendState, event: AttemptEnded
    ) -> None:
        """Update the mean latencies after a successful attempt, and correct the units that it was charged."""
        class_index = pending.request.class_index
        latency_us = event.latency_us
        backend.succeeded_at_us = now_us
        ratio = latency_us / max(1.0, self.mean_latency_us[class_index])
        bounded_ratio = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, ratio))
        backend.latency_ratio += EWMA_ALPHA * (bounded_ratio - backend.latency_ratio)
        self.mean_latency_us[class_index] += EWMA_ALPHA * (latency_us - self.mean_latency_us[class_index])
        if self.settings.costs_are_corrected and event.actual_units and pending.is_within_quota:
            pending.account.spend(event.actual_units - pending.request.units)
