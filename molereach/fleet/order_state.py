"""The replicated state of orders: which are in force at a revision, and whether another may be proposed.

The state depends only on the decided orders up to its revision, in whatever sequence and however often they
arrived, so all replicas with the same revision agree.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from molereach.fleet.orders import MAX_IN_FORCE, MAX_RECENT_REVISIONS, Decided, Order, OrderStateRecord, Verb

MAX_PENDING_ORDERS = 256  # decided orders that wait for a missing revision before them


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

    `in_force` holds the orders in force by verb and subject, `recent` the latest ones by revision, `pending`
    later ones that wait for a missing revision.
    """

    def __init__(self, record: OrderStateRecord = OrderStateRecord()) -> None:
        """Start from a checked record."""
        self.revision = record.revision
        self.in_force: dict[tuple[Verb, str], Decided] = {}
        self.recent: dict[int, Decided] = {}
        self.pending: dict[int, Order] = {}
        self.replace_with(record)

    def replace_with(self, record: OrderStateRecord) -> None:
        """Hold what a record holds; pending orders stay."""
        self.revision = record.revision
        self.in_force = {(each.order.verb, each.order.subject): each for each in record.in_force}
        self.recent = {each.revision: each for each in record.recent}

    def to_record(self) -> OrderStateRecord:
        """Return the record from which an equal state can be made."""
        in_force = sorted(self.in_force.values(), key=lambda decided: decided.revision)
        return OrderStateRecord(self.revision, tuple(in_force), tuple(self.recent.values()))

    def adopt(self, record: OrderStateRecord) -> bool:
        """Take over a checked record if it is newer; return whether it was. The revision never falls."""
        if record.revision <= self.revision:
            return False
        self.replace_with(record)
        self.pending = {
            revision: order for revision, order in self.pending.items() if revision > self.revision
        }
        self.apply_pending()
        return True

    def find(self, order_id: str) -> Decided | None:
        """Return the decided order with an id, if it is remembered."""
        return next((each for each in self.recent.values() if each.order.id == order_id), None)

    def latest_for(self, subject: str) -> Decided | None:
        """Return the latest order about a subject, if it is remembered."""
        return next((each for each in reversed(self.recent.values()) if each.order.subject == subject), None)

    def record_decided(self, decided: Decided) -> list[Decided]:
        """Add a decided order; return those that it let apply. Repeats and gaps are harmless."""
        if decided.revision > self.revision and len(self.pending) < MAX_PENDING_ORDERS:
            self.pending.setdefault(decided.revision, decided.order)
        return self.apply_pending()

    def apply_pending(self) -> list[Decided]:
        """Apply pending orders up to the first gap; return them in order."""
        applied: list[Decided] = []
        while (order := self.pending.pop(self.revision + 1, None)) is not None:
            applied.append(Decided(self.revision + 1, order))
            self.apply(applied[-1])
        return applied

    def apply(self, decided: Decided) -> None:
        """Apply the order of the next revision; one whose id has been applied only uses up the revision."""
        order = decided.order
        self.revision = decided.revision
        if self.find(order.id):
            return
        while self.recent and next(iter(self.recent)) <= self.revision - MAX_RECENT_REVISIONS:
            del self.recent[next(iter(self.recent))]
        self.recent[decided.revision] = decided
        if ended := order.verb.reverts:
            self.in_force.pop((ended, order.subject), None)
            return
        self.in_force[order.verb, order.subject] = decided
        if len(self.in_force) > MAX_IN_FORCE:
            # `validate` has made sure that one has lapsed. All replicas must drop the same one, so the choice
            # depends on the orders only, not on a clock.
            lapsing = [key for key, each in self.in_force.items() if each.order.lapses_ms]
            oldest = min(lapsing or self.in_force, key=lambda key: self.in_force[key].order.lapses_ms)
            del self.in_force[oldest]

    def active_subjects(self, verb: Verb, now_ms: int) -> frozenset[str]:
        """Return the subjects of a verb's orders that are in force and have not lapsed at `now_ms`."""
        return frozenset(
            subject
            for (found, subject), decided in self.in_force.items()
            if found is verb and not lapsed(decided.order, now_ms)
        )

    def remove_lapsed(self, now_ms: int) -> None:
        """Drop orders that have lapsed; `active_subjects` is the same before and after."""
        self.in_force = {
            key: decided for key, decided in self.in_force.items() if not lapsed(decided.order, now_ms)
        }

    def validate(
        self, order: Order, now_ms: int, ready: Mapping[str, str], floor: int
    ) -> OrderRejection | Decided | None:
        """Check whether the order may be proposed as the next revision: None if so.

        `ready` maps the servers that discovery lists as up to their buildings; `floor` is the number of them
        that must be left in each building. An order that is decided already is returned as it was decided.
        """
        if known := self.find(order.id):
            return known
        if lapsed(order, now_ms):
            return OrderRejection(RejectionReason.LAPSED, "its time is over")
        if order.based_on < self.revision - MAX_RECENT_REVISIONS:
            return OrderRejection(
                RejectionReason.CONFLICT, f"it is based on revision {order.based_on}; {self.revision} stands"
            )
        winner = self.latest_for(order.subject)
        if winner and winner.revision > order.based_on and winner.order.verb is not order.verb:
            by = winner.order
            return OrderRejection(
                RejectionReason.CONFLICT,
                f"{by.verb.value} by {by.issuer} stands at revision {winner.revision}: {by.reason}",
                winner,
            )
        active = sum(not lapsed(each.order, now_ms) for each in self.in_force.values())
        if order.verb.reverts is None and active >= MAX_IN_FORCE:
            return OrderRejection(RejectionReason.FULL, f"{MAX_IN_FORCE} orders are in force")
        return self.validate_floor(order, now_ms, ready, floor) if order.verb is Verb.DRAIN else None

    def validate_floor(
        self, order: Order, now_ms: int, ready: Mapping[str, str], floor: int
    ) -> OrderRejection | None:
        """Check that a drain leaves `floor` ready servers in the building, unless it is forced."""
        building = ready.get(order.subject)
        if order.forced or building is None:  # draining a server that is not ready costs nothing
            return None
        drained = self.active_subjects(Verb.DRAIN, now_ms) | {order.subject}
        left = sum(place == building and name not in drained for name, place in ready.items())
        if left >= floor:
            return None
        others = [
            decided
            for (verb, name), decided in self.in_force.items()
            if verb is Verb.DRAIN and ready.get(name) == building and name != order.subject
        ]
        winner = max(others, key=lambda decided: decided.revision, default=None)
        text = f"{left} ready servers would be left in {building}, {floor} must be"
        return OrderRejection(RejectionReason.FLOOR, text, winner)


def lapsed(order: Order, now_ms: int) -> bool:
    """Return whether an order is void at a Unix time in milliseconds."""
    return bool(order.lapses_ms) and now_ms >= order.lapses_ms
