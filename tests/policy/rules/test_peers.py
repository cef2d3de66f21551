"""What is known of a peer: silent once it answers no ask, and whose share of ceilings it keeps to."""

from molereach.policy.customers import SILENT_US
from molereach.policy.peer_liveness import ASK_AGAIN_US, MARKED_US, Peers
from tests.helpers import S

NOW = 100 * S


def test_peer_that_answers_no_ask_is_silent_and_asked_now_and_then() -> None:
    peers = Peers()
    assert not peers.is_silent(NOW, 1)
    peers.ask(NOW, 1)
    assert not peers.is_silent(NOW + SILENT_US, 1)
    peers.ask(NOW + SILENT_US, 1)
    assert peers.is_silent(NOW + SILENT_US + 1, 1) and not peers.is_silent(NOW + SILENT_US + 1, 2)
    assert not peers.is_silent(NOW + SILENT_US + ASK_AGAIN_US, 1)  # asked all the same
    peers.ask(NOW + 2 * S, 1)
    peers.hear(NOW + 2 * S, 1)
    assert not peers.is_silent(NOW + 2 * S + 1, 1)


def test_peer_that_speaks_and_does_not_say_so_keeps_its_whole_share() -> None:
    peers = Peers()
    assert peers.leaves(1)  # it has spent nothing that it had to tell
    peers.hear(NOW, 1)
    assert not peers.leaves(1)
    peers.marks_us[1] = NOW
    assert peers.leaves(1)
    peers.hear(NOW + MARKED_US, 1)
    assert not peers.leaves(1)  # an older version has taken its place
