"""A server's health and warmth, by hand."""

from dataclasses import replace

from molereach.policy.backend_state import AVOID_US, SUSPECT_MAX_US, SUSPECT_US, Server
from molereach.policy.interface.events import AttemptResult
from tests.helpers import MS, SETTINGS, S, servers

WARM_US = SETTINGS.slow_start_window_us
NOW = 100 * S


def server(**changes: object) -> Server:
    return Server(servers(1, **changes)[0])


def test_suspect_is_left_alone_for_longer_each_time_until_a_trial_succeeds() -> None:
    known, now, spans = server(), NOW, []
    known.note_result(now, False, WARM_US)
    assert not known.on_trial
    for _ in range(6):
        known.note_result(now, False, WARM_US)
        assert known.on_trial
        spans.append(known.avoid_until - now)
        now = known.avoid_until
    assert spans[0] == SUSPECT_US and spans[1] == 2 * SUSPECT_US and spans[-1] == SUSPECT_MAX_US
    known.note_result(now, True, WARM_US)
    assert not known.on_trial and not known.fails and not known.backoff_us
    assert known.warm_from == now - WARM_US // 2 and known.warmth(now, SETTINGS) < 1


def test_spoilt_answers_and_resets_leave_a_server_in_that_answers_otherwise() -> None:
    known = server()
    for _ in range(40):
        known.note_broken(NOW, WARM_US)
        known.note_result(NOW, True, WARM_US)
    assert not known.on_trial and not known.avoid_until
    for _ in range(4):
        known.note_broken(NOW, WARM_US)
    assert known.on_trial  # one that does nothing else is suspect


def test_full_server_is_avoided_and_a_slow_answer_of_one_that_answers_is_no_failure() -> None:
    known = server()
    known.note_end(NOW, AttemptResult.REJECTED, MS, WARM_US)
    assert known.avoid_until == NOW + AVOID_US and not known.fails
    known.heard_us = NOW
    known.note_end(NOW + S, AttemptResult.TIMEOUT, 2 * S, WARM_US)
    assert not known.fails
    known.note_end(NOW + S, AttemptResult.TIMEOUT, S // 2, WARM_US)
    assert known.fails == 1
    for result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
        known.note_end(NOW + S, result, MS, WARM_US)
    assert known.fails == 1


def test_warmth_rises_from_cold_and_a_connection_rests_for_its_time() -> None:
    known = server(started_us=NOW)
    settings = replace(SETTINGS, slow_start_fraction=0.2, slow_start_window_us=10 * S)
    assert [known.warmth(NOW + at * S, settings) for at in (-1, 0, 10)] == [0.2, 0.2, 1.0]
    assert 0.5 < known.warmth(NOW + 5 * S, settings) < 0.7
    assert server().warmth(1, settings) == 1  # it has been there for long
    assert not known.is_kept(NOW, S)
    known.kept, known.kept_at = 1, NOW
    assert known.is_kept(NOW + S - 1, S) and not known.is_kept(NOW + S, S)
