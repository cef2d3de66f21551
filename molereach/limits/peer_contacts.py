"""Which peers can be reached: contacts, heartbeats and incarnations, as one proxy sees them.

A peer counts as silent after `MISSED_HEARTBEATS` heartbeats without a message that shows it receives from
here as well: a link that works one way is a partition.
"""

from molereach.limits.settings import SECOND_US, LimitSettings

MISSED_HEARTBEATS = 4  # after which a peer counts as silent
HEARTBEAT_FRACTION = 0.3  # of the messages that a proxy takes in, at most, are heartbeats
LONG_AGO_US = -1 << 60


class PeerContacts:
    """When each peer was in contact, and which incarnations of peers live or have left."""

    def __init__(
        self, proxy_index: int, proxy_count: int, settings: LimitSettings, max_received_per_s: float
    ) -> None:
        """Heartbeats are spaced so that a peer may receive `max_received_per_s` messages, 0 for no bound."""
        self.proxy_index = proxy_index
        self.proxy_count = proxy_count
        min_spacing_us = 0.0
        if max_received_per_s:
            min_spacing_us = SECOND_US * (proxy_count - 1) / (HEARTBEAT_FRACTION * max_received_per_s)
        self.heartbeat_us = max(settings.heartbeat_us, round(min_spacing_us))
        self.failure_timeout_us = MISSED_HEARTBEATS * self.heartbeat_us
        self.received_us: dict[int, int] = {}  # the last message of any kind
        self.mutual_contact_us: dict[int, int] = {}  # the last message that showed that it receives from here
        self.reconnected_us: dict[int, int] = {}  # since when a peer has not been silent
        self.sent_us: dict[int, int] = {}
        self.incarnations: dict[int, int] = {}  # of the peers that send totals
        self.departed_incarnations: dict[int, int] = {}  # of the peers that have left: they spend nothing

    def is_silent(self, now_us: int, peer: int) -> bool:
        """Whether the peer may spend without this proxy learning of it."""
        return now_us - self.mutual_contact_us.get(peer, LONG_AGO_US) > self.failure_timeout_us

    def is_present(self, now_us: int, peer: int) -> bool:
        """Whether the peer is neither silent nor has left."""
        if peer in self.departed_incarnations:
            return False
        return now_us - self.mutual_contact_us.get(peer, LONG_AGO_US) <= self.failure_timeout_us

    def receives_from(self, now_us: int, peer: int) -> bool:
        """Whether messages of the peer have come of late, of which it is to be notified."""
        return now_us - self.received_us.get(peer, LONG_AGO_US) <= self.failure_timeout_us

    def record_message(self, now_us: int, peer: int, incarnation: int | None, is_mutual: bool) -> bool:
        """Record a message of a peer; whether the peer was silent and is so no more.

        Where it is not `is_mutual`, the peer does not receive from here.
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
        """The incarnation of a peer spends nothing any more, whatever message of it arrives late."""
        self.departed_incarnations[peer] = incarnation
        self.mutual_contact_us[peer] = LONG_AGO_US

    def record_no_spending(self, peer: int) -> None:
        """The peer has spent of no customer here: its local quotas join at once."""
        self.reconnected_us[peer] = LONG_AGO_US

    def due_heartbeats(self, now_us: int) -> list[int]:
        """Peers to which nothing was sent for the time between heartbeats."""
        return [
            peer
            for peer in range(self.proxy_count)
            if peer != self.proxy_index and now_us - self.sent_us.get(peer, LONG_AGO_US) >= self.heartbeat_us
        ]
