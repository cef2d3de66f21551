"""One backend as this proxy knows it: attempts in flight, health, idle connections and reported load.

A backend that fails is ejected, for longer each time; it returns by one trial attempt, then by slow start.
Only this proxy's own attempts count: no health check is sent.
"""

from molereach.policy.interface.events import AttemptResult, Endpoint
from molereach.policy.time_units import SECOND_US

EJECTION_SCORE = 1.7  # two failures running, or a mix with more failures than successes
BROKEN_CONNECTION_WEIGHT = 0.5  # of a failure: what a malformed answer or a reset counts
MIN_EJECTION_US = SECOND_US
MAX_EJECTION_US = 8 * SECOND_US
REJECTION_AVOID_US = 300_000  # a backend that rejected an attempt is full for about a service time

BROKEN_CONNECTION = (AttemptResult.MALFORMED, AttemptResult.RESET)
WITHOUT_MEANING = (AttemptResult.CANCELLED, AttemptResult.NOT_SENT)  # they say nothing of a backend's health


class BackendState:
    """What is known of a backend; times are on the clock of the events, in microseconds."""

    __slots__ = (
        "avoid_until_us",
        "ejection_us",
        "endpoint",
        "failure_score",
        "forwarded_at_us",
        "idle_connections",
        "idle_since_us",
        "in_flight",
        "load",
        "load_reported_at_us",
        "on_trial",
        "slow_start_credit",
        "slow_start_from_us",
        "slowness",
        "succeeded_at_us",
    )

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.in_flight: dict[tuple[str, int], int] = {}  # forwarding time by request id and attempt
        self.forwarded_at_us = 0  # the last attempt
        self.succeeded_at_us = 0  # the last successful attempt
        self.avoid_until_us = 0
        self.ejection_us = 0  # length of the last ejection
        self.failure_score = 0.0  # recent failures, halved by each success
        self.on_trial = False  # after an ejection, until an attempt succeeds
        self.slow_start_credit = 1.0  # of an attempt, as of `forwarded_at_us`
        self.slow_start_from_us = endpoint.started_us  # its start or its return from an ejection; 0: none
        self.slowness = 1.0  # mean of latency over the mean latency of the request's class
        self.idle_connections = 0
        self.idle_since_us = 0  # when the last connection became idle
        self.load: float | None = None  # as the backend reported it
        self.load_reported_at_us = 0

    def has_idle_connection(self, now_us: int, idle_ttl_us: int) -> bool:
        """Whether an idle connection to it is open, as far as the policy can know."""
        return self.idle_connections > 0 and now_us - self.idle_since_us < idle_ttl_us

    def record_result(self, now_us: int, success: bool, slow_start_window_us: int) -> None:
        """Count a success or a failure, which may eject the backend or end its trial."""
        self.failure_score = self.failure_score / 2 if success else self.failure_score + 1
        if success and self.on_trial:
            self.on_trial = False
            self.ejection_us = 0
            self.failure_score = 0.0
            self.slow_start_from_us = max(self.slow_start_from_us, now_us - slow_start_window_us // 2)
        elif (
            not success
            and (self.failure_score >= EJECTION_SCORE or self.on_trial)
            and now_us >= self.avoid_until_us
        ):
            self.ejection_us = min(MAX_EJECTION_US, max(MIN_EJECTION_US, self.ejection_us * 2))
            self.avoid_until_us = now_us + self.ejection_us
            self.on_trial = True

    def record_broken_connection(self, now_us: int, slow_start_window_us: int) -> None:
        """Count a malformed answer or a reset.

        Any backend may cause one now and then, and one that has died refuses new connections: only a backend
        that does little else is ejected.
        """
        self.failure_score += BROKEN_CONNECTION_WEIGHT - 1
        self.record_result(now_us, False, slow_start_window_us)

    def record_attempt_end(
        self, now_us: int, result: AttemptResult, latency_us: int, slow_start_window_us: int
    ) -> None:
        """Count how an attempt ended after `latency_us`.

        A timeout is no failure of the backend when it answered other attempts meanwhile.
        """
        if result is AttemptResult.REJECTED:
            self.avoid_until_us = max(self.avoid_until_us, now_us + REJECTION_AVOID_US)
        elif result in BROKEN_CONNECTION:
            self.record_broken_connection(now_us, slow_start_window_us)
        elif result is AttemptResult.TIMEOUT and self.succeeded_at_us >= now_us - latency_us:
            return
        elif result not in WITHOUT_MEANING:
            self.record_result(now_us, result is AttemptResult.OK, slow_start_window_us)
