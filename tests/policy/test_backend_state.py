"""Ejection, slow start and idle connections of a backend."""

from dataclasses import replace

from molereach.policy.backend_state import MAX_EJECTION_US, MIN_EJECTION_US, REJECTION_AVOID_US, BackendState
from molereach.policy.interface.events import AttemptResult
from molereach.policy.slow_start import capacity_fraction
from tests.helpers import MILLISECOND_US, SECOND_US, SETTINGS, endpoints

SLOW_START_WINDOW_US = SETTINGS.slow_start_window_us
NOW = 100 * SECOND_US


def make_backend(**changes: object) -> BackendState:
    return BackendState(endpoints(1, **changes)[0])


def test_ejections_grow_until_a_trial_succeeds() -> None:
    backend, now_us, ejection_durations_us = make_backend(), NOW, []
    backend.record_result(now_us, False, SLOW_START_WINDOW_US)
    assert not backend.is_on_trial
    for _ in range(6):
        backend.record_result(now_us, False, SLOW_START_WINDOW_US)
        assert backend.is_on_trial
        ejection_durations_us.append(backend.avoid_until_us - now_us)
        now_us = backend.avoid_until_us
    assert (
        ejection_durations_us[0] == MIN_EJECTION_US
        and ejection_durations_us[1] == 2 * MIN_EJECTION_US
        and ejection_durations_us[-1] == MAX_EJECTION_US
    )
    backend.record_result(now_us, True, SLOW_START_WINDOW_US)
    assert not backend.is_on_trial and not backend.failure_score and not backend.ejection_us
    assert (
        backend.slow_start_from_us == now_us - SLOW_START_WINDOW_US // 2
        and capacity_fraction(now_us, backend, SETTINGS) < 1
    )


def test_malformed_answers_and_resets_do_not_eject_a_backend_that_also_succeeds() -> None:
    backend = make_backend()
    for _ in range(40):
        backend.record_broken_connection(NOW, SLOW_START_WINDOW_US)
        backend.record_result(NOW, True, SLOW_START_WINDOW_US)
    assert not backend.is_on_trial and not backend.avoid_until_us
    for _ in range(4):
        backend.record_broken_connection(NOW, SLOW_START_WINDOW_US)
    assert backend.is_on_trial  # one that produces nothing else is ejected


def test_rejection_pauses_a_backend_and_a_timeout_beside_a_success_is_no_failure() -> None:
    backend = make_backend()
    backend.record_attempt_end(NOW, AttemptResult.REJECTED, MILLISECOND_US, SLOW_START_WINDOW_US)
    assert backend.avoid_until_us == NOW + REJECTION_AVOID_US and not backend.failure_score
    backend.succeeded_at_us = NOW
    backend.record_attempt_end(NOW + SECOND_US, AttemptResult.TIMEOUT, 2 * SECOND_US, SLOW_START_WINDOW_US)
    assert not backend.failure_score
    backend.record_attempt_end(NOW + SECOND_US, AttemptResult.TIMEOUT, SECOND_US // 2, SLOW_START_WINDOW_US)
    assert backend.failure_score == 1
    for result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
        backend.record_attempt_end(NOW + SECOND_US, result, MILLISECOND_US, SLOW_START_WINDOW_US)
    assert backend.failure_score == 1


def test_capacity_fraction_rises_and_idle_connections_expire() -> None:
    backend = make_backend(started_us=NOW)
    settings = replace(SETTINGS, slow_start_fraction=0.2, slow_start_window_us=10 * SECOND_US)
    assert [capacity_fraction(NOW + at_s * SECOND_US, backend, settings) for at_s in (-1, 0, 10)] == [
        0.2,
        0.2,
        1.0,
    ]
    assert 0.5 < capacity_fraction(NOW + 5 * SECOND_US, backend, settings) < 0.7
    assert capacity_fraction(1, make_backend(), settings) == 1  # it started long ago
    assert not backend.has_idle_connection(NOW, SECOND_US)
    backend.idle_connections, backend.idle_since_us = 1, NOW
    assert backend.has_idle_connection(NOW + SECOND_US - 1, SECOND_US) and not backend.has_idle_connection(
        NOW + SECOND_US, SECOND_US
    )
