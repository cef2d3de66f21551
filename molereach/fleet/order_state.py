"""The replicated state of orders: which are in force at a revision, and whether another may be proposed.

The state depends only on the decided orders up to its revision, not on the sequence in which they arrived or
on repeats, so all replicas at the same revision hold the same state.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from molereach.fleet.orders import MAX_IN_FORCE, MAX_RECENT_REVISIONS, Decided, Order, OrderStateRecord, Verb

MAX_PENDING_ORDERS = 256  # decided orders that cannot be applied while an earlier one is missing


class RejectionReason(Enum):
    """Why an order may not be proposed."""

    CONFLICT = "conflict"  # another order was decided after the revision that the issuer saw
    FLOOR = "floor"  # too few ready servers would be left
    FULL = "full"  # too many orders are in force
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class OrderRejection:
    """An order that may not be proposed; `winner` is the decided order that prevents it, if one does."""

    reason: RejectionReason
    text: str
    winner: Decided | None = None


class OrderState:
    """The orders decided up to a revision.

    `in_force` holds the orders in force by verb and subject, `recent` the latest decided orders by revision,
    and `pending` the decided orders that cannot be applied while an earlier one is missing.
    """

    def __init__(self, record: OrderStateRecord = OrderStateRecord()) -> None:
        """Start from a record that has passed its `check`."""
        self.revision = record.revision
        self.in_force: dict[tuple[Verb, str], Decided] = {}
        self.recent: dict[int, Decided] = {}
        self.pending: dict[int, Order] = {}
        self.replace_with(record)

    def replace_with(self, record: OrderStateRecord) -> None:
        """Replace the state with that of a record; the pending orders stay."""
        self.revision = record.revision
        self.in_force = {(decided.order.verb, decided.order.subject): decided for decided in record.in_force}
        self.recent = {decided.revision: decided for decided in record.recent}

    def to_record(self) -> OrderStateRecord:
        """Return a record from which an equal state can be restored."""
        in_force = sorted(self.in_force.values(), key=lambda decided: decided.revision)
        return OrderStateRecord(self.revision, tuple(in_force), tuple(self.recent.values()))

    def adopt(self, record: OrderStateRecord) -> bool:
        """Adopt a checked record if it is newer, so that the revision never falls; return whether it was."""
        if record.revision <= self.revision:
            return False
        self.replace_with(record)
        self.pending = {
            revision: order for revision, order in self.pending.items() if revision > self.revision
        }
        self.apply_pending()
        return True

    def find(self, order_id: str) -> Decided | None:
        """Return the decided order with an id, or None if it is not among the recent ones."""
        return next((decided for decided in self.recent.values() if decided.order.id == order_id), None)

    def latest_for(self, subject: str) -> Decided | None:
        """Return the latest decided order for a subject, or None if it is not among the recent ones."""
        return next(
            (decided for decided in reversed(self.recent.values()) if decided.order.subject == subject), None
        )

    def record_decided(self, decided: Decided) -> list[Decided]:
        """Add a decided order; return the orders that could be applied. Repeats and gaps are allowed."""
        if decided.revision > self.revision and len(self.pending) < MAX_PENDING_ORDERS:
            self.pending.setdefault(decided.revision, decided.order)
        return self.apply_pending()

    def apply_pending(self) -> list[Decided]:
        """Apply pending orders up to the first missing revision; return them in order of revision."""
        applied: list[Decided] = []
        while (order := self.pending.pop(self.revision + 1, None)) is not None:
            applied.append(Decided(self.revision + 1, order))
            self.apply(applied[-1])
        return applied

    def apply(self, decided: Decided) -> None:
        """Apply the order of the next revision; one whose id was applied before changes only the revision."""
        order = decided.order
        self.revision = decided.revision
        if self.find(order.id):
            return
        while self.recent and next(iter(self.recent)) <= self.revision - MAX_RECENT_REVISIONS:
            del self.recent[next(iter(self.recent))]
        self.recent[decided.revision] = decided
        if reverted := order.verb.reverts:
            self.in_force.pop((reverted, order.subject), None)
            return
        self.in_force[order.verb, order.subject] = decided
        if len(self.in_force) > MAX_IN_FORCE:
            # `validate` has ensured that at least one has lapsed. All replicas must drop the same one, so the
            # choice depends on the orders only, not on a clock.
            lapsing = [key for key, each in self.in_force.items() if each.order.lapses_ms]
            first_to_lapse = min(lapsing or self.in_force, key=lambda key: self.in_force[key].order.lapses_ms)
            del self.in_force[first_to_lapse]

    def active_subjects(self, verb: Verb, now_ms: int) -> frozenset[str]:
        """Return the subjects of a verb's orders that are in force and have not lapsed at `now_ms`."""
        return frozenset(
            subject
            for (order_verb, subject), decided in self.in_force.items()
            if order_verb is verb and not has_lapsed(decided.order, now_ms)
        )

    def remove_lapsed(self, now_ms: int) -> None:
        """Drop orders that have lapsed; this does not change `active_subjects` from `now_ms` on."""
        self.in_force = {
            key: decided for key, decided in self.in_force.items() if not has_lapsed(decided.order, now_ms)
        }

    def validate(
        self, order: Order, now_ms: int, ready: Mapping[str, str], floor: int
    ) -> OrderRejection | Decided | None:
        """Return None if the order may be proposed at the next revision, otherwise why it may not.

        `ready` maps the servers that discovery lists as up to their buildings; `floor` is the number of them
        that must remain in each building. If an order with the same id is decided already, it is returned.
        """
        if already_decided := self.find(order.id):
            return already_decided
        if has_lapsed(order, now_ms):
            return OrderRejection(RejectionReason.LAPSED, "its time is over")
        if order.based_on < self.revision - MAX_RECENT_REVISIONS:
            return OrderRejection(
                RejectionReason.CONFLICT, f"it is based on revision {order.based_on}; {self.revision} stands"
            )
        winner = self.latest_for(order.subject)
        if winner and winner.revision > order.based_on and winner.order.verb is not order.verb:
            other = winner.order
            return OrderRejection(
                RejectionReason.CONFLICT,
                f"{other.verb.value} by {other.issuer} stands at revision {winner.revision}: {other.reason}",
                winner,
            )
        active = sum(not has_lapsed(each.order, now_ms) for each in self.in_force.values())
        if order.verb.reverts is None and active >= MAX_IN_FORCE:
            return OrderRejection(RejectionReason.FULL, f"{MAX_IN_FORCE} orders are in force")
        return self.validate_floor(order, now_ms, ready, floor) if order.verb is Verb.DRAIN else None

    def validate_floor(
        self, order: Order, now_ms: int, ready: Mapping[str, str], floor: int
    ) -> OrderRejection | None:
        """Return a rejection if the drain would go below the floor and is not forced."""
        building = ready.get(order.subject)
        if order.forced or building is None:  # a server that is not ready does not count towards the floor
            return None
        drained = self.active_subjects(Verb.DRAIN, now_ms) | {order.subject}
        remaining = sum(
            server_building == building and name not in drained for name, server_building in ready.items()
        )
        if remaining >= floor:
            return None
        other_drains = [
            decided
            for (verb, name), decided in self.in_force.items()
            if verb is Verb.DRAIN and ready.get(name) == building and name != order.subject
        ]
        winner = max(other_drains, key=lambda decided: decided.revision, default=None)
        text = f"{remaining} ready servers would be left in {building}, {floor} must be"
        return OrderRejection(RejectionReason.FLOOR, text, winner)


def has_lapsed(order: Order, now_ms: int) -> bool:
    """Return whether an order has lapsed at `now_ms`, a Unix time in milliseconds."""
    return bool(order.lapses_ms) and now_ms >= order.lapses_ms
