"""For how long kept connections are good."""

from molereach.backends import idle_reuse


def test_resets_that_meet_new_connections_alike_are_no_matter_of_age() -> None:
    seen = idle_reuse.IdleReuse()
    for number in range(100):
        seen.record(0, reset=number % 5 == 0)
        seen.record(4, reset=number % 5 == 1)
    assert seen.is_reusable(29_000_000)
