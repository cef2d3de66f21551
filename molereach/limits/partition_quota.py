"""What fraction of a quota may be spent here while proxies are cut off from each other. A core.

A customer's quota is kept by the owner in its set. When the set falls apart, the quota is split: the owner
goes on with k/n of burst and rate for the k members that it reaches, each of the others with 1/n, its local
quota. While all reach each other, it changes nothing. docs/design/limits.md states the error.
"""

from collections.abc import Sequence

from molereach.limits.peer_contacts import PeerContacts
from molereach.limits.settings import SECOND_US, LimitSettings
from molereach.limits.spending_totals import TOTAL_REPEAT_US, TOTAL_TRANSMISSIONS, SpendingTotals
from molereach.policy.interface.messages import CustomerKey, SpendingTotal
from molereach.policy.interface.protocols import PeerMessage, ReachableQuota
from molereach.policy.interface.settings import Plan

# A peer that is back and has sent no total of a customer within it spent nothing of its quota.
JOIN_DELAY_US = TOTAL_TRANSMISSIONS * TOTAL_REPEAT_US
MIN_RETENTION_US = 10 * SECOND_US  # of what is known of a customer that sends no requests
MAX_OWNER_STATES = 200_000  # that messages of others may open
UNKNOWN_INCARNATION = -1  # of a peer that has sent no total


class OwnerState:
    """What the owner of a customer's quota knows of the other members of the set."""

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
        """`max_received_per_s` bounds the heartbeats of all peers together."""
        self.proxy_index = proxy_index
        self.proxy_count = proxy_count
        self.plans = plans
        self.start_us = 0
        self.contacts = PeerContacts(proxy_index, proxy_count, settings, max_received_per_s)
        self.totals = SpendingTotals(plans)
        self.owner_states: dict[CustomerKey, OwnerState] = {}  # the most recently used one last
        fill_s = [plan.quota_burst / plan.quota_rate for plan in plans if plan.quota_rate]
        self.retention_us = max([MIN_RETENTION_US, *(round(2 * SECOND_US * seconds) for seconds in fill_s)])

    # Peers

    def record_message(self, now_us: int, peer: int, incarnation: int | None, is_mutual: bool = True) -> None:
        """Record a message of a peer; one that was silent is sent all that its customers spent here.

        Where it is not `is_mutual`, the peer does not receive from here.
        """
        if self.contacts.record_message(now_us, peer, incarnation, is_mutual):
            self.resend_totals(peer)

    def resend_totals(self, peer: int) -> int:
        """Send a peer, from now on, all that the customers that it owns spent here; of how many."""
        keys = [key for key in self.totals.entries if self.owner(key) == peer]
        self.totals.resend(keys)
        return len(keys)

    # Owners

    def owner(self, key: CustomerKey) -> int:
        """The owner of a customer's quota while all reach each other."""
        checksum, _, set_first, set_size = key
        return (set_first + checksum % set_size) % self.proxy_count

    def acting_owner(self, now_us: int, key: CustomerKey) -> int:
        """The owner as seen from here: the first member that is present, from the owner on."""
        checksum, _, set_first, set_size = key
        start = checksum % set_size
        for number in range(start, start + set_size):
            member = (set_first + number % set_size) % self.proxy_count
            if member == self.proxy_index or self.contacts.is_present(now_us, member):
                return member
        return self.proxy_index

    def reachable_quota(self, now_us: int, key: CustomerKey) -> ReachableQuota:
        """The acting owner, the fraction of the quota on this side of a partition, and units that joined."""
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
        """Separate the silent members and join the others; the units of local quotas that joined."""
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
                # It had time to send a total of what it spent here, and had none to send.
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
        """The state of a customer that this proxy owns, marked as the most recently used one."""
        state = self.owner_states.pop(key, None)
        if state is None:
            state = OwnerState({}, now_us)
            if now_us - self.start_us <= JOIN_DELAY_US + self.contacts.failure_timeout_us:
                # Soon after a start, nothing is known of what the others have spent.
                state.separated_since_us = dict.fromkeys(self._other_members(key), self.start_us)
        self.owner_states[key] = state
        state.used_us = now_us
        return state

    # Spending

    def record_spending(self, now_us: int, key: CustomerKey, units: float, remaining_units: float) -> None:
        """Record what was spent here of a quota that another proxy owns; the rest is of the local quota."""
        if self.acting_owner(now_us, key) != self.proxy_index:
            self.totals.record(now_us, key, units, remaining_units)

    def due_totals(self, now_us: int, max_totals: int) -> list[PeerMessage[SpendingTotal]]:
        """Totals to be sent to the owners now, at most so many."""
        return [
            PeerMessage(self.acting_owner(now_us, total.key), total)
            for total in self.totals.due(now_us, max_totals)
        ]

    def apply_spending_total(self, now_us: int, sender: int, total: SpendingTotal) -> float:
        """Units that a member's total takes from the customer's tokens; negative where its local quota joins.

        A local quota joins with what is left of it, less what was spent beyond it. A total that is older
        than the last one adds nothing.
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
        # Of a customer that was forgotten here, the total may be old: what its local quota lacks counts.
        return local_burst - remaining_units

    def _accepts_total(self, now_us: int, key: CustomerKey) -> bool:
        """Whether this proxy is the acting owner, and has or may open a state of the customer."""
        if self.acting_owner(now_us, key) != self.proxy_index or not self.plans[key[1]].quota_rate:
            return False
        return key in self.owner_states or len(self.owner_states) < MAX_OWNER_STATES

    def evict_idle(self, now_us: int) -> None:
        """Forget customers that have sent no request for so long that their quota is full again."""
        self.totals.evict_idle(now_us, self.retention_us)
        while self.owner_states:
            key, oldest = next(iter(self.owner_states.items()))
            if now_us - oldest.used_us <= self.retention_us:
                return
            del self.owner_states[key]
