"""A server's health and warmth, by hand."""

from dataclasses import replace

from molereach.policy.backend_state import MAX_EJECTION_US, MIN_EJECTION_US, REJECTION_AVOID_US, BackendState
from molereach.policy.interface.events import AttemptResult
from molereach.policy.slow_start import capacity_fraction
from tests.helpers import MS, SETTINGS, S, servers

WARM_US = SETTINGS.slow_start_window_us
NOW = 100 * S


def server(**changes: object) -> BackendState:
    return BackendState(servers(1, **changes)[0])


def test_suspect_is_left_alone_for_longer_each_time_until_a_trial_succeeds() -> None:
    known, now, spans = server(), NOW, []
    known.record_result(now, False, WARM_US)
    assert not known.on_trial
    for _ in range(6):
        known.record_result(now, False, WARM_US)
        assert known.on_trial
        spans.append(known.avoid_until_us - now)
        now = known.avoid_until_us
    assert spans[0] == MIN_EJECTION_US and spans[1] == 2 * MIN_EJECTION_US and spans[-1] == MAX_EJECTION_US
    known.record_result(now, True, WARM_US)
    assert not known.on_trial and not known.failure_score and not known.ejection_us
    assert known.slow_start_from_us == now - WARM_US // 2 and capacity_fraction(now, known, SETTINGS) < 1


def test_spoilt_answers_and_resets_leave_a_server_in_that_answers_otherwise() -> None:
    known = server()
    for _ in range(40):
        known.record_broken_connection(NOW, WARM_US)
        known.record_result(NOW, True, WARM_US)
    assert not known.on_trial and not known.avoid_until_us
    for _ in range(4):
        known.record_broken_connection(NOW, WARM_US)
    assert known.on_trial  # one that does nothing else is suspect


def test_full_server_is_avoided_and_a_slow_answer_of_one_that_answers_is_no_failure() -> None:
    known = server()
    known.record_attempt_end(NOW, AttemptResult.REJECTED, MS, WARM_US)
    assert known.avoid_until_us == NOW + REJECTION_AVOID_US and not known.failure_score
    known.succeeded_at_us = NOW
    known.record_attempt_end(NOW + S, AttemptResult.TIMEOUT, 2 * S, WARM_US)
    assert not known.failure_score
    known.record_attempt_end(NOW + S, AttemptResult.TIMEOUT, S // 2, WARM_US)
    assert known.failure_score == 1
    for result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
        known.record_attempt_end(NOW + S, result, MS, WARM_US)
    assert known.failure_score == 1


def test_warmth_rises_from_cold_and_a_connection_rests_for_its_time() -> None:
    known = server(started_us=NOW)
    settings = replace(SETTINGS, slow_start_fraction=0.2, slow_start_window_us=10 * S)
    assert [capacity_fraction(NOW + at * S, known, settings) for at in (-1, 0, 10)] == [0.2, 0.2, 1.0]
    assert 0.5 < capacity_fraction(NOW + 5 * S, known, settings) < 0.7
    assert capacity_fraction(1, server(), settings) == 1  # it has been there for long
    assert not known.has_idle_connection(NOW, S)
    known.idle_connections, known.idle_since_us = 1, NOW
    assert known.has_idle_connection(NOW + S - 1, S) and not known.has_idle_connection(NOW + S, S)
