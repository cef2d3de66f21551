"""What this proxy knows about one backend: attempts in flight, health, idle connections and reported load.

A backend that fails is ejected, each time for longer. After an ejection it receives one trial attempt, and
slow start if that succeeds. Detection is passive: it uses this proxy's own attempts, no health checks.
"""

from molereach.policy.interface.events import AttemptResult, Endpoint
from molereach.policy.time_units import SECOND_US

EJECTION_SCORE = 1.7  # two failures in a row, or more failures than successes
BROKEN_CONNECTION_FAILURE_WEIGHT = 0.5  # a malformed answer or a reset counts as half a failure
MIN_EJECTION_US = SECOND_US
MAX_EJECTION_US = 8 * SECOND_US
REJECTION_AVOID_US = 300_000  # about a service time, for which a backend that rejected an attempt is full

BROKEN_CONNECTION_RESULTS = (AttemptResult.MALFORMED, AttemptResult.RESET)
HEALTH_NEUTRAL_RESULTS = (AttemptResult.CANCELLED, AttemptResult.NOT_SENT)


class BackendState:
    """The state of one backend; times are in microseconds on the clock of the events."""

    __slots__ = (
        "avoid_until_us",
        "ejection_us",
        "endpoint",
        "failure_score",
        "forwarded_at_us",
        "idle_connections",
        "idle_since_us",
        "in_flight",
        "is_on_trial",
        "latency_ratio",
        "load_reported_at_us",
        "reported_load",
        "slow_start_credit",
        "slow_start_from_us",
        "succeeded_at_us",
    )

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.in_flight: dict[tuple[str, int], int] = {}  # forwarding time by request id and attempt
        self.forwarded_at_us = 0  # time of the last attempt
        self.succeeded_at_us = 0  # end of the last successful attempt
        self.avoid_until_us = 0  # end of an ejection, or of the pause after a rejection
        self.ejection_us = 0  # duration of the last ejection
        self.failure_score = 0.0  # recent failures, halved by each success
        self.is_on_trial = False  # after an ejection, until an attempt succeeds
        self.slow_start_credit = 1.0  # fraction of an attempt, as of `forwarded_at_us`
        # When it started or returned from an ejection; 0: not in slow start
        self.slow_start_from_us = endpoint.started_us
        self.latency_ratio = 1.0  # mean ratio of its latencies to the mean latency of the request's class
        self.idle_connections = 0
        self.idle_since_us = 0  # when the last connection became idle
        self.reported_load: float | None = None  # the last load that the backend reported
        self.load_reported_at_us = 0

    def has_idle_connection(self, now_us: int, idle_ttl_us: int) -> bool:
        """Whether an idle connection to the backend is assumed to be open."""
        return self.idle_connections > 0 and now_us - self.idle_since_us < idle_ttl_us

    def record_result(self, now_us: int, success: bool, slow_start_window_us: int) -> None:
        """Count a success or a failure; it may eject the backend or end its trial."""
        self.failure_score = self.failure_score / 2 if success else self.failure_score + 1
        if success and self.is_on_trial:
            self.is_on_trial = False
            self.ejection_us = 0
            self.failure_score = 0.0
            self.slow_start_from_us = max(self.slow_start_from_us, now_us - slow_start_window_us // 2)
        elif (
            not success
            and (self.failure_score >= EJECTION_SCORE or self.is_on_trial)
            and now_us >= self.avoid_until_us
        ):
            self.ejection_us = min(MAX_EJECTION_US, max(MIN_EJECTION_US, self.ejection_us * 2))
            self.avoid_until_us = now_us + self.ejection_us
            self.is_on_trial = True

    def record_broken_connection(self, now_us: int, slow_start_window_us: int) -> None:
        """Count a malformed answer or a reset.

        Any backend may cause one occasionally, and a backend that has died refuses new connections anyway, so
        only a backend that produces hardly anything else is ejected.
        """
        self.failure_score += BROKEN_CONNECTION_FAILURE_WEIGHT - 1
        self.record_result(now_us, False, slow_start_window_us)

    def record_attempt_end(
        self, now_us: int, result: AttemptResult, latency_us: int, slow_start_window_us: int
    ) -> None:
        """Update the backend's health after an attempt that ended after `latency_us`.

        A timeout does not count as a failure if the backend answered another attempt in the meantime.
        """
        if result is AttemptResult.REJECTED:
            self.avoid_until_us = max(self.avoid_until_us, now_us + REJECTION_AVOID_US)
        elif result in BROKEN_CONNECTION_RESULTS:
            self.record_broken_connection(now_us, slow_start_window_us)
        elif result is AttemptResult.TIMEOUT and self.succeeded_at_us >= now_us - latency_us:
            return
        elif result not in HEALTH_NEUTRAL_RESULTS:
            self.record_result(now_us, result is AttemptResult.OK, slow_start_window_us)
