"""Attempts: timeouts, mean latencies, idempotency and the retry budget."""

from dataclasses import replace

import pytest

from molereach.policy.attempts import Attempts
from molereach.policy.backend_state import BackendState
from molereach.policy.client_timeouts import ClientTimeouts
from molereach.policy.idempotency import may_reject, may_run_on
from molereach.policy.interface.events import AttemptEnded, AttemptResult, RequestReceived
from molereach.policy.interface.messages import CustomerKey
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, RequestClass
from molereach.policy.pending_request import PendingRequest
from molereach.policy.quota import CustomerAccount
from molereach.policy.retry_policy import MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST
from tests.helpers import IDEMPOTENT, MILLISECOND_US, PLAN, SECOND_US, SETTINGS, endpoints

NOW = 100 * SECOND_US
FIRST_BACKEND, SECOND_BACKEND = map(BackendState, endpoints(2))


def make_attempts(
    request_class: RequestClass = IDEMPOTENT, **changes: object
) -> tuple[Attempts, PendingRequest]:
    settings = replace(SETTINGS, classes=(request_class,), **changes)
    attempts = Attempts(settings)
    account = CustomerAccount(PLAN, CustomerKey(1, 0, 0, 1), settings, NOW, 0)
    pending = attempts.pending["a"] = PendingRequest(
        RequestReceived("a", 0, 0, "c", 6 * SECOND_US), request_class, account, NOW, 0
    )
    return attempts, pending


def attempt_ended(
    result: AttemptResult, attempt: int = 0, latency_us: int = 10 * MILLISECOND_US, **changes: object
) -> AttemptEnded:
    return replace(AttemptEnded("a", False, attempt, "", result, latency_us), **changes)


def test_attempt_is_in_flight_until_it_ends_once() -> None:
    attempts, pending = make_attempts()
    backend = BackendState(endpoints(1)[0])
    assert attempts.begin(NOW, pending, backend).endpoint == "s0"
    assert (
        attempts.in_flight,
        pending.account.in_flight,
        len(backend.in_flight),
        pending.maybe_executed_on,
    ) == (
        1,
        1,
        1,
        backend,
    )
    assert attempts.end(NOW, attempt_ended(AttemptResult.OK, 1)) is None
    assert attempts.end(NOW, attempt_ended(AttemptResult.OK, request_id="b")) is None
    assert attempts.end(NOW, attempt_ended(AttemptResult.OK)) is pending
    assert (
        attempts.in_flight,
        pending.account.in_flight,
        len(backend.in_flight),
        backend.idle_connections,
    ) == (
        0,
        0,
        0,
        1,
    )
    assert attempts.end(NOW, attempt_ended(AttemptResult.OK)) is None
    attempts.begin(NOW, pending, backend)
    assert backend.idle_connections == 0  # the idle connection is in use


def test_unexecuted_request_may_run_on_any_backend() -> None:
    idempotent_with_key = RequestClass(
        2 * SECOND_US,
        6 * SECOND_US,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_us=SECOND_US,
    )
    for result, may_have_executed in (
        (AttemptResult.REJECTED, False),
        (AttemptResult.CONNECT_FAILED, False),
        (AttemptResult.RESET, True),
    ):
        attempts, pending = make_attempts(idempotent_with_key)
        attempts.begin(NOW, pending, BackendState(endpoints(1)[0]))
        assert not may_reject(pending, NOW) and not may_run_on(pending, NOW, BackendState(endpoints(4)[3]))
        attempts.end(NOW, attempt_ended(result))
        assert (
            may_reject(pending, NOW) is not may_have_executed
            and may_run_on(pending, NOW, BackendState(endpoints(4)[3])) is not may_have_executed
        )
        assert pending.unsent_count == (result is AttemptResult.CONNECT_FAILED)


def test_executed_request_may_be_rejected_within_its_deduplication_window_only() -> None:
    """A rejection promises that a retry is safe, which holds only while backends remember the key."""
    idempotent_with_key = RequestClass(
        2 * SECOND_US,
        6 * SECOND_US,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=SECOND_US,
    )
    attempts, pending = make_attempts(idempotent_with_key)
    attempts.begin(NOW, pending, BackendState(endpoints(1)[0]))
    attempts.end(NOW, attempt_ended(AttemptResult.RESET))
    assert may_reject(pending, NOW + SECOND_US - 1) and not may_reject(pending, NOW + SECOND_US)


def test_attempt_timeout_leaves_time_for_a_retry_within_the_objective() -> None:
    attempts, pending = make_attempts()
    attempts.mean_latency_us = [200.0 * MILLISECOND_US]
    # A retry could no longer meet the objective.
    assert attempts.timeout_us(NOW + 1500 * MILLISECOND_US, pending) == 4500 * MILLISECOND_US
    assert attempts.begin(NOW, pending, FIRST_BACKEND).timeout_us == 2 * SECOND_US - 400 * MILLISECOND_US
    assert attempts.begin(NOW + SECOND_US, pending, SECOND_BACKEND).timeout_us == 600 * MILLISECOND_US
    # The last attempt that is allowed has all of the remaining time.
    assert attempts.begin(NOW + SECOND_US, pending, FIRST_BACKEND).timeout_us == 5 * SECOND_US
    attempts, pending = make_attempts(replace(IDEMPOTENT, idempotency=Idempotency.NON_IDEMPOTENT))
    assert attempts.begin(NOW, pending, FIRST_BACKEND).timeout_us == 6 * SECOND_US
    assert attempts.timeout_us(NOW + 7 * SECOND_US, pending) == 1


def test_latencies_update_the_means_and_outliers_are_bounded() -> None:
    attempts, pending = make_attempts(costs_are_corrected=True)
    backend = BackendState(endpoints(1)[0])
    assert attempts.mean_latency_us == [500.0 * MILLISECOND_US]
    attempts.begin(NOW, pending, backend)
    pending.is_within_quota, tokens_before = True, pending.account.tokens
    attempts.end(NOW, attempt_ended(AttemptResult.OK, latency_us=5 * SECOND_US, actual_units=3.0))
    assert backend.latency_ratio == pytest.approx(1.3) and attempts.mean_latency_us == [
        950.0 * MILLISECOND_US
    ]
    assert backend.succeeded_at_us == NOW and pending.account.tokens == tokens_before - 2.0
    attempts.begin(NOW, pending, backend)
    attempts.end(NOW, attempt_ended(AttemptResult.ERROR, 1, latency_us=5 * SECOND_US))
    assert attempts.mean_latency_us == [950.0 * MILLISECOND_US] and backend.failure_score == 1


def test_overdue_ages_are_of_attempts_in_flight_for_longer_than_the_mean() -> None:
    attempts, pending = make_attempts()
    attempts.begin(NOW, pending, FIRST_BACKEND)
    assert attempts.overdue_ages(NOW + 500 * MILLISECOND_US) == []
    assert attempts.overdue_ages(NOW + SECOND_US) == [0.5]
    assert attempts.overdue_ages(NOW + 4 * SECOND_US) == [1.0]


def test_retry_budget_is_a_fraction_of_first_attempts() -> None:
    attempts, pending = make_attempts(max_attempts=99)
    attempts.begin(NOW, pending, FIRST_BACKEND)
    assert attempts.retry_policy.tokens == MAX_RETRY_TOKENS / 2 + RETRY_TOKENS_PER_REQUEST
    assert not attempts.retry_policy.may_retry(
        NOW, pending, AttemptResult.NOT_SENT, attempts.mean_latency_us[0]
    )
    for _ in range(4):
        assert attempts.retry_policy.may_retry(NOW, pending, AttemptResult.RESET, attempts.mean_latency_us[0])
        attempts.retry_policy.spend(AttemptResult.RESET)
    assert not attempts.retry_policy.may_retry(NOW, pending, AttemptResult.RESET, attempts.mean_latency_us[0])
    assert attempts.retry_policy.may_retry(
        NOW, pending, AttemptResult.CONNECT_FAILED, attempts.mean_latency_us[0]
    )
    attempts.retry_policy.spend(AttemptResult.CONNECT_FAILED)
    # The retry was free, because nothing had been sent.
    assert attempts.retry_policy.tokens == pytest.approx(RETRY_TOKENS_PER_REQUEST)
    assert not attempts.retry_policy.may_retry(
        NOW + 6 * SECOND_US - 250 * MILLISECOND_US,
        pending,
        AttemptResult.CONNECT_FAILED,
        attempts.mean_latency_us[0],
    )
    attempts, pending = make_attempts(max_attempts=1)
    attempts.begin(NOW, pending, FIRST_BACKEND)
    assert not attempts.retry_policy.may_retry(
        NOW, pending, AttemptResult.CONNECT_FAILED, attempts.mean_latency_us[0]
    )


def test_elapsed_time_of_a_retry_follows_the_client_timeout() -> None:
    timeouts = ClientTimeouts(SETTINGS)
    first = RequestReceived("f", 0, 0, "c", 6 * SECOND_US)
    assert timeouts.elapsed_us(replace(first, is_client_retry=True)) == 0  # there is no estimate yet
    assert timeouts.elapsed_us(first) == 0
    assert (
        timeouts.elapsed_us(replace(first, remaining_us=4 * SECOND_US, is_client_retry=True)) == 2 * SECOND_US
    )
    assert timeouts.elapsed_us(replace(first, remaining_us=3 * SECOND_US)) == 0
    # The estimate is now 3 s.
    assert timeouts.elapsed_us(replace(first, remaining_us=3 * SECOND_US, is_client_retry=True)) == 0
    timeouts.elapsed_us(first)
    assert timeouts.timeout_us == [3 * SECOND_US + 3 * SECOND_US // 200 + 1]
    timeouts_with_late_value = ClientTimeouts(
        replace(SETTINGS, classes=(replace(IDEMPOTENT, late_priority_weight=0.5),))
    )
    timeouts_with_late_value.elapsed_us(first)
    assert (
        timeouts_with_late_value.elapsed_us(replace(first, remaining_us=SECOND_US, is_client_retry=True)) == 0
    )


def test_retry_of_an_executed_request_has_a_write_deadline() -> None:
    idempotent_with_key = RequestClass(
        2 * SECOND_US,
        6 * SECOND_US,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=SECOND_US,
    )
    non_idempotent = replace(IDEMPOTENT, idempotency=Idempotency.NON_IDEMPOTENT)
    for request_class, result, write_deadline_us in (
        (idempotent_with_key, AttemptResult.RESET, NOW + SECOND_US),
        (idempotent_with_key, AttemptResult.CONNECT_FAILED, 0),
        (IDEMPOTENT, AttemptResult.RESET, 0),
        (non_idempotent, AttemptResult.CONNECT_FAILED, 0),
    ):
        attempts, pending = make_attempts(request_class)
        assert attempts.begin(NOW, pending, FIRST_BACKEND).write_deadline_us == 0
        attempts.end(NOW + 10 * MILLISECOND_US, attempt_ended(result))
        assert (
            attempts.begin(NOW + 20 * MILLISECOND_US, pending, SECOND_BACKEND).write_deadline_us
            == write_deadline_us
        )
