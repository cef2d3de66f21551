"""What part of a soft quota may be spent here while front doors are cut off. A core.

A set that falls apart splits its store: the home goes on with k/n of burst and rate for the k that it
hears, each of the others with 1/n. On the ordinary path, when all hear each other, it changes nothing.
Totals in place of increments (a counter that only grows, one for each life of a front door) make good
what was lost: Shapiro et al., "A Comprehensive Study of Convergent and Commutative Replicated Data Types"
(2011), 3.1. docs/design/limits.md states the error.
"""

from collections.abc import Sequence

from molereach.limits.settings import SECOND_US, LimitSettings
from molereach.policy.interface.messages import CustomerKey, SpendingTotal
from molereach.policy.interface.settings import Plan

MISSED_HEARTBEATS = 4  # that are missed before a front door counts as cut off
HEARTBEAT_FRACTION = 0.3  # of the messages that a front door takes in may be beats
TOTAL_REPEAT_US, TOTAL_TRANSMISSIONS = 300_000, 2  # a total is told so often, as words may be lost
JOIN_DELAY_US = (
    TOTAL_TRANSMISSIONS * TOTAL_REPEAT_US
)  # who is back and has said nothing of a customer by then spent nothing
MIN_RETENTION_US = 10 * SECOND_US
MAX_OWNER_STATES = 200_000  # customers that others' words may open here
NEVER_US = -1 << 60


class _LocalSpending:
    """What was spent here of one customer's quota, and how often its home has been told of it."""

    __slots__ = ("remaining_units", "spent_units", "transmissions", "updated_us")

    def __init__(self) -> None:
        self.updated_us, self.spent_units, self.remaining_units, self.transmissions = 0, 0.0, 0.0, 0


class _OwnerState:
    """One customer at its home: whose parts are not in its store and since when; the others' last totals."""

    __slots__ = ("last_totals", "separated_since_us", "used_us")

    def __init__(self, apart: dict[int, int], now: int) -> None:
        self.separated_since_us, self.used_us = apart, now
        self.last_totals: dict[int, tuple[int, float]] = {}  # generation and total


class PartitionQuota:
    """Who is heard, what was spent, and which part of each quota is to be gone by."""

    def __init__(
        self, me: int, doors: int, plans: Sequence[Plan], settings: LimitSettings, intake_per_s: float
    ) -> None:
        self.proxy_index, self.proxy_count, self.plans = me, doors, plans
        crowd = SECOND_US * (doors - 1) / (HEARTBEAT_FRACTION * intake_per_s) if intake_per_s else 0.0
        self.heartbeat_us = max(settings.heartbeat_us, round(crowd))
        self.failure_timeout_us = MISSED_HEARTBEATS * self.heartbeat_us
        self.start_us = 0
        self.mutual_contact_us: dict[int, int] = {}  # words of one that hears this front door as well
        self.received_us: dict[int, int] = {}  # any word: a link may work one way
        self.reconnected_us: dict[int, int] = {}  # since when a peer has been heard again
        self.incarnations: dict[int, int] = {}  # generations of those that tell totals
        self.departed_incarnations: dict[
            int, int
        ] = {}  # generations of those that ended in order: they spend nothing
        self.sent_us: dict[int, int] = {}
        self.local_spending: dict[CustomerKey, _LocalSpending] = {}  # both: the one used last at the end
        self.owner_states: dict[CustomerKey, _OwnerState] = {}
        self.unsent_totals: dict[CustomerKey, None] = {}  # spending that the home has not been told of
        self.repeat_at_us: dict[CustomerKey, int] = {}  # that it is told of once more, at that time
        fill = [plan.quota_burst / plan.quota_rate for plan in plans if plan.quota_rate]
        self.retention_us = max([MIN_RETENTION_US, *(round(2 * SECOND_US * took) for took in fill)])

    # --- who is there ---

    def is_silent(self, now: int, peer: int) -> bool:
        return now - self.mutual_contact_us.get(peer, NEVER_US) > self.failure_timeout_us

    def receives_from(self, now: int, peer: int) -> bool:
        """Whether the peer is to be told that its words come here."""
        return now - self.received_us.get(peer, NEVER_US) <= self.failure_timeout_us

    def record_contact(self, now: int, peer: int, generation: int | None, mutual: bool = True) -> None:
        """Something came from a peer; who was silent is told all that its customers spent here. One that does
        not hear this front door cannot tell it what it spends by its word: it counts as silent."""
        self.received_us[peer] = now
        if not mutual:
            return
        if self.is_silent(now, peer):
            self.reconnected_us[peer] = now
            self.resend_totals(peer)
        self.mutual_contact_us[peer] = now
        if generation is not None:
            self.incarnations[peer] = generation
            if self.departed_incarnations.get(peer, generation) != generation:
                del self.departed_incarnations[peer]

    def record_leave(self, now: int, peer: int, generation: int) -> None:
        """It has ended: nothing more comes of that life, whatever arrives late."""
        self.departed_incarnations[peer] = generation
        self.mutual_contact_us[peer] = NEVER_US

    def resend_totals(self, peer: int) -> int:
        """Tell a peer, from now on, all that its customers spent here; of how many."""
        theirs = [key for key in self.local_spending if self.owner(key) == peer]
        for key in theirs:
            self.local_spending[key].transmissions = 0
            self.unsent_totals[key] = None
        return len(theirs)

    def record_no_spending(self, peer: int) -> None:
        """It has spent nothing of any customer here: its parts join at once."""
        self.reconnected_us[peer] = NEVER_US

    def due_heartbeats(self, now: int) -> list[int]:
        """Peers that have heard nothing from here for a beat."""
        return [
            peer
            for peer in range(self.proxy_count)
            if peer != self.proxy_index and now - self.sent_us.get(peer, NEVER_US) >= self.heartbeat_us
        ]

    # --- the part to go by ---

    def owner(self, key: CustomerKey) -> int:
        name, _, first, size = key
        return (first + name % size) % self.proxy_count

    def acting_owner(self, now: int, key: CustomerKey) -> int:
        """The home as seen from here: the first that is heard, in the set's order from the home on."""
        name, _, first, size = key
        for number in range(name % size, name % size + size):
            member = (first + number % size) % self.proxy_count
            if member == self.proxy_index or (
                member not in self.departed_incarnations and not self.is_silent(now, member)
            ):
                return member
        return self.proxy_index

    def other_members(self, key: CustomerKey) -> list[int]:
        _, _, first, size = key
        return [
            peer
            for number in range(size)
            if (peer := (first + number) % self.proxy_count) != self.proxy_index
        ]

    def reachable_quota(self, now: int, key: CustomerKey) -> tuple[int, float, float]:
        """The home to go by, the part of the quota that is its side's, and units that joined the store here
        just now."""
        size, plan = key[3], self.plans[key[1]]
        if size == 1 or not plan.quota_rate:
            return self.owner(key), 1.0, 0.0
        home = self.acting_owner(now, key)
        if home != self.proxy_index:
            return home, 1.0, 0.0
        known = self.owner_state(now, key)
        joined = 0.0
        for peer in self.other_members(key):
            if peer in self.departed_incarnations:
                joined += plan.quota_burst / size * (known.separated_since_us.pop(peer, None) is not None)
            elif self.is_silent(now, peer):
                known.separated_since_us.setdefault(peer, self.mutual_contact_us.get(peer, self.start_us))
            elif peer in known.separated_since_us and now - self.reconnected_us[peer] > JOIN_DELAY_US:
                del known.separated_since_us[
                    peer
                ]  # it had time to tell what it spent here, and had nothing to tell
                joined += plan.quota_burst / size
        return home, 1 - len(known.separated_since_us) / size, joined

    def owner_state(self, now: int, key: CustomerKey) -> _OwnerState:
        """The customer here, at its home. Soon after a start nothing is known of what the others spent."""
        known = self.owner_states.pop(key, None)
        if known is None:
            young = now - self.start_us <= JOIN_DELAY_US + self.failure_timeout_us
            known = _OwnerState({peer: self.start_us for peer in self.other_members(key) if young}, now)
        self.owner_states[key], known.used_us = known, now
        return known

    # --- totals ---

    def record_spending(self, now: int, key: CustomerKey, units: float, left: float) -> None:
        """So much was spent here, and so much of the part here is left."""
        if self.acting_owner(now, key) == self.proxy_index:
            return
        mine = self.local_spending.pop(key, None) or _LocalSpending()
        self.local_spending[key] = mine
        mine.updated_us, mine.spent_units, mine.remaining_units, mine.transmissions = (
            now,
            mine.spent_units + units,
            left,
            0,
        )
        self.repeat_at_us.pop(key, None)
        self.unsent_totals[key] = None

    def spending_total(self, now: int, key: CustomerKey) -> SpendingTotal:
        """What the home is told; what has been refilled since the last spending is left as well."""
        mine, plan, size = self.local_spending[key], self.plans[key[1]], key[3]
        left = min(
            plan.quota_burst / size,
            mine.remaining_units + plan.quota_rate / size * (now - mine.updated_us) / SECOND_US,
        )
        return SpendingTotal(key, mine.spent_units, left)

    def due_totals(self, now: int, most: int) -> list[tuple[int, SpendingTotal]]:
        """Totals to be told to homes now, at most so many."""
        found: list[tuple[int, SpendingTotal]] = []
        while self.repeat_at_us and len(found) < most:
            key, at = next(iter(self.repeat_at_us.items()))
            if at > now:
                break
            del self.repeat_at_us[key]
            self.unsent_totals[key] = None
        while self.unsent_totals and len(found) < most:
            key = next(iter(self.unsent_totals))
            del self.unsent_totals[key]
            if mine := self.local_spending.get(key):
                found.append((self.acting_owner(now, key), self.spending_total(now, key)))
                mine.transmissions += 1
                if mine.transmissions < TOTAL_TRANSMISSIONS:
                    self.repeat_at_us[key] = now + TOTAL_REPEAT_US
        return found

    def apply_spending_total(self, now: int, sender: int, total: SpendingTotal) -> float:
        """What a total adds to what is known, in units for the customer's store; below 0 where a part joins.

        A part that was apart joins with what is left of it, less what was spent beyond it; a total that is
        older than the last one adds nothing.
        """
        key, plan = total.key, self.plans[total.key[1]]
        if self.acting_owner(now, key) != self.proxy_index or not plan.quota_rate:
            return 0.0
        if key not in self.owner_states and len(self.owner_states) >= MAX_OWNER_STATES:
            return 0.0
        known, part = self.owner_state(now, key), plan.quota_burst / key[3]
        left = max(0.0, min(total.remaining_units, part))
        generation, last = known.last_totals.get(sender, (-1, 0.0))
        mine = generation == self.incarnations.get(sender)
        since = total.spent_units - last if mine else total.spent_units
        if mine and since < 0:
            return 0.0
        known.last_totals[sender] = self.incarnations.get(sender, -1), total.spent_units
        apart_us = known.separated_since_us.pop(sender, None)
        if apart_us is not None:
            entitled = part + plan.quota_rate / key[3] * (now - apart_us) / SECOND_US
            return max(0.0, since + left - entitled) - left if mine else -left
        return since if mine or generation >= 0 else part - left

    def evict_idle(self, now: int) -> None:
        while (
            self.local_spending
            and now - next(iter(self.local_spending.values())).updated_us > self.retention_us
        ):
            del self.local_spending[next(iter(self.local_spending))]
        while self.owner_states and now - next(iter(self.owner_states.values())).used_us > self.retention_us:
            del self.owner_states[next(iter(self.owner_states))]
