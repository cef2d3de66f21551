"""Outbox of gossip messages: reports and requests to the owners of customers, and the owners' replies.

Messages are sent at once, except that those to one peer are spaced. A report without which the owner's bucket
is only slightly wrong is deferred, so that all spending of a customer in the meantime becomes one message.
"""

from collections.abc import Sequence

from molereach.policy.customers import Customers
from molereach.policy.interface.actions import SendGossip
from molereach.policy.interface.messages import (
    SPLIT_CEILING_PLAN_INDEX,
    CustomerKey,
    GossipMessage,
    LimitMessage,
)
from molereach.policy.interface.settings import Settings
from molereach.policy.peer_liveness import PeerLiveness
from molereach.policy.quota import REPLY_FRESH_US, CustomerAccount
from molereach.policy.time_units import NEVER_US, SECOND_US

SPLIT_ADVERTISEMENT_INTERVAL_US = 3 * SECOND_US  # between advertisements to one peer
MAX_SPACING_US = 80_000  # between messages to one peer
MAX_DEFERRAL_US = REPLY_FRESH_US // 2  # of a report; the owner's replies are used for twice as long


class GossipOutbox:
    """Messages to be sent, by peer, and deferred reports, by owner."""

    __slots__ = (
        "customers",
        "deferred",
        "deferred_since_us",
        "peer_liveness",
        "sent_at_us",
        "settings",
        "split_advertised_at_us",
        "waiting",
    )

    def __init__(self, settings: Settings, customers: Customers, peer_liveness: PeerLiveness) -> None:
        self.settings = settings
        self.customers = customers
        self.peer_liveness = peer_liveness
        self.waiting: dict[int, list[GossipMessage | LimitMessage]] = {}
        # Accounts with unreported spending, by owner
        self.deferred: dict[int, dict[CustomerKey, CustomerAccount]] = {}
        self.deferred_since_us: dict[int, int] = {}  # by owner, the oldest first
        self.sent_at_us: dict[int, int] = {}  # last time that messages were sent, by peer
        self.split_advertised_at_us: dict[int, int] = {}  # last advertisement, by peer

    def enqueue(
        self,
        peer: int,
        account: CustomerAccount,
        requested_units: float,
        is_within_quota: bool | None = None,
    ) -> None:
        """Enqueue a report or request to the owner, or the owner's reply.

        A reply grants units of the ceiling's reserve if it holds them and the request is within quota.
        """
        is_reply = account.owner == self.settings.proxy_index
        needs_grant = is_reply and requested_units > 0 and is_within_quota is not False
        is_granted = (
            needs_grant and account.plan.ceiling_rate > 0 and self.grant_ceiling(account, requested_units)
        )
        message = GossipMessage(
            *account.key,
            is_reply,
            account.demand if is_reply else account.unreported_demand,
            account.unreported_units,
            requested_units,
            account.tokens,
            is_granted,
            is_within_quota,
        )
        if peer != self.settings.proxy_index:
            self.waiting.setdefault(peer, []).append(message)
        account.unreported_demand = 0.0
        account.unreported_units = 0.0

    def report_spending(self, now_us: int, account: CustomerAccount) -> None:
        """Report spent local tokens to the owner, now or deferred."""
        owner = account.owner
        if owner == self.settings.proxy_index or not account.may_defer_report():
            self.enqueue(owner, account, 0.0)
            return
        self.deferred_since_us.setdefault(owner, now_us)
        self.deferred.setdefault(owner, {})[account.key] = account

    @property
    def due_us(self) -> int:
        """The time at which the next deferred reports are due."""
        return next(iter(self.deferred_since_us.values()), NEVER_US) + MAX_DEFERRAL_US

    def enqueue_deferred(self, now_us: int) -> None:
        """Enqueue the deferred reports that are due, without what has been reported since."""
        while now_us >= self.due_us:
            owner = next(iter(self.deferred_since_us))
            del self.deferred_since_us[owner]
            for account in self.deferred.pop(owner).values():
                local_demand = account.refill(now_us).local_demand
                account.unreported_demand = min(account.unreported_demand, local_demand)
                if account.unreported_demand or account.unreported_units:
                    self.enqueue(account.owner, account, 0.0)

    def grant_ceiling(self, account: CustomerAccount, units: float) -> bool:
        """At the owner: take units from the ceiling's reserve. Granted units that are not used are lost."""
        ceiling = account.ceiling
        first = account.key.set_first
        size = account.key.set_size
        members = ((first + offset) % self.settings.proxy_count for offset in range(size))
        ceiling.limit_reserve(sum(map(self.peer_liveness.splits_ceilings, members)))
        if ceiling.reserve_tokens < units or account.tokens < units:  # a grant beyond the quota would be lost
            return False
        ceiling.reserve_tokens -= units
        return True

    def take_due(self, now_us: int) -> Sequence[SendGossip]:
        """Remove and return the messages to be sent now.

        Messages to one peer are spaced so that all peers together use at most half of what a gateway can
        receive. In a large cluster, where that would delay them too much, the spacing is `MAX_SPACING_US`.
        """
        limits = self.customers.limits
        waiting = self.waiting
        self.enqueue_deferred(now_us)
        for peer, message in limits.due_messages(now_us) if limits else ():
            waiting.setdefault(peer, []).extend([message] if message else [])
        if not waiting:
            return ()
        rate = max(1, self.settings.gossip_messages_per_s)
        spacing_us = min(MAX_SPACING_US, 2 * SECOND_US * (self.settings.proxy_count - 1) / rate)
        due = [peer for peer in waiting if now_us - self.sent_at_us.get(peer, -SECOND_US) >= spacing_us]
        sent = []
        for peer in due:
            self.sent_at_us[peer] = now_us
            self.add_split_advertisement(now_us, peer)
            sent.append(SendGossip(peer, tuple(waiting.pop(peer))))
            if limits:
                limits.mark_sent(now_us, peer)
        return sent

    def add_split_advertisement(self, now_us: int, peer: int) -> None:
        """Advertise periodically to the peer that ceilings are split here; older versions do not."""
        if not self.customers.splits_ceilings():
            return
        if (
            now_us - self.split_advertised_at_us.get(peer, -SPLIT_ADVERTISEMENT_INTERVAL_US)
            >= SPLIT_ADVERTISEMENT_INTERVAL_US
        ):
            self.split_advertised_at_us[peer] = now_us
            self.waiting[peer].append(GossipMessage(0, SPLIT_CEILING_PLAN_INDEX, 0, 0))
