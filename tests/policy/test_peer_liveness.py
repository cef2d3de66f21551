"""Liveness of peers, and whether each splits ceilings."""

from molereach.policy.peer_liveness import (
    PEER_SILENCE_US,
    SILENT_PEER_RETRY_US,
    SPLIT_ADVERTISEMENT_TTL_US,
    PeerLiveness,
)
from tests.helpers import SECOND_US

NOW = 100 * SECOND_US


def test_peer_without_a_reply_is_silent_and_sent_periodic_requests() -> None:
    liveness = PeerLiveness()
    assert not liveness.is_silent(NOW, 1)
    liveness.record_request(NOW, 1)
    assert not liveness.is_silent(NOW + PEER_SILENCE_US, 1)
    liveness.record_request(NOW + PEER_SILENCE_US, 1)
    assert liveness.is_silent(NOW + PEER_SILENCE_US + 1, 1) and not liveness.is_silent(
        NOW + PEER_SILENCE_US + 1, 2
    )
    assert not liveness.is_silent(NOW + PEER_SILENCE_US + SILENT_PEER_RETRY_US, 1)  # a request is due
    liveness.record_request(NOW + 2 * SECOND_US, 1)
    liveness.record_message(NOW + 2 * SECOND_US, 1)
    assert not liveness.is_silent(NOW + 2 * SECOND_US + 1, 1)


def test_peer_without_a_split_advertisement_splits_no_ceilings() -> None:
    liveness = PeerLiveness()
    assert liveness.splits_ceilings(1)  # it has spent nothing that it would have to report
    liveness.record_message(NOW, 1)
    assert not liveness.splits_ceilings(1)
    liveness.record_split_advertisement(NOW, 1)
    assert liveness.splits_ceilings(1)
    liveness.record_message(NOW + SPLIT_ADVERTISEMENT_TTL_US, 1)
    assert not liveness.splits_ceilings(1)  # restarted with an older version
