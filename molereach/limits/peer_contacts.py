"""Failure detector of one proxy: contacts, heartbeats and incarnations of its peers.

A peer counts as silent after `MISSED_HEARTBEATS` heartbeat intervals without a message that confirms that it
also receives from here: a link that works in one direction only is a partition.
"""

from molereach.limits.settings import SECOND_US, LimitSettings

MISSED_HEARTBEATS = 4  # after which a peer counts as silent
HEARTBEAT_FRACTION = 0.3  # maximum fraction of received messages that are heartbeats
LONG_AGO_US = -1 << 60


class PeerContacts:
    """Times of the last contact with each peer, and which incarnations are present or have left."""

    def __init__(
        self, proxy_index: int, proxy_count: int, settings: LimitSettings, max_received_per_s: float
    ) -> None:
        """`max_received_per_s` limits the messages to each proxy, and so the heartbeats; 0 means no limit."""
        self.proxy_index = proxy_index
        self.proxy_count = proxy_count
        min_spacing_us = 0.0
        if max_received_per_s:
            min_spacing_us = SECOND_US * (proxy_count - 1) / (HEARTBEAT_FRACTION * max_received_per_s)
        self.heartbeat_us = max(settings.heartbeat_us, round(min_spacing_us))
        self.failure_timeout_us = MISSED_HEARTBEATS * self.heartbeat_us
        self.received_us: dict[int, int] = {}  # the last message of any kind
        self.mutual_contact_us: dict[int, int] = {}  # the last message that confirms receipt from here
        self.reconnected_us: dict[int, int] = {}  # when a peer last stopped being silent
        self.sent_us: dict[int, int] = {}
        self.incarnations: dict[int, int] = {}  # of peers that send totals
        self.departed_incarnations: dict[int, int] = {}  # of peers that have left and spend nothing

    def is_silent(self, now_us: int, peer: int) -> bool:
        """Whether the peer may spend units without this proxy being informed."""
        return now_us - self.mutual_contact_us.get(peer, LONG_AGO_US) > self.failure_timeout_us

    def is_present(self, now_us: int, peer: int) -> bool:
        """Whether the peer is not silent and has not left."""
        if peer in self.departed_incarnations:
            return False
        return now_us - self.mutual_contact_us.get(peer, LONG_AGO_US) <= self.failure_timeout_us

    def receives_from(self, now_us: int, peer: int) -> bool:
        """Whether messages from the peer have arrived recently, which it must be notified of."""
        return now_us - self.received_us.get(peer, LONG_AGO_US) <= self.failure_timeout_us

    def record_message(self, now_us: int, peer: int, incarnation: int | None, is_mutual: bool) -> bool:
        """Record a message from a peer, and return whether the peer stops being silent.

        If `is_mutual` is False, the peer does not receive from here.
        """
        self.received_us[peer] = now_us
        if not is_mutual:
            return False
        was_silent = self.is_silent(now_us, peer)
        if was_silent:
            self.reconnected_us[peer] = now_us
        self.mutual_contact_us[peer] = now_us
        if incarnation is not None:
            self.incarnations[peer] = incarnation
            if self.departed_incarnations.get(peer, incarnation) != incarnation:
                del self.departed_incarnations[peer]
        return was_silent

    def record_leave(self, peer: int, incarnation: int) -> None:
        """Record that a peer's incarnation spends nothing from now on, even if a late message arrives."""
        self.departed_incarnations[peer] = incarnation
        self.mutual_contact_us[peer] = LONG_AGO_US

    def record_no_spending(self, peer: int) -> None:
        """Record that the peer spent no quota owned here, so its local quotas join without delay."""
        self.reconnected_us[peer] = LONG_AGO_US

    def due_heartbeats(self, now_us: int) -> list[int]:
        """Peers to which nothing was sent for a heartbeat interval."""
        return [
            peer
            for peer in range(self.proxy_count)
            if peer != self.proxy_index and now_us - self.sent_us.get(peer, LONG_AGO_US) >= self.heartbeat_us
        ]
