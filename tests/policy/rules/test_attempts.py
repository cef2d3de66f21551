"""Requests and their attempts without a gateway: time-outs, means, patience, the retry budget."""

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
from tests.helpers import MS, PLAN, SAFE, SETTINGS, S, servers

NOW = 100 * S
ONE, OTHER = map(BackendState, servers(2))


def attempts_of(rule: RequestClass = SAFE, **changes: object) -> tuple[Attempts, PendingRequest]:
    settings = replace(SETTINGS, classes=(rule,), **changes)
    attempts = Attempts(settings)
    customer = CustomerAccount(PLAN, CustomerKey(1, 0, 0, 1), settings, NOW, 0)
    job = attempts.pending["a"] = PendingRequest(
        RequestReceived("a", 0, 0, "c", 6 * S), rule, customer, NOW, 0
    )
    return attempts, job


def outcome(result: AttemptResult, attempt: int = 0, took: int = 10 * MS, **changes: object) -> AttemptEnded:
    return replace(AttemptEnded("a", False, attempt, "", result, took), **changes)


def test_attempt_is_out_until_it_ends_once() -> None:
    attempts, job = attempts_of()
    server = BackendState(servers(1)[0])
    assert attempts.begin(NOW, job, server).endpoint == "s0"
    assert (attempts.in_flight, job.account.in_flight, len(server.in_flight), job.first_backend) == (
        1,
        1,
        1,
        server,
    )
    assert attempts.end(NOW, outcome(AttemptResult.OK, 1)) is None
    assert attempts.end(NOW, outcome(AttemptResult.OK, request_id="b")) is None
    assert attempts.end(NOW, outcome(AttemptResult.OK)) is job
    assert (attempts.in_flight, job.account.in_flight, len(server.in_flight), server.idle_connections) == (
        0,
        0,
        0,
        1,
    )
    assert attempts.end(NOW, outcome(AttemptResult.OK)) is None
    attempts.begin(NOW, job, server)
    assert server.idle_connections == 0  # the connection that rested is in use, if it did


def test_request_that_ran_nowhere_may_go_anywhere() -> None:
    keyed = RequestClass(
        2 * S,
        6 * S,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_us=S,
    )
    for result, ran in (
        (AttemptResult.REJECTED, False),
        (AttemptResult.CONNECT_FAILED, False),
        (AttemptResult.RESET, True),
    ):
        attempts, job = attempts_of(keyed)
        attempts.begin(NOW, job, BackendState(servers(1)[0]))
        assert not may_reject(job, NOW) and not may_run_on(job, NOW, BackendState(servers(4)[3]))
        attempts.end(NOW, outcome(result))
        assert (
            may_reject(job, NOW) is not ran and may_run_on(job, NOW, BackendState(servers(4)[3])) is not ran
        )
        assert job.unsent_count == (result is AttemptResult.CONNECT_FAILED)


def test_refusal_of_what_may_have_run_ends_with_the_window_of_its_repeats() -> None:
    """A refusal says that trying again is harmless: only for as long as servers know the first."""
    keyed = RequestClass(
        2 * S,
        6 * S,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=S,
    )
    attempts, job = attempts_of(keyed)
    attempts.begin(NOW, job, BackendState(servers(1)[0]))
    attempts.end(NOW, outcome(AttemptResult.RESET))
    assert may_reject(job, NOW + S - 1) and not may_reject(job, NOW + S)


def test_attempt_is_given_up_while_another_can_meet_the_aim() -> None:
    attempts, job = attempts_of()
    attempts.mean_latency_us = [200.0 * MS]
    assert attempts.timeout_us(NOW + 1500 * MS, job) == 4500 * MS  # too late for another to meet the aim
    assert attempts.begin(NOW, job, ONE).timeout_us == 2 * S - 400 * MS
    assert attempts.begin(NOW + S, job, OTHER).timeout_us == 600 * MS
    assert attempts.begin(NOW + S, job, ONE).timeout_us == 5 * S  # the last that it may have
    attempts, job = attempts_of(replace(SAFE, idempotency=Idempotency.NON_IDEMPOTENT))
    assert attempts.begin(NOW, job, ONE).timeout_us == 6 * S
    assert attempts.timeout_us(NOW + 7 * S, job) == 1


def test_latencies_move_the_means_and_an_outlier_counts_for_little() -> None:
    attempts, job = attempts_of(costs_are_corrected=True)
    server = BackendState(servers(1)[0])
    assert attempts.mean_latency_us == [500.0 * MS]
    attempts.begin(NOW, job, server)
    job.is_within_quota, level = True, job.account.tokens
    attempts.end(NOW, outcome(AttemptResult.OK, took=5 * S, actual_units=3.0))
    assert server.slowness == pytest.approx(1.3) and attempts.mean_latency_us == [950.0 * MS]
    assert server.succeeded_at_us == NOW and job.account.tokens == level - 2.0
    attempts.begin(NOW, job, server)
    attempts.end(NOW, outcome(AttemptResult.ERROR, 1, took=5 * S))
    assert attempts.mean_latency_us == [950.0 * MS] and server.failure_score == 1


def test_overdue_are_the_ages_of_what_is_out_for_longer_than_usual() -> None:
    attempts, job = attempts_of()
    attempts.begin(NOW, job, ONE)
    assert attempts.overdue_ages(NOW + 500 * MS) == []
    assert attempts.overdue_ages(NOW + S) == [0.5]
    assert attempts.overdue_ages(NOW + 4 * S) == [1.0]


def test_further_attempts_live_on_a_share_of_first_ones() -> None:
    attempts, job = attempts_of(max_attempts=99)
    attempts.begin(NOW, job, ONE)
    assert attempts.retry_policy.tokens == MAX_RETRY_TOKENS / 2 + RETRY_TOKENS_PER_REQUEST
    assert not attempts.retry_policy.may_retry(NOW, job, AttemptResult.NOT_SENT, attempts.mean_latency_us[0])
    for _ in range(4):
        assert attempts.retry_policy.may_retry(NOW, job, AttemptResult.RESET, attempts.mean_latency_us[0])
        attempts.retry_policy.spend(AttemptResult.RESET)
    assert not attempts.retry_policy.may_retry(NOW, job, AttemptResult.RESET, attempts.mean_latency_us[0])
    assert attempts.retry_policy.may_retry(
        NOW, job, AttemptResult.CONNECT_FAILED, attempts.mean_latency_us[0]
    )
    attempts.retry_policy.spend(AttemptResult.CONNECT_FAILED)
    assert attempts.retry_policy.tokens == pytest.approx(RETRY_TOKENS_PER_REQUEST)  # as nothing was sent
    assert not attempts.retry_policy.may_retry(
        NOW + 6 * S - 250 * MS, job, AttemptResult.CONNECT_FAILED, attempts.mean_latency_us[0]
    )
    attempts, job = attempts_of(max_attempts=1)
    attempts.begin(NOW, job, ONE)
    assert not attempts.retry_policy.may_retry(
        NOW, job, AttemptResult.CONNECT_FAILED, attempts.mean_latency_us[0]
    )


def test_retry_has_that_much_less_of_its_time_left() -> None:
    timeouts = ClientTimeouts(SETTINGS)
    first = RequestReceived("f", 0, 0, "c", 6 * S)
    assert timeouts.elapsed_us(replace(first, is_retry=True)) == 0  # nothing is known yet
    assert timeouts.elapsed_us(first) == 0
    assert timeouts.elapsed_us(replace(first, remaining_us=4 * S, is_retry=True)) == 2 * S
    assert timeouts.elapsed_us(replace(first, remaining_us=3 * S)) == 0
    assert timeouts.elapsed_us(replace(first, remaining_us=3 * S, is_retry=True)) == 0  # the least of late
    timeouts.elapsed_us(first)
    assert timeouts.timeout_us == [3 * S + 3 * S // 200 + 1]
    late = ClientTimeouts(replace(SETTINGS, classes=(replace(SAFE, late_priority_weight=0.5),)))
    late.elapsed_us(first)
    assert late.elapsed_us(replace(first, remaining_us=S, is_retry=True)) == 0


def test_repeat_says_until_when_it_may_still_be_written() -> None:
    keyed = RequestClass(
        2 * S,
        6 * S,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=S,
    )
    unsafe = replace(SAFE, idempotency=Idempotency.NON_IDEMPOTENT)
    for rule, result, until in (
        (keyed, AttemptResult.RESET, NOW + S),
        (keyed, AttemptResult.CONNECT_FAILED, 0),
        (SAFE, AttemptResult.RESET, 0),
        (unsafe, AttemptResult.CONNECT_FAILED, 0),
    ):
        attempts, job = attempts_of(rule)
        assert attempts.begin(NOW, job, ONE).write_deadline_us == 0
        attempts.end(NOW + 10 * MS, outcome(result))
        assert attempts.begin(NOW + 20 * MS, job, OTHER).write_deadline_us == until
