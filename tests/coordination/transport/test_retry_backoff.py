"""The backoff before a peer is dialled again."""

from molereach.coordination.transport import retry_backoff
from molereach.coordination.transport.retry_backoff import RetryBackoff


def test_delays_double_up_to_the_maximum_and_jitter_shortens_them_within_bounds() -> None:
    longest, shortest = RetryBackoff(lambda: 0.0), RetryBackoff(lambda: 0.999)
    delays_us = []
    for _ in range(8):
        longest.on_failed(0)
        shortest.on_failed(0)
        delays_us.append(longest.delay_us(0))
        assert retry_backoff.MIN_DELAY_US <= shortest.delay_us(0) <= longest.delay_us(0)
    assert delays_us == [200_000, 400_000, 800_000, 1_600_000, 3_200_000, 5_000_000, 5_000_000, 5_000_000]
    assert (
        shortest.delay_us(0) < retry_backoff.MAX_DELAY_US * 0.51
        and shortest.delay_us(retry_backoff.MAX_DELAY_US) == 0
    )


def test_only_a_connection_that_lasted_resets_the_backoff() -> None:
    backoff = RetryBackoff(lambda: 0.0)
    for _ in range(3):
        backoff.on_opened(0)
        backoff.on_failed(retry_backoff.STABLE_AFTER_US - 1)
    assert backoff.failures == 3
    backoff.on_opened(0)
    backoff.on_failed(retry_backoff.STABLE_AFTER_US)
    assert (backoff.failures, backoff.delay_us(retry_backoff.STABLE_AFTER_US)) == (
        1,
        retry_backoff.MIN_DELAY_US,
    )
    backoff.on_closed(0)
    assert (backoff.failures, backoff.delay_us(0)) == (0, retry_backoff.MIN_DELAY_US)
