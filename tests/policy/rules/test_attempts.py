"""Requests and their attempts without a gateway: time-outs, means, patience, the retry budget."""

from dataclasses import replace

import pytest

from molereach.policy.attempts import RETRY_SHARE, RETRY_STORE, Attempts
from molereach.policy.backend_state import Server
from molereach.policy.interface.events import AttemptEnded, AttemptResult, RequestReceived
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, RequestClass
from molereach.policy.pending_request import Job
from molereach.policy.quota import Customer
from tests.helpers import MS, PLAN, SAFE, SETTINGS, S, servers

NOW = 100 * S
ONE, OTHER = map(Server, servers(2))


def attempts_of(rule: RequestClass = SAFE, **changes: object) -> tuple[Attempts, Job]:
    settings = replace(SETTINGS, classes=(rule,), **changes)
    attempts = Attempts(settings)
    customer = Customer(PLAN, (1, 0, 0, 1), settings, NOW, 0)
    job = attempts.jobs["a"] = Job(RequestReceived("a", 0, 0, "c", 6 * S), rule, customer, NOW, 0)
    return attempts, job


def outcome(result: AttemptResult, attempt: int = 0, took: int = 10 * MS, **changes: object) -> AttemptEnded:
    return replace(AttemptEnded("a", False, attempt, "", result, took), **changes)


def test_attempt_is_out_until_it_ends_once() -> None:
    attempts, job = attempts_of()
    server = Server(servers(1)[0])
    assert attempts.begin(NOW, job, server).endpoint == "s0"
    assert (attempts.out, job.customer.out, len(server.out), job.ran_on) == (1, 1, 1, server)
    assert attempts.end(NOW, outcome(AttemptResult.OK, 1)) is None
    assert attempts.end(NOW, outcome(AttemptResult.OK, request_id="b")) is None
    assert attempts.end(NOW, outcome(AttemptResult.OK)) is job
    assert (attempts.out, job.customer.out, len(server.out), server.kept) == (0, 0, 0, 1)
    assert attempts.end(NOW, outcome(AttemptResult.OK)) is None
    attempts.begin(NOW, job, server)
    assert server.kept == 0  # the connection that rested is in use, if it did


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
        attempts.begin(NOW, job, Server(servers(1)[0]))
        assert not job.may_refuse(NOW) and not job.may_run_on(NOW, Server(servers(4)[3]))
        attempts.end(NOW, outcome(result))
        assert job.may_refuse(NOW) is not ran and job.may_run_on(NOW, Server(servers(4)[3])) is not ran
        assert job.unsent == (result is AttemptResult.CONNECT_FAILED)


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
    attempts.begin(NOW, job, Server(servers(1)[0]))
    attempts.end(NOW, outcome(AttemptResult.RESET))
    assert job.may_refuse(NOW + S - 1) and not job.may_refuse(NOW + S)


def test_attempt_is_given_up_while_another_can_meet_the_aim() -> None:
    attempts, job = attempts_of()
    attempts.mean_us = [200.0 * MS]
    assert attempts.time_out(NOW + 1500 * MS, job) == 4500 * MS  # too late for another to meet the aim
    assert attempts.begin(NOW, job, ONE).timeout_us == 2 * S - 400 * MS
    assert attempts.begin(NOW + S, job, OTHER).timeout_us == 600 * MS
    assert attempts.begin(NOW + S, job, ONE).timeout_us == 5 * S  # the last that it may have
    attempts, job = attempts_of(replace(SAFE, idempotency=Idempotency.NON_IDEMPOTENT))
    assert attempts.begin(NOW, job, ONE).timeout_us == 6 * S
    assert attempts.time_out(NOW + 7 * S, job) == 1


def test_latencies_move_the_means_and_an_outlier_counts_for_little() -> None:
    attempts, job = attempts_of(costs_are_corrected=True)
    server = Server(servers(1)[0])
    assert attempts.mean_us == [500.0 * MS]
    attempts.begin(NOW, job, server)
    job.in_quota, level = True, job.customer.level
    attempts.end(NOW, outcome(AttemptResult.OK, took=5 * S, actual_units=3.0))
    assert server.slowness == pytest.approx(1.3) and attempts.mean_us == [950.0 * MS]
    assert server.heard_us == NOW and job.customer.level == level - 2.0
    attempts.begin(NOW, job, server)
    attempts.end(NOW, outcome(AttemptResult.ERROR, 1, took=5 * S))
    assert attempts.mean_us == [950.0 * MS] and server.fails == 1


def test_overdue_are_the_ages_of_what_is_out_for_longer_than_usual() -> None:
    attempts, job = attempts_of()
    attempts.begin(NOW, job, ONE)
    assert attempts.overdue(NOW + 500 * MS) == []
    assert attempts.overdue(NOW + S) == [0.5]
    assert attempts.overdue(NOW + 4 * S) == [1.0]


def test_further_attempts_live_on_a_share_of_first_ones() -> None:
    attempts, job = attempts_of(max_attempts=99)
    attempts.begin(NOW, job, ONE)
    assert attempts.retries == RETRY_STORE / 2 + RETRY_SHARE
    assert not attempts.has_another(NOW, job, AttemptResult.NOT_SENT)
    for _ in range(4):
        assert attempts.has_another(NOW, job, AttemptResult.RESET)
        attempts.pay(AttemptResult.RESET)
    assert not attempts.has_another(NOW, job, AttemptResult.RESET)
    assert attempts.has_another(NOW, job, AttemptResult.CONNECT_FAILED)
    attempts.pay(AttemptResult.CONNECT_FAILED)
    assert attempts.retries == pytest.approx(RETRY_SHARE)  # as nothing was sent
    assert not attempts.has_another(NOW + 6 * S - 250 * MS, job, AttemptResult.CONNECT_FAILED)
    attempts, job = attempts_of(max_attempts=1)
    attempts.begin(NOW, job, ONE)
    assert not attempts.has_another(NOW, job, AttemptResult.CONNECT_FAILED)


def test_retry_has_that_much_less_of_its_time_left() -> None:
    attempts, _ = attempts_of()
    first = RequestReceived("f", 0, 0, "c", 6 * S)
    assert attempts.gone_us(replace(first, is_retry=True)) == 0  # nothing is known yet
    assert attempts.gone_us(first) == 0
    assert attempts.gone_us(replace(first, remaining_us=4 * S, is_retry=True)) == 2 * S
    assert attempts.gone_us(replace(first, remaining_us=3 * S)) == 0
    assert attempts.gone_us(replace(first, remaining_us=3 * S, is_retry=True)) == 0  # the least of late
    attempts.gone_us(first)
    assert attempts.patience_us == [3 * S + 3 * S // 200 + 1]
    late, _ = attempts_of(replace(SAFE, late_priority_weight=0.5))
    late.gone_us(first)
    assert late.gone_us(replace(first, remaining_us=S, is_retry=True)) == 0


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
