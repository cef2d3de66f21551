"""Liveness of the other gateways: whether each one answers, and whether it splits ceilings.

A peer that leaves requests unanswered, for example while it restarts, is treated as silent: waiting for it
would exceed the latency objective. It is still sent a request from time to time to detect its return.
"""

from molereach.policy.time_units import SECOND_US

PEER_SILENCE_US = 500_000  # a peer that has not answered for longer is silent
SILENT_PEER_RETRY_US = 300_000  # interval between requests to a silent peer
SPLIT_ADVERTISEMENT_TTL_US = 10 * SECOND_US  # how long a peer's advertisement that it splits ceilings holds


class PeerLiveness:
    """Times of requests and messages by peer, in microseconds."""

    __slots__ = ("received_at_us", "requested_at_us", "split_advertised_at_us", "unanswered_since_us")

    def __init__(self) -> None:
        self.unanswered_since_us: dict[int, int] = {}  # the first request since its last message
        self.requested_at_us: dict[int, int] = {}  # the last request to it
        self.received_at_us: dict[int, int] = {}  # its last message
        self.split_advertised_at_us: dict[int, int] = {}  # its last split advertisement

    def record_request(self, now_us: int, peer: int) -> None:
        """Record that a request is sent to the peer."""
        self.unanswered_since_us.setdefault(peer, now_us)
        self.requested_at_us[peer] = now_us

    def record_message(self, now_us: int, peer: int) -> None:
        """Record a message from the peer."""
        self.unanswered_since_us.pop(peer, None)
        self.received_at_us[peer] = now_us

    def record_split_advertisement(self, now_us: int, peer: int) -> None:
        """Record that the peer advertised that it splits ceilings."""
        self.split_advertised_at_us[peer] = now_us

    def splits_ceilings(self, peer: int) -> bool:
        """Whether the peer uses only the split fraction of ceilings, as far as is known.

        Older versions send messages but no advertisement. A peer that has sent nothing since this gateway
        started has not spent anything that it would have to report, so it counts as splitting.
        """
        received_at_us = self.received_at_us.get(peer)
        if received_at_us is None:
            return True
        advertised_at_us = self.split_advertised_at_us.get(peer)
        return advertised_at_us is not None and received_at_us - advertised_at_us < SPLIT_ADVERTISEMENT_TTL_US

    def is_silent(self, now_us: int, peer: int) -> bool:
        """Whether the peer has been silent for too long to be sent a request now."""
        if now_us - self.unanswered_since_us.get(peer, now_us) <= PEER_SILENCE_US:
            return False
        return now_us - self.requested_at_us.get(peer, 0) < SILENT_PEER_RETRY_US
