"""The outbox of gossip messages: reports and requests to the owners of customers, and the owners' replies.

Messages leave at once, but spaced where the set is small. A report that leaves the owner wrong by little is
deferred, so that all of a customer's spending meanwhile is one message.
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

SPLIT_MARK_INTERVAL_US = 3 * SECOND_US  # how often a peer is told that ceilings are split here
MAX_SPACING_US = 80_000  # between messages to one peer
MAX_DEFERRAL_US = REPLY_FRESH_US // 2  # of a report: the owner's own replies hold for twice as long


class GossipOutbox:
    """The messages that wait to be sent, by peer."""

    __slots__ = (
        "customers",
        "deferred",
        "deferred_since_us",
        "peers",
        "sent_at_us",
        "settings",
        "split_marked_at_us",
        "waiting",
    )

    def __init__(self, settings: Settings, customers: Customers, peers: PeerLiveness) -> None:
        self.settings = settings
        self.customers = customers
        self.peers = peers
        self.waiting: dict[int, list[GossipMessage | LimitMessage]] = {}
        self.deferred: dict[
            int, dict[CustomerKey, CustomerAccount]
        ] = {}  # with unreported spending, by owner
        self.deferred_since_us: dict[int, int] = {}  # by owner, the oldest first
        self.sent_at_us: dict[int, int] = {}  # the last messages to each peer
        self.split_marked_at_us: dict[int, int] = {}  # when each peer was told that ceilings are split here

    def enqueue(
        self,
        peer: int,
        account: CustomerAccount,
        requested_units: float,
        is_within_quota: bool | None = None,
    ) -> None:
        """A report or request to the owner, or the owner's reply with what it knows.

        A reply grants units of the ceiling's reserve where the request is within quota and they are there.
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
        """Local tokens were spent: report them now, or deferred where the owner can do without."""
        owner = account.owner
        if owner == self.settings.proxy_index or not account.may_defer_report():
            self.enqueue(owner, account, 0.0)
            return
        self.deferred_since_us.setdefault(owner, now_us)
        self.deferred.setdefault(owner, {})[account.key] = account

    @property
    def due_us(self) -> int:
        """When deferred reports are due."""
        return next(iter(self.deferred_since_us.values()), NEVER_US) + MAX_DEFERRAL_US

    def enqueue_deferred(self, now_us: int) -> None:
        """Enqueue the deferred reports that are due, less what the owner has been told of since."""
        while now_us >= self.due_us:
            owner = next(iter(self.deferred_since_us))
            del self.deferred_since_us[owner]
            for account in self.deferred.pop(owner).values():
                local_demand = account.refill(now_us).local_demand
                account.unreported_demand = min(account.unreported_demand, local_demand)
                if account.unreported_demand or account.unreported_units:
                    self.enqueue(account.owner, account, 0.0)

    def grant_ceiling(self, account: CustomerAccount, units: float) -> bool:
        """At the owner: take units of the ceiling's reserve. Those that are not used are lost."""
        ceiling = account.ceiling
        first = account.key.set_first
        size = account.key.set_size
        members = ((first + offset) % self.settings.proxy_count for offset in range(size))
        ceiling.limit_reserve(sum(map(self.peers.splits_ceilings, members)))
        if ceiling.reserve_tokens < units or account.tokens < units:  # what the quota rejects would be lost
            return False
        ceiling.reserve_tokens -= units
        return True

    def take_due(self, now_us: int) -> Sequence[SendGossip]:
        """The messages to be sent now.

        They are spaced in a small set, so that all peers together take half of what a gateway receives.
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
            self.add_split_mark(now_us, peer)
            sent.append(SendGossip(peer, tuple(waiting.pop(peer))))
            if limits:
                limits.mark_sent(now_us, peer)
        return sent

    def add_split_mark(self, now_us: int, peer: int) -> None:
        """Tell the peer now and then that ceilings are split here; older versions do not."""
        if not self.customers.splits_ceilings():
            return
        if now_us - self.split_marked_at_us.get(peer, -SPLIT_MARK_INTERVAL_US) >= SPLIT_MARK_INTERVAL_US:
            self.split_marked_at_us[peer] = now_us
            self.waiting[peer].append(GossipMessage(0, SPLIT_CEILING_PLAN_INDEX, 0, 0))
