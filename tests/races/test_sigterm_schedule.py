"""SIGTERM: the schedule of the shutdown for deadlines of any length, in virtual time."""

import pytest

from molereach.proxy.graceful_shutdown import GracefulShutdown

MILLISECOND_US = 1_000
SIGTERM_AT_US = 7_000_000
NEW_CONNECTIONS_US = 400 * MILLISECOND_US  # new connections keep arriving for this long
DEADLINES_MS = (20, 100, 300, 700, 750, 1_000, 2_000, 3_000, 8_000)  # the longest deadline of any class


def sigkill_at_us(longest_deadline_ms: int) -> int:
    """The earliest SIGKILL: after the longest deadline, 3 s at most, plus 0.7 s."""
    return SIGTERM_AT_US + min(3_000, longest_deadline_ms) * MILLISECOND_US + 700 * MILLISECOND_US


@pytest.mark.parametrize("longest_deadline_ms", DEADLINES_MS)
def test_shutdown_steps_are_in_order_and_before_sigkill(longest_deadline_ms: int) -> None:
    shutdown = GracefulShutdown(SIGTERM_AT_US, (10 * MILLISECOND_US, longest_deadline_ms * MILLISECOND_US))
    times_us = [
        SIGTERM_AT_US + NEW_CONNECTIONS_US,
        shutdown.settled_at_us,
        shutdown.accepts_until_us,
        shutdown.responses_due_at_us,
        shutdown.reads_until_us,
        shutdown.closes_at_us,
        sigkill_at_us(longest_deadline_ms),
    ]
    assert times_us == sorted(times_us)
    assert (
        shutdown.settled_at_us > SIGTERM_AT_US + NEW_CONNECTIONS_US
        and shutdown.reads_until_us < shutdown.closes_at_us < sigkill_at_us(longest_deadline_ms)
    )


@pytest.mark.parametrize("longest_deadline_ms", DEADLINES_MS)
def test_last_accepted_request_has_the_time_of_its_class_or_07_s(longest_deadline_ms: int) -> None:
    """It had 0.2 s where the longest deadline was 0.3 s, and none where that was 0.1 s."""
    shutdown = GracefulShutdown(SIGTERM_AT_US, (longest_deadline_ms * MILLISECOND_US,))
    now_us = shutdown.accepts_until_us - 1
    shutdown.admit(now_us, 1)
    assert not shutdown.closes_idle(now_us) and shutdown.closes_idle(shutdown.accepts_until_us)
    assert (
        shutdown.admit(now_us, longest_deadline_ms * MILLISECOND_US)
        >= min(longest_deadline_ms, 700) * MILLISECOND_US
    )


@pytest.mark.parametrize("longest_deadline_ms", DEADLINES_MS)
def test_no_admitted_deadline_exceeds_the_time_for_answers(longest_deadline_ms: int) -> None:
    """Clients may wait for twice the deadline of their class."""
    shutdown = GracefulShutdown(SIGTERM_AT_US, (longest_deadline_ms * MILLISECOND_US,))
    for now_us in range(SIGTERM_AT_US, shutdown.responses_due_at_us, 10 * MILLISECOND_US):
        assert (
            now_us
            < now_us + shutdown.admit(now_us, 2 * longest_deadline_ms * MILLISECOND_US)
            <= shutdown.responses_due_at_us
        )
    # From then on requests are answered at once.
    assert (
        shutdown.admit(
            shutdown.responses_due_at_us + 5 * MILLISECOND_US, 2 * longest_deadline_ms * MILLISECOND_US
        )
        == 1
    )
