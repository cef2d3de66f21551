"""Liveness of the other gateways: whether each answers, and whether it splits ceilings.

A peer that has not answered a request for long, as one that restarts, is not waited for: that would cost the
latency objective. It is sent a request now and then, which shows that it is alive again.
"""

from molereach.policy.time_units import SECOND_US

PEER_SILENCE_US = 500_000  # a peer that has not answered for so long is silent
SILENT_PEER_RETRY_US = 300_000  # how often a silent peer is sent a request
SPLIT_MARK_TTL_US = 10 * SECOND_US  # for how long a peer's message that it splits ceilings counts


class PeerLiveness:
    """Times by peer, in microseconds."""

    __slots__ = ("received_at_us", "requested_at_us", "split_marked_at_us", "unanswered_since_us")

    def __init__(self) -> None:
        self.unanswered_since_us: dict[int, int] = {}  # the first request without a message since
        self.requested_at_us: dict[int, int] = {}  # the last request
        self.received_at_us: dict[int, int] = {}  # the last message
        self.split_marked_at_us: dict[int, int] = {}  # the last message that it splits ceilings

    def record_request(self, now_us: int, peer: int) -> None:
        """A request is sent to the peer."""
        self.unanswered_since_us.setdefault(peer, now_us)
        self.requested_at_us[peer] = now_us

    def record_message(self, now_us: int, peer: int) -> None:
        """A message of the peer has come."""
        self.unanswered_since_us.pop(peer, None)
        self.received_at_us[peer] = now_us

    def record_split_mark(self, now_us: int, peer: int) -> None:
        """The peer says that it splits ceilings."""
        self.split_marked_at_us[peer] = now_us

    def splits_ceilings(self, peer: int) -> bool:
        """Whether the peer keeps to the split fraction of ceilings, as far as is known.

        An older version sends messages and does not say so. One that has not been heard of since this
        gateway's start has spent nothing that it had to report.
        """
        received_at_us = self.received_at_us.get(peer)
        if received_at_us is None:
            return True
        marked_at_us = self.split_marked_at_us.get(peer)
        return marked_at_us is not None and received_at_us - marked_at_us < SPLIT_MARK_TTL_US

    def is_silent(self, now_us: int, peer: int) -> bool:
        """Whether the peer is not to be sent a request now, as it has not answered for long."""
        if now_us - self.unanswered_since_us.get(peer, now_us) <= PEER_SILENCE_US:
            return False
        return now_us - self.requested_at_us.get(peer, 0) < SILENT_PEER_RETRY_US
