"""The fraction of a quota that may be spent on this side of a network partition. No I/O.

One member of a customer's set of n proxies owns its quota. During a partition the quota is split: the owner
keeps k/n of burst and rate for the k members that it reaches, and each of the others has 1/n, its local
quota. While all members reach each other, the owner has the whole quota. docs/design/limits.md states the
error bound.
"""

from collections import OrderedDict
from collections.abc import Sequence

from molereach.limits.peer_contacts import PeerContacts
from molereach.limits.settings import MAX_EVICTIONS, SECOND_US, LimitSettings
from molereach.limits.spending_totals import TOTAL_REPEAT_US, TOTAL_TRANSMISSIONS, SpendingTotals
from molereach.policy.interface.messages import CustomerKey, SpendingTotal
from molereach.policy.interface.protocols import PeerMessage, ReachableQuota
from molereach.policy.interface.settings import Plan

# A reconnected peer that sends no total of a customer within this time has spent nothing of its quota.
JOIN_DELAY_US = TOTAL_TRANSMISSIONS * TOTAL_REPEAT_US
MIN_RETENTION_US = 10 * SECOND_US  # of the state of a customer that sends no requests
MAX_OWNER_STATES = 200_000  # limit for states created by peers' messages
UNKNOWN_INCARNATION = -1  # of a peer that has sent no total


class OwnerState:
    """State of the other members of a customer's set, as known to the owner of its quota."""

    __slots__ = ("last_totals", "separated_since_us", "used_us")

    def __init__(self, separated_since_us: dict[int, int], now_us: int) -> None:
        self.separated_since_us = separated_since_us  # members whose local quotas are not in its tokens
        self.used_us = now_us
        self.last_totals: dict[int, tuple[int, float]] = {}  # by member: incarnation and spent units


class PartitionQuota:
    """The quotas of all customers at one proxy: their owners, and the fraction that may be spent here."""

    def __init__(
        self,
        proxy_index: int,
        proxy_count: int,
        plans: Sequence[Plan],
        settings: LimitSettings,
        max_received_per_s: float,
    ) -> None:
        """Create the quotas of a proxy; `max_received_per_s` limits the heartbeats that it receives."""
        self.proxy_index = proxy_index
        self.proxy_count = proxy_count
        self.plans = plans
        self.start_us = 0
        self.contacts = PeerContacts(proxy_index, proxy_count, settings, max_received_per_s)
        self.totals = SpendingTotals(plans)
        self.owner_states: OrderedDict[CustomerKey, OwnerState] = OrderedDict()  # least recently used first
        fill_times_s = [plan.quota_burst / plan.quota_rate for plan in plans if plan.quota_rate]
        self.retention_us = max(
            [MIN_RETENTION_US, *(round(2 * SECOND_US * seconds) for seconds in fill_times_s)]
        )

    # Peers

    def record_message(self, now_us: int, peer: int, incarnation: int | None, is_mutual: bool = True) -> None:
        """Record a message from a peer; one that was silent is sent the totals of the customers it owns.

        If `is_mutual` is False, the peer does not receive from here.
        """
        if self.contacts.record_message(now_us, peer, incarnation, is_mutual):
            self.resend_totals(peer)

    def resend_totals(self, peer: int) -> int:
        """Schedule the totals of all customers that a peer owns, and return their number."""
        keys = [key for key in self.totals.entries if self.owner(key) == peer]
        self.totals.resend(keys)
        return len(keys)

    # Owners

    def owner(self, key: CustomerKey) -> int:
        """The owner of a customer's quota while all members reach each other."""
        checksum, _, set_first, set_size = key
        return (set_first + checksum % set_size) % self.proxy_count

    def acting_owner(self, now_us: int, key: CustomerKey) -> int:
        """The owner as seen from here: the first present member, starting from the regular owner."""
        checksum, _, set_first, set_size = key
        start = checksum % set_size
        for number in range(start, start + set_size):
            member = (set_first + number % set_size) % self.proxy_count
            if member == self.proxy_index or self.contacts.is_present(now_us, member):
                return member
        return self.proxy_index

    def reachable_quota(self, now_us: int, key: CustomerKey) -> ReachableQuota:
        """The acting owner, the quota's fraction on this side of a partition, and the units that joined."""
        _, plan_index, _, set_size = key
        plan = self.plans[plan_index]
        if set_size == 1 or not plan.quota_rate:
            return ReachableQuota(self.owner(key), 1.0, 0.0)
        owner = self.acting_owner(now_us, key)
        if owner != self.proxy_index:
            return ReachableQuota(owner, 1.0, 0.0)
        state = self._owner_state(now_us, key)
        joined_units = self._update_members(now_us, key, state)
        fraction = 1 - len(state.separated_since_us) / set_size
        return ReachableQuota(owner, fraction, joined_units)

    def _update_members(self, now_us: int, key: CustomerKey, state: OwnerState) -> float:
        """Separate silent members, join the others again and return the units of the joined local quotas."""
        _, plan_index, _, set_size = key
        local_burst = self.plans[plan_index].quota_burst / set_size
        separated = state.separated_since_us
        joined_units = 0.0
        for peer in self._other_members(key):
            if peer in self.contacts.departed_incarnations:
                if separated.pop(peer, None) is not None:
                    joined_units += local_burst
            elif self.contacts.is_silent(now_us, peer):
                separated.setdefault(peer, self.contacts.mutual_contact_us.get(peer, self.start_us))
            elif peer in separated and now_us - self.contacts.reconnected_us[peer] > JOIN_DELAY_US:
                # The peer had time to send a total of this customer and sent none.
                del separated[peer]
                joined_units += local_burst
        return joined_units

    def _other_members(self, key: CustomerKey) -> list[int]:
        _, _, set_first, set_size = key
        return [
            member
            for number in range(set_size)
            if (member := (set_first + number) % self.proxy_count) != self.proxy_index
        ]

    def _owner_state(self, now_us: int, key: CustomerKey) -> OwnerState:
        """Return the state of a customer that this proxy owns, and mark it as most recently used."""
        state = self.owner_states.pop(key, None)
        if state is None:
            state = OwnerState({}, now_us)
            if now_us - self.start_us <= JOIN_DELAY_US + self.contacts.failure_timeout_us:
                # Shortly after a start, the spending of the other members is unknown.
                state.separated_since_us = dict.fromkeys(self._other_members(key), self.start_us)
        self.owner_states[key] = state
        state.used_us = now_us
        return state

    # Spending

    def record_spending(self, now_us: int, key: CustomerKey, units: float, remaining_units: float) -> None:
        """Record units spent here of a quota that another proxy owns, and what remains of the local quota."""
        if self.acting_owner(now_us, key) != self.proxy_index:
            self.totals.record(now_us, key, units, remaining_units)

    def due_totals(self, now_us: int, max_totals: int) -> list[PeerMessage[SpendingTotal]]:
        """Return the totals to send to their owners now, at most `max_totals`."""
        return [
            PeerMessage(self.acting_owner(now_us, total.key), total)
            for total in self.totals.due(now_us, max_totals)
        ]

    def apply_spending_total(self, now_us: int, sender: int, total: SpendingTotal) -> float:
        """Return the units that a member's total deducts from the customer's tokens; negative adds tokens.

        When a separated member joins, the remainder of its local quota is added and its excess spending is
        deducted. A total that is older than the last one has no effect.
        """
        plan = self.plans[total.key[1]]
        if not self._accepts_total(now_us, total.key):
            return 0.0
        state = self._owner_state(now_us, total.key)
        incarnation = self.contacts.incarnations.get(sender)
        last_incarnation, last_spent_units = state.last_totals.get(sender, (UNKNOWN_INCARNATION, 0.0))
        is_same_incarnation = last_incarnation == incarnation
        new_units = total.spent_units - last_spent_units if is_same_incarnation else total.spent_units
        if is_same_incarnation and new_units < 0:
            return 0.0
        state.last_totals[sender] = (
            UNKNOWN_INCARNATION if incarnation is None else incarnation,
            total.spent_units,
        )
        local_burst = plan.quota_burst / total.key[3]
        remaining_units = max(0.0, min(total.remaining_units, local_burst))
        separated_us = state.separated_since_us.pop(sender, None)
        if separated_us is not None:
            if not is_same_incarnation:
                return -remaining_units
            local_rate = plan.quota_rate / total.key[3]
            entitled_units = local_burst + local_rate * (now_us - separated_us) / SECOND_US
            return max(0.0, new_units + remaining_units - entitled_units) - remaining_units
        if is_same_incarnation or last_incarnation != UNKNOWN_INCARNATION:
            return new_units
        # The state of this customer was evicted, so the total may include spending that was deducted before.
        # Only what its local quota lacks is deducted.
        return local_burst - remaining_units

    def _accepts_total(self, now_us: int, key: CustomerKey) -> bool:
        """Whether this proxy is the acting owner and holds, or may create, a state of the customer."""
        if self.acting_owner(now_us, key) != self.proxy_index or not self.plans[key[1]].quota_rate:
            return False
        return key in self.owner_states or len(self.owner_states) < MAX_OWNER_STATES

    def evict_idle(self, now_us: int) -> None:
        """Remove up to `MAX_EVICTIONS` customers that have been idle long enough for a full quota."""
        self.totals.evict_idle(now_us, self.retention_us)
        for _ in range(min(MAX_EVICTIONS, len(self.owner_states))):
            key, oldest = next(iter(self.owner_states.items()))
            if now_us - oldest.used_us <= self.retention_us:
                return
            del self.owner_states[key]
