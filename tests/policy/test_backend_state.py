"""A backend's ejection, slow start and idle connections."""

from dataclasses import replace

from molereach.policy.backend_state import MAX_EJECTION_US, MIN_EJECTION_US, REJECTION_AVOID_US, BackendState
from molereach.policy.interface.events import AttemptResult
from molereach.policy.slow_start import capacity_fraction
from tests.helpers import MILLISECOND_US, SECOND_US, SETTINGS, endpoints

WARM_US = SETTINGS.slow_start_window_us
NOW = 100 * SECOND_US


def backend_of(**changes: object) -> BackendState:
    return BackendState(endpoints(1, **changes)[0])


def test_ejections_grow_until_a_trial_succeeds() -> None:
    backend, now_us, spans = backend_of(), NOW, []
    backend.record_result(now_us, False, WARM_US)
    assert not backend.is_on_trial
    for _ in range(6):
        backend.record_result(now_us, False, WARM_US)
        assert backend.is_on_trial
        spans.append(backend.avoid_until_us - now_us)
        now_us = backend.avoid_until_us
    assert spans[0] == MIN_EJECTION_US and spans[1] == 2 * MIN_EJECTION_US and spans[-1] == MAX_EJECTION_US
    backend.record_result(now_us, True, WARM_US)
    assert not backend.is_on_trial and not backend.failure_score and not backend.ejection_us
    assert (
        backend.slow_start_from_us == now_us - WARM_US // 2
        and capacity_fraction(now_us, backend, SETTINGS) < 1
    )


def test_malformed_answers_and_resets_do_not_eject_a_backend_that_also_succeeds() -> None:
    backend = backend_of()
    for _ in range(40):
        backend.record_broken_connection(NOW, WARM_US)
        backend.record_result(NOW, True, WARM_US)
    assert not backend.is_on_trial and not backend.avoid_until_us
    for _ in range(4):
        backend.record_broken_connection(NOW, WARM_US)
    assert backend.is_on_trial  # one that does nothing else is suspect


def test_rejection_avoids_a_backend_and_a_timeout_beside_successes_is_no_failure() -> None:
    backend = backend_of()
    backend.record_attempt_end(NOW, AttemptResult.REJECTED, MILLISECOND_US, WARM_US)
    assert backend.avoid_until_us == NOW + REJECTION_AVOID_US and not backend.failure_score
    backend.succeeded_at_us = NOW
    backend.record_attempt_end(NOW + SECOND_US, AttemptResult.TIMEOUT, 2 * SECOND_US, WARM_US)
    assert not backend.failure_score
    backend.record_attempt_end(NOW + SECOND_US, AttemptResult.TIMEOUT, SECOND_US // 2, WARM_US)
    assert backend.failure_score == 1
    for result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
        backend.record_attempt_end(NOW + SECOND_US, result, MILLISECOND_US, WARM_US)
    assert backend.failure_score == 1


def test_capacity_fraction_rises_and_idle_connections_expire() -> None:
    backend = backend_of(started_us=NOW)
    settings = replace(SETTINGS, slow_start_fraction=0.2, slow_start_window_us=10 * SECOND_US)
    assert [capacity_fraction(NOW + at * SECOND_US, backend, settings) for at in (-1, 0, 10)] == [
        0.2,
        0.2,
        1.0,
    ]
    assert 0.5 < capacity_fraction(NOW + 5 * SECOND_US, backend, settings) < 0.7
    assert capacity_fraction(1, backend_of(), settings) == 1  # it has been there for long
    assert not backend.has_idle_connection(NOW, SECOND_US)
    backend.idle_connections, backend.idle_since_us = 1, NOW
    assert backend.has_idle_connection(NOW + SECOND_US - 1, SECOND_US) and not backend.has_idle_connection(
        NOW + SECOND_US, SECOND_US
    )
