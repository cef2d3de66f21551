"""Orders for front doors, the book of those that were decided, and what they do to the list of servers.

An order only takes away. The book is the same at whoever has the same revisions, in whatever order and
however often they came. The decision module sees discovery's list with the orders over it, as ordinary list
events.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState

MAX_NAME_BYTES = 64  # of an id, a subject or an issuer, in UTF-8
MAX_REASON_BYTES = 256
MAX_RECENT_REVISIONS = 256  # revisions that are remembered one by one, so that an order given again is known
MAX_PENDING_ORDERS = 256  # decided orders that wait for those before them
MAX_IN_FORCE = 256  # wanted orders at once
MAX_REVISION = 1 << 53  # whole numbers beyond that are not safe in JSON


class OrderError(ValueError):
    """An order is not usable; the text is one plain line."""


class Verb(Enum):
    """What an order asks for."""

    DRAIN = "drain"  # nothing new to a server
    UNDRAIN = "undrain"
    HOLD = "hold"  # no new clients at a front door
    RELEASE = "release"

    @property
    def reverts(self) -> "Verb | None":
        """The verb that this one ends."""
        return {Verb.UNDRAIN: Verb.DRAIN, Verb.RELEASE: Verb.HOLD}.get(self)


class Order(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One order.

    `based_on` is the revision of the book that its issuer saw; `lapses_ms` is Unix time in milliseconds from
    which it is void, 0 for never; `forced` goes past the floor of ready servers.
    """

    id: str
    verb: Verb
    subject: str  # of a server, or of a front door
    issuer: str
    reason: str
    based_on: int
    lapses_ms: int = 0
    forced: bool = False

    def check(self) -> None:
        """OrderError where a field is empty, too long, not printable or out of range."""
        for name, text, most in (
            ("id", self.id, MAX_NAME_BYTES),
            ("subject", self.subject, MAX_NAME_BYTES),
            ("issuer", self.issuer, MAX_NAME_BYTES),
            ("reason", self.reason, MAX_REASON_BYTES),
        ):
            if not text or len(text.encode("utf-8", "replace")) > most or not text.isprintable():
                raise OrderError(f"{name}: not 1 to {most} bytes of printable text")
        if not 0 <= self.based_on <= MAX_REVISION or not 0 <= self.lapses_ms <= MAX_REVISION:
            raise OrderError(f"based_on and lapses_ms: not 0 to {MAX_REVISION}")


class Decided(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An order that stands at a revision, at every agent alike."""

    revision: int
    order: Order

    def check(self) -> None:
        """OrderError where the order or its revision cannot be."""
        self.order.check()
        if not 1 <= self.revision <= MAX_REVISION:
            raise OrderError(f"revision: not 1 to {MAX_REVISION}")


class OrderStateRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that a book holds, as it travels and as it is stored; in order of revision."""

    revision: int = 0
    in_force: tuple[Decided, ...] = ()
    recent: tuple[Decided, ...] = ()  # the latest that had an effect, for repeats and for those who lose

    def check(self) -> None:
        """OrderError where no book can be like that."""
        if not 0 <= self.revision <= MAX_REVISION:
            raise OrderError(f"revision: not 0 to {MAX_REVISION}")
        for name, found, most in (
            ("in_force", self.in_force, MAX_IN_FORCE),
            ("recent", self.recent, MAX_RECENT_REVISIONS),
        ):
            revisions = [decided.revision for decided in found]
            if len(found) > most or sorted(set(revisions)) != revisions:
                raise OrderError(f"{name}: not {most} orders at most, in order of revision")
            for decided in found:
                decided.check()
            if revisions and revisions[-1] > self.revision:
                raise OrderError(f"{name}: an order from after revision {self.revision}")
        if any(decided.order.verb.reverts for decided in self.in_force):
            raise OrderError("in_force: an order that ends others is never in force itself")


class RejectionReason(Enum):
    """Why an order cannot be given."""

    CONFLICT = "conflict"  # the book has gone on since the issuer looked at it
    FLOOR = "floor"  # too few ready servers would be left
    FULL = "full"  # too many orders are in force
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class OrderRejection:
    """An order was not taken; `winner` is what stands in its way, where it is another order."""

    reason: RejectionReason
    text: str
    winner: Decided | None = None


class OrderState:
    """What was decided so far: the orders in force, by what they ask for and of whom."""

    def __init__(self, state: OrderStateRecord = OrderStateRecord()) -> None:
        self.revision = state.revision  # all up to here are in
        self.in_force: dict[tuple[Verb, str], Decided] = {}
        self.recent: dict[int, Decided] = {}
        self.pending: dict[int, Order] = {}
        self.replace_with(state)

    def replace_with(self, state: OrderStateRecord) -> None:
        self.revision = state.revision
        self.in_force = {(each.order.verb, each.order.subject): each for each in state.in_force}
        self.recent = {each.revision: each for each in state.recent}

    def to_record(self) -> OrderStateRecord:
        """What another book needs to be like this one."""
        in_force = sorted(self.in_force.values(), key=lambda decided: decided.revision)
        return OrderStateRecord(self.revision, tuple(in_force), tuple(self.recent.values()))

    def adopt(self, state: OrderStateRecord) -> bool:
        """Take over a checked book that is further on; whether it was. It never goes back."""
        if state.revision <= self.revision:
            return False
        self.replace_with(state)
        self.pending = {
            revision: order for revision, order in self.pending.items() if revision > self.revision
        }
        self.apply_pending()
        return True

    def find(self, order_id: str) -> Decided | None:
        """The decided order with an id, if it is remembered."""
        return next((each for each in self.recent.values() if each.order.id == order_id), None)

    def latest_for(self, subject: str) -> Decided | None:
        """The latest order about a subject, if it is remembered."""
        return next((each for each in reversed(self.recent.values()) if each.order.subject == subject), None)

    def record_decided(self, decided: Decided) -> list[Decided]:
        """Take a decided order; those that are in now, in order. Repeats and gaps are harmless."""
        if decided.revision > self.revision and len(self.pending) < MAX_PENDING_ORDERS:
            self.pending.setdefault(decided.revision, decided.order)
        return self.apply_pending()

    def apply_pending(self) -> list[Decided]:
        entered: list[Decided] = []
        while (order := self.pending.pop(self.revision + 1, None)) is not None:
            entered.append(Decided(self.revision + 1, order))
            self.apply(entered[-1])
        return entered

    def apply(self, decided: Decided) -> None:
        order = decided.order
        self.revision = decided.revision
        if self.find(order.id):  # given twice, it is one order
            return
        while self.recent and next(iter(self.recent)) <= self.revision - MAX_RECENT_REVISIONS:
            del self.recent[next(iter(self.recent))]
        self.recent[decided.revision] = decided
        if ended := order.verb.reverts:
            self.in_force.pop((ended, order.subject), None)
            return
        self.in_force[order.verb, order.subject] = decided
        if len(self.in_force) > MAX_IN_FORCE:  # `judge` saw to it that one has lapsed; every book drops it
            lapsing = [key for key, each in self.in_force.items() if each.order.lapses_ms]
            oldest = min(lapsing or self.in_force, key=lambda key: self.in_force[key].order.lapses_ms)
            del self.in_force[oldest]

    def active_subjects(self, verb: Verb, now_ms: int) -> frozenset[str]:
        """The subjects of the orders of a verb that are in force and have not lapsed."""
        return frozenset(
            subject
            for (found, subject), decided in self.in_force.items()
            if found is verb and not lapsed(decided.order, now_ms)
        )

    def remove_lapsed(self, now_ms: int) -> None:
        """What has lapsed takes no place any more. What is in force is the same before and after."""
        self.in_force = {
            key: decided for key, decided in self.in_force.items() if not lapsed(decided.order, now_ms)
        }

    def validate(
        self, order: Order, now_ms: int, ready: Mapping[str, str], floor: int
    ) -> OrderRejection | Decided | None:
        """Whether the order may be proposed as the next revision: None if so.

        `ready` has the ready servers and their buildings, as discovery lists them; `floor` is how many of
        each building must be left. An order that stands already is given back as it was decided.
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
        standing = sum(not lapsed(each.order, now_ms) for each in self.in_force.values())
        if order.verb.reverts is None and standing >= MAX_IN_FORCE:
            return OrderRejection(RejectionReason.FULL, f"{MAX_IN_FORCE} orders are in force")
        return self.validate_floor(order, now_ms, ready, floor) if order.verb is Verb.DRAIN else None

    def validate_floor(
        self, order: Order, now_ms: int, ready: Mapping[str, str], floor: int
    ) -> OrderRejection | None:
        """A drain leaves each building its floor, unless it is forced."""
        building = ready.get(order.subject)
        if order.forced or building is None:  # one that is not ready is no loss
            return None
        drained = self.active_subjects(Verb.DRAIN, now_ms) | {order.subject}
        left = sum(where == building and name not in drained for name, where in ready.items())
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
    return bool(order.lapses_ms) and now_ms >= order.lapses_ms


class Overlay:
    """Discovery's list with the drains over it.

    It never adds a server that discovery has not named, and never undoes a drain of discovery's own.
    """

    def __init__(self) -> None:
        self.listed: dict[str, Endpoint] = {}  # as discovery has them
        self.version = self.sharing_proxies = 0
        self.drained: frozenset[str] = frozenset()

    def overlaid(self, server: Endpoint) -> Endpoint:
        """What the decision module is to see of a server."""
        if server.state is EndpointState.UP and server.name in self.drained:
            return replace(server, state=EndpointState.DRAINING)
        return server

    def on_endpoint_list(self, news: EndpointListReceived) -> EndpointListReceived:
        """Discovery's news, as the module is to hear it."""
        if news.kind in (EndpointListKind.FULL, EndpointListKind.SAVED):
            self.listed = {}
        if news.kind is not EndpointListKind.FAILED:
            self.version, self.sharing_proxies = news.version, news.sharing_proxies
        for server in news.endpoints:
            if server.state is EndpointState.REMOVED:
                self.listed.pop(server.name, None)
            else:
                self.listed[server.name] = server
        return replace(news, endpoints=tuple(map(self.overlaid, news.endpoints)))

    def on_drained_servers(self, drained: Iterable[str]) -> EndpointListReceived | None:
        """The servers that are to be drained from now on; changes for the module, or None."""
        before, self.drained = self.drained, frozenset(drained)
        changed = [
            self.overlaid(server)
            for name, server in self.listed.items()
            if server.state is EndpointState.UP and (name in before) != (name in self.drained)
        ]
        if not changed:
            return None
        return EndpointListReceived(
            EndpointListKind.CHANGES, self.version, tuple(changed), self.sharing_proxies
        )
