"""Implementation of `LimitPolicy` (molereach/policy/interface) that combines ceilings and quotas. No I/O.

`Escrow` manages the ceilings and `PartitionQuota` the quotas; their messages share a budget per peer.
"""

from molereach.limits.borrowing import NEVER_DUE_US, RETRY_US
from molereach.limits.escrow import Escrow
from molereach.limits.message_budget import MessageBudget
from molereach.limits.partition_quota import PartitionQuota
from molereach.limits.settings import SECOND_US, LimitSettings
from molereach.limits.snapshots import customer_snapshots
from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import (
    CustomerKey,
    Join,
    JoinAcknowledged,
    Leave,
    LimitMessage,
    LoanGrant,
    LoanRequest,
    SpendingTotal,
)
from molereach.policy.interface.protocols import CustomerLimits, PeerMessage, ReachableQuota
from molereach.policy.interface.settings import Settings

INCARNATION_COUNT = 1 << 16  # gossip carries incarnations in 16 bits
MAX_TOTALS_PER_POLL = 2  # 100 per second over all owners
POLL_INTERVAL_US = 20_000
EVICTION_INTERVAL_US = SECOND_US


class Limits:
    """Ceilings and quotas of one proxy."""

    def __init__(self, settings: Settings, limit_settings: LimitSettings) -> None:
        self.proxy_index = settings.proxy_index
        self.proxy_count = settings.proxy_count
        self.incarnation = settings.seed % INCARNATION_COUNT
        self.settings = limit_settings
        self.escrow = Escrow(settings.proxy_index, settings.proxy_count, settings.plans, limit_settings)
        self.partition_quota = PartitionQuota(
            settings.proxy_index,
            settings.proxy_count,
            settings.plans,
            limit_settings,
            settings.gossip_messages_per_s,
        )
        self.start_us = -1
        self.next_join_us = -1
        self.next_poll_us = -1
        self.next_eviction_us = -1
        self.now_us = -1
        self.message_budget = MessageBudget()
        self.pending_replies: list[PeerMessage[LimitMessage]] = []

    def start(self, now_us: int) -> None:
        """Start the proxy; must be called once, before any other method."""
        self.start_us = now_us
        self.next_join_us = now_us
        self.next_poll_us = now_us
        self.next_eviction_us = now_us
        self.escrow.start(now_us)
        self.partition_quota.start_us = now_us

    # Ceilings

    def request_capacity(self, now_us: int, key: CustomerKey, units: float) -> None:
        """Register a request that will consume `units` of its customer's ceiling."""
        self.escrow.request_capacity(now_us, key, units)

    def has_capacity(self, now_us: int, key: CustomerKey, units: float) -> bool:
        """Whether the customer's ceiling permits forwarding `units` now."""
        return self.escrow.available_units(now_us, key, units) >= units

    def consume(self, now_us: int, key: CustomerKey, units: float) -> None:
        """Deduct the units of a forwarded request from the ceiling."""
        self.escrow.consume(now_us, key, units)

    # Quotas

    def reachable_quota(self, now_us: int, key: CustomerKey) -> ReachableQuota:
        """The quota's owner as seen from here, and the part that may be spent on this side of a partition."""
        return self.partition_quota.reachable_quota(now_us, key)

    def record_spending(self, now_us: int, key: CustomerKey, units: float, remaining_units: float) -> None:
        """Record units of the quota that were spent here, or refunded if negative."""
        self.partition_quota.record_spending(now_us, key, units, remaining_units)

    def apply_spending_total(self, now_us: int, sender: int, total: SpendingTotal) -> float:
        """Return the units to deduct from the customer's tokens at its owner for a peer's total."""
        return self.partition_quota.apply_spending_total(now_us, sender, total)

    def sends_totals(self, sender: int) -> bool:
        """Whether a peer sends totals; if so, the spending in its other messages is ignored."""
        return sender in self.partition_quota.contacts.incarnations

    # Messages

    def receive(self, now_us: int, message: GossipReceived) -> None:
        """Apply a peer's message, except for its spending totals."""
        self.now_us = now_us
        sender = message.sender
        incarnation = message.incarnation
        self.partition_quota.record_message(now_us, sender, incarnation, message.is_receiving)
        if incarnation is None:
            return
        for limit_message in message.messages:
            match limit_message:
                case LoanRequest():
                    self.escrow.handle_request(now_us, sender, incarnation, limit_message)
                case LoanGrant():
                    self.escrow.apply_grant(now_us, sender, limit_message)
                case Join():
                    self._acknowledge_join(now_us, sender, incarnation)
                case Leave():
                    self.partition_quota.contacts.record_leave(sender, incarnation)
                case JoinAcknowledged(joined_incarnation, total_count):
                    if joined_incarnation == self.incarnation:
                        self._record_acknowledgement(now_us, sender, total_count)

    def leave_messages(self) -> list[PeerMessage[LimitMessage]]:
        """Final messages to all peers, after which this proxy spends nothing."""
        return [PeerMessage(peer, Leave()) for peer in range(self.proxy_count) if peer != self.proxy_index]

    def receives_from(self, peer: int) -> bool:
        """Whether messages from the peer have arrived recently, as of the last event."""
        return self.partition_quota.contacts.receives_from(self.now_us, peer)

    def mark_sent(self, now_us: int, peer: int) -> None:
        """Record that a datagram has just been sent to a peer."""
        self.now_us = now_us
        self.partition_quota.contacts.sent_us[peer] = now_us

    def due_messages(self, now_us: int) -> list[PeerMessage[LimitMessage | None]]:
        """Messages to peers that are due; None stands for a heartbeat."""
        has_pending = self.pending_replies or self.escrow.outbox
        if not has_pending and now_us < min(self.next_poll_us, self.escrow.next_due_us):
            return []
        due: list[PeerMessage[LimitMessage | None]] = [*self.pending_replies]
        self.pending_replies = []
        due += self.escrow.due_messages(now_us)
        if now_us >= self.next_poll_us:
            self.next_poll_us = now_us + POLL_INTERVAL_US
            due += self.partition_quota.due_totals(now_us, MAX_TOTALS_PER_POLL)
            due += self._due_joins(now_us)
            due += [PeerMessage(peer, None) for peer in self.partition_quota.contacts.due_heartbeats(now_us)]
        if now_us >= self.next_eviction_us:
            self.next_eviction_us = now_us + EVICTION_INTERVAL_US
            self.escrow.evict_idle(now_us)
            self.partition_quota.evict_idle(now_us)
        # Messages beyond the budget are dropped: requests and joins are resent, and totals are cumulative.
        return [
            peer_message
            for peer_message in due
            if peer_message.message is None or self.message_budget.take(now_us, peer_message.peer)
        ]

    @property
    def next_due_us(self) -> int:
        """When `due_messages` must be called next if no event occurs."""
        if self.proxy_count == 1:
            return NEVER_DUE_US
        next_poll_us = self.next_poll_us
        if not self._has_messages_soon():
            next_poll_us += self.partition_quota.contacts.heartbeat_us // 2
        return min(self.escrow.next_due_us, next_poll_us)

    def snapshot(self, customer_checksum: int, now_us: int) -> list[CustomerLimits]:
        """The limits of a customer, given the checksum of its name; changes nothing."""
        return customer_snapshots(self.escrow, self.partition_quota, customer_checksum, now_us)

    def _acknowledge_join(self, now_us: int, peer: int, incarnation: int) -> None:
        self.escrow.drop_borrowed_from(now_us, peer)
        total_count = self.partition_quota.resend_totals(peer)
        self.pending_replies.append(PeerMessage(peer, JoinAcknowledged(incarnation, total_count)))

    def _record_acknowledgement(self, now_us: int, peer: int, total_count: int) -> None:
        self.escrow.record_acknowledgement(now_us, peer)
        if not total_count:
            self.partition_quota.contacts.record_no_spending(peer)

    def _due_joins(self, now_us: int) -> list[PeerMessage[LimitMessage]]:
        is_started = now_us - self.start_us > self.settings.startup_wait_us
        if is_started or now_us < self.next_join_us:
            return []
        self.next_join_us = now_us + RETRY_US
        return [
            PeerMessage(peer, Join())
            for peer in range(self.proxy_count)
            if peer != self.proxy_index and peer not in self.escrow.acknowledged_us
        ]

    def _has_messages_soon(self) -> bool:
        is_starting = self.next_poll_us - self.start_us <= self.settings.startup_wait_us
        return is_starting or self.partition_quota.totals.has_pending() or bool(self.pending_replies)
