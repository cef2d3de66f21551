"""The backoff before a peer is dialled again."""

from molereach.coordination.transport import retry_backoff
from molereach.coordination.transport.retry_backoff import RetryBackoff


def test_delays_double_up_to_the_maximum_and_jitter_shortens_them_within_bounds() -> None:
    late, early = RetryBackoff(lambda: 0.0), RetryBackoff(lambda: 0.999)
    waits = []
    for _ in range(8):
        late.on_failed(0)
        early.on_failed(0)
        waits.append(late.delay_us(0))
        assert retry_backoff.MIN_DELAY_US <= early.delay_us(0) <= late.delay_us(0)
    assert waits == [200_000, 400_000, 800_000, 1_600_000, 3_200_000, 5_000_000, 5_000_000, 5_000_000]
    assert (
        early.delay_us(0) < retry_backoff.MAX_DELAY_US * 0.51
        and early.delay_us(retry_backoff.MAX_DELAY_US) == 0
    )


def test_only_a_connection_that_lasted_resets_the_backoff() -> None:
    one = RetryBackoff(lambda: 0.0)
    for _ in range(3):
        one.on_opened(0)
        one.on_failed(retry_backoff.STABLE_AFTER_US - 1)
    assert one.failures == 3
    one.on_opened(0)
    one.on_failed(retry_backoff.STABLE_AFTER_US)
    assert (one.failures, one.delay_us(retry_backoff.STABLE_AFTER_US)) == (1, retry_backoff.MIN_DELAY_US)
    one.on_closed(0)
    assert (one.failures, one.delay_us(0)) == (0, retry_backoff.MIN_DELAY_US)
