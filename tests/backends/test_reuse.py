"""For how long kept connections are good."""

from molereach.backends import reuse


def test_resets_that_meet_new_connections_alike_are_no_matter_of_age() -> None:
    seen = reuse.Reuse()
    for number in range(100):
        seen.note(0, reset=number % 5 == 0)
        seen.note(4, reset=number % 5 == 1)
    assert seen.good(29_000_000)
