"""Reset rates of idle connections by age class."""

from molereach.backends import idle_reuse


def test_resets_as_frequent_on_new_connections_do_not_limit_reuse() -> None:
    observations = idle_reuse.IdleReuse()
    for number in range(100):
        observations.record(0, reset=number % 5 == 0)
        observations.record(4, reset=number % 5 == 1)
    assert observations.is_reusable(29_000_000)
