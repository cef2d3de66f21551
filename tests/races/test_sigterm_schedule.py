"""SIGTERM: the moments of the end, for deadlines of any length; virtual time."""

import pytest

from molereach.proxy.graceful_shutdown import GracefulShutdown

MS = 1_000
TOLD = 7_000_000
NEW_UNTIL = 400 * MS  # so long new connections go on coming
DEADLINES_MS = (20, 100, 300, 700, 750, 1_000, 2_000, 3_000, 8_000)  # the longest of the classes


def kill_us(longest_ms: int) -> int:
    """No sooner than the longest deadline, 3 s at most, and 0.7 s more."""
    return TOLD + min(3_000, longest_ms) * MS + 700 * MS


@pytest.mark.parametrize("longest_ms", DEADLINES_MS)
def test_all_ends_before_the_kill_and_in_order(longest_ms: int) -> None:
    end = GracefulShutdown(TOLD, (10 * MS, longest_ms * MS))
    moments = [
        TOLD + NEW_UNTIL,
        end.settled_at_us,
        end.accepts_until_us,
        end.responses_due_at_us,
        end.reads_until_us,
        end.closes_at_us,
        kill_us(longest_ms),
    ]
    assert moments == sorted(moments)
    assert end.settled_at_us > TOLD + NEW_UNTIL and end.reads_until_us < end.closes_at_us < kill_us(
        longest_ms
    )


@pytest.mark.parametrize("longest_ms", DEADLINES_MS)
def test_what_is_taken_last_has_the_time_that_its_class_has_or_07_s(longest_ms: int) -> None:
    """It had 0.2 s where the longest deadline was 0.3 s, and none where that was 0.1 s."""
    end = GracefulShutdown(TOLD, (longest_ms * MS,))
    now = end.accepts_until_us - 1
    end.admit(now, 1)
    assert not end.closes_idle(now) and end.closes_idle(end.accepts_until_us)
    assert end.admit(now, longest_ms * MS) >= min(longest_ms, 700) * MS


@pytest.mark.parametrize("longest_ms", DEADLINES_MS)
def test_no_wait_of_a_client_outlasts_the_answers(longest_ms: int) -> None:
    """Clients may wait for twice their class's time."""
    end = GracefulShutdown(TOLD, (longest_ms * MS,))
    for now in range(TOLD, end.responses_due_at_us, 10 * MS):
        assert now < now + end.admit(now, 2 * longest_ms * MS) <= end.responses_due_at_us
    assert end.admit(end.responses_due_at_us + 5 * MS, 2 * longest_ms * MS) == 1  # it is told at once
