"""What the decisions consult on limits, `Limits` in molereach/policy/interface. A core, over the two others.

`Escrow` has the ceilings, `Reach` the quotas. Words of both go out within a budget for each peer.
"""

from molereach.limits.escrow import FULL_SHARE, RETRY_US, Escrow
from molereach.limits.partition_quota import PartitionQuota
from molereach.limits.settings import SECOND_US, LimitSettings
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
from molereach.policy.interface.protocols import CustomerLimits
from molereach.policy.interface.settings import Settings

INCARNATIONS = 1 << 16
MAX_TOTALS_PER_POLL = 2  # at each look: 100 a second, to all homes together
POLL_INTERVAL_US = 20_000  # between two looks at what is to be told
MAX_MESSAGES_PER_S, MAX_MESSAGE_BURST = 100.0, 24.0  # words to one peer; about ten go into a datagram
EVICTION_INTERVAL_US = SECOND_US


class Limits:
    """Limits of one front door; with several, each has one."""

    def __init__(self, settings: Settings, figures: LimitSettings) -> None:
        self.proxy_index, self.proxy_count = settings.proxy_index, settings.proxy_count
        self.incarnation = settings.seed % INCARNATIONS
        self.settings = figures
        self.escrow = Escrow(settings.proxy_index, settings.proxy_count, settings.plans, figures)
        self.partition_quota = PartitionQuota(
            settings.proxy_index,
            settings.proxy_count,
            settings.plans,
            figures,
            settings.gossip_messages_per_s,
        )
        self.start_us = self.next_join_us = self.next_poll_us = self.next_eviction_us = self.now_us = -1
        self.message_budgets: dict[
            int, tuple[float, int]
        ] = {}  # by peer: words that may go, and at what time
        self.pending_replies: list[tuple[int, LimitMessage]] = []

    def start(self, now_us: int) -> None:
        self.start_us = self.next_join_us = self.next_poll_us = self.next_eviction_us = now_us
        self.escrow.start(now_us)
        self.partition_quota.start_us = now_us

    # --- ceilings ---

    def request_capacity(self, now_us: int, key: CustomerKey, units: float) -> None:
        self.escrow.request_capacity(now_us, key, units)

    def has_capacity(self, now_us: int, key: CustomerKey, units: float) -> bool:
        return self.escrow.available_units(now_us, key, units) >= units

    def consume(self, now_us: int, key: CustomerKey, units: float) -> None:
        self.escrow.consume(now_us, key, units)

    # --- quotas ---

    def reachable_quota(self, now_us: int, key: CustomerKey) -> tuple[int, float, float]:
        return self.partition_quota.reachable_quota(now_us, key)

    def record_spending(self, now_us: int, key: CustomerKey, units: float, left: float) -> None:
        self.partition_quota.record_spending(now_us, key, units, left)

    def apply_spending_total(self, now_us: int, sender: int, total: SpendingTotal) -> float:
        return self.partition_quota.apply_spending_total(now_us, sender, total)

    def sends_totals(self, sender: int) -> bool:
        return sender in self.partition_quota.incarnations

    # --- words ---

    def receive(self, now_us: int, message: GossipReceived) -> None:
        sender, generation = message.sender, message.incarnation
        self.now_us = now_us
        self.partition_quota.record_contact(now_us, sender, generation, message.is_receiving)
        if generation is None:
            return
        for word in message.messages:
            match word:
                case LoanRequest():
                    self.escrow.handle_request(now_us, sender, generation, word)
                case LoanGrant():
                    self.escrow.apply_grant(now_us, sender, word)
                case Join():
                    self.escrow.drop_borrowed_from(now_us, sender)
                    self.pending_replies.append(
                        (sender, JoinAcknowledged(generation, self.partition_quota.resend_totals(sender)))
                    )
                case Leave():
                    self.partition_quota.record_leave(now_us, sender, generation)
                case JoinAcknowledged(wanted, totals) if wanted == self.incarnation:
                    self.escrow.record_acknowledgement(now_us, sender)
                    if not totals:
                        self.partition_quota.record_no_spending(sender)

    def leave_messages(self) -> list[tuple[int, LimitMessage]]:
        """Nothing is spent here from now on: the last words, to all peers."""
        return [(peer, Leave()) for peer in range(self.proxy_count) if peer != self.proxy_index]

    def receives_from(self, peer: int) -> bool:
        """Whether the peer has been heard of late, as of the last event."""
        return self.partition_quota.receives_from(self.now_us, peer)

    def mark_sent(self, now_us: int, peer: int) -> None:
        self.now_us = now_us
        self.partition_quota.sent_us[peer] = now_us

    def due_messages(self, now_us: int) -> list[tuple[int, LimitMessage | None]]:
        """Words to peers by now; None is a beat, which needs no word."""
        waiting = self.pending_replies or self.escrow.outbox
        if not waiting and now_us < min(self.next_poll_us, self.escrow.next_due_us):
            return []
        found: list[tuple[int, LimitMessage | None]] = [*self.pending_replies]
        self.pending_replies = []
        found += self.escrow.due_messages(now_us)
        if now_us >= self.next_poll_us:
            self.next_poll_us = now_us + POLL_INTERVAL_US
            found += self.partition_quota.due_totals(now_us, MAX_TOTALS_PER_POLL)
            found += self.due_joins(now_us)
            found += [(peer, None) for peer in self.partition_quota.due_heartbeats(now_us)]
        if now_us >= self.next_eviction_us:
            self.next_eviction_us = now_us + EVICTION_INTERVAL_US
            self.escrow.evict_idle(now_us)
            self.partition_quota.evict_idle(now_us)
        return [each for each in found if each[1] is None or self.take_from_budget(now_us, each[0])]

    def due_joins(self, now_us: int) -> list[tuple[int, LimitMessage]]:
        over = now_us - self.start_us > self.settings.startup_wait_us
        if over or now_us < self.next_join_us:
            return []
        self.next_join_us = now_us + RETRY_US
        return [
            (peer, Join())
            for peer in range(self.proxy_count)
            if peer != self.proxy_index and peer not in self.escrow.acknowledged_us
        ]

    def take_from_budget(self, now_us: int, peer: int) -> bool:
        """Words past the budget are left out: asks and hellos come again, totals grow."""
        left, at = self.message_budgets.get(peer, (MAX_MESSAGE_BURST, now_us))
        left = min(MAX_MESSAGE_BURST, left + MAX_MESSAGES_PER_S * (now_us - at) / SECOND_US)
        self.message_budgets[peer] = (left - (left >= 1), now_us)
        return left >= 1

    @property
    def next_due_us(self) -> int:
        """When something is to be told without an event: the next look, as long as there is anybody."""
        if self.proxy_count == 1:
            return 1 << 62
        look_us = (
            self.next_poll_us
            if self.has_messages_soon
            else self.next_poll_us + self.partition_quota.heartbeat_us // 2
        )
        return min(self.escrow.next_due_us, look_us)

    @property
    def has_messages_soon(self) -> bool:
        quiet = self.next_poll_us - self.start_us <= self.settings.startup_wait_us
        return bool(
            self.partition_quota.unsent_totals
            or self.partition_quota.repeat_at_us
            or self.pending_replies
            or quiet
        )

    # --- for those who look ---

    def snapshot(self, customer: int, now_us: int) -> list[CustomerLimits]:
        """What is known of a customer, by the checksum of its name; it only reads."""
        keys = {
            key: None
            for known in (
                self.escrow.accounts,
                self.partition_quota.local_spending,
                self.partition_quota.owner_states,
            )
            for key in known
            if key[0] == customer
        }
        return [self.customer_snapshot(key, now_us) for key in keys]

    def customer_snapshot(self, key: CustomerKey, now_us: int) -> CustomerLimits:
        account, mine = self.escrow.accounts.get(key), self.partition_quota.local_spending.get(key)
        home = self.partition_quota.owner_states.get(key)
        spent, apart = mine.spent_units if mine else 0.0, sorted(home.separated_since_us) if home else []
        if account is None:
            return CustomerLimits(key[1], 0.0, 0.0, {}, {}, 0.0, 0.0, spent, apart)
        lent = {
            peer: part / FULL_SHARE
            for peer, loan in account.loans.items()
            if (part := loan.lent_share(now_us))
        }
        debts = {peer: debt for peer, debt in account.borrowed.items() if debt.usable_share(now_us)}
        ages = [now_us - debt.requested_us for debt in debts.values()]
        return CustomerLimits(
            key[1],
            account.usable_share(now_us) / FULL_SHARE,
            account.tokens,
            lent,
            {peer: debt.granted_share / FULL_SHARE for peer, debt in debts.items()},
            round(max(ages, default=0) / SECOND_US, 3),
            account.consumed_units,
            spent,
            apart,
        )
