"""Liveness of peers, and whether they split ceilings."""

from molereach.policy.peer_liveness import (
    PEER_SILENCE_US,
    SILENT_PEER_RETRY_US,
    SPLIT_ADVERTISEMENT_TTL_US,
    PeerLiveness,
)
from tests.helpers import SECOND_US

NOW = 100 * SECOND_US


def test_peer_without_a_reply_is_silent_and_sent_a_request_now_and_then() -> None:
    peers = PeerLiveness()
    assert not peers.is_silent(NOW, 1)
    peers.record_request(NOW, 1)
    assert not peers.is_silent(NOW + PEER_SILENCE_US, 1)
    peers.record_request(NOW + PEER_SILENCE_US, 1)
    assert peers.is_silent(NOW + PEER_SILENCE_US + 1, 1) and not peers.is_silent(NOW + PEER_SILENCE_US + 1, 2)
    assert not peers.is_silent(NOW + PEER_SILENCE_US + SILENT_PEER_RETRY_US, 1)  # asked all the same
    peers.record_request(NOW + 2 * SECOND_US, 1)
    peers.record_message(NOW + 2 * SECOND_US, 1)
    assert not peers.is_silent(NOW + 2 * SECOND_US + 1, 1)


def test_peer_that_sends_no_mark_splits_no_ceilings() -> None:
    peers = PeerLiveness()
    assert peers.splits_ceilings(1)  # it has spent nothing that it had to tell
    peers.record_message(NOW, 1)
    assert not peers.splits_ceilings(1)
    peers.record_split_advertisement(NOW, 1)
    assert peers.splits_ceilings(1)
    peers.record_message(NOW + SPLIT_ADVERTISEMENT_TTL_US, 1)
    assert not peers.splits_ceilings(1)  # an older version has taken its place
