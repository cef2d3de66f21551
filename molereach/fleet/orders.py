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

MOST_NAME_BYTES = 64  # of an id, a subject or an issuer, in UTF-8
MOST_REASON_BYTES = 256
MOST_RECENT = 256  # revisions that are remembered one by one, so that an order given again is known
MOST_AHEAD = 256  # decided orders that wait for those before them
MOST_IN_FORCE = 256  # wanted orders at once
MOST_REVISION = 1 << 53  # whole numbers beyond that are not safe in JSON


class OrderError(ValueError):
    """An order is not usable; the text is one plain line."""


class Verb(Enum):
    """What an order asks for."""

    DRAIN = "drain"  # nothing new to a server
    UNDRAIN = "undrain"
    HOLD = "hold"  # no new clients at a front door
    RELEASE = "release"

    @property
    def takes_back(self) -> "Verb | None":
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
            ("id", self.id, MOST_NAME_BYTES),
            ("subject", self.subject, MOST_NAME_BYTES),
            ("issuer", self.issuer, MOST_NAME_BYTES),
            ("reason", self.reason, MOST_REASON_BYTES),
        ):
            if not text or len(text.encode("utf-8", "replace")) > most or not text.isprintable():
                raise OrderError(f"{name}: not 1 to {most} bytes of printable text")
        if not 0 <= self.based_on <= MOST_REVISION or not 0 <= self.lapses_ms <= MOST_REVISION:
            raise OrderError(f"based_on and lapses_ms: not 0 to {MOST_REVISION}")


class Decided(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An order that stands at a revision, at every agent alike."""

    revision: int
    order: Order

    def check(self) -> None:
        """OrderError where the order or its revision cannot be."""
        self.order.check()
        if not 1 <= self.revision <= MOST_REVISION:
            raise OrderError(f"revision: not 1 to {MOST_REVISION}")


class BookState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that a book holds, as it travels and as it is stored; in order of revision."""

    revision: int = 0
    in_force: tuple[Decided, ...] = ()
    recent: tuple[Decided, ...] = ()  # the latest that had an effect, for repeats and for those who lose

    def check(self) -> None:
        """OrderError where no book can be like that."""
        if not 0 <= self.revision <= MOST_REVISION:
            raise OrderError(f"revision: not 0 to {MOST_REVISION}")
        for name, found, most in (
            ("in_force", self.in_force, MOST_IN_FORCE),
            ("recent", self.recent, MOST_RECENT),
        ):
            revisions = [decided.revision for decided in found]
            if len(found) > most or sorted(set(revisions)) != revisions:
                raise OrderError(f"{name}: not {most} orders at most, in order of revision")
            for decided in found:
                decided.check()
            if revisions and revisions[-1] > self.revision:
                raise OrderError(f"{name}: an order from after revision {self.revision}")
        if any(decided.order.verb.takes_back for decided in self.in_force):
            raise OrderError("in_force: an order that ends others is never in force itself")


class Why(Enum):
    """Why an order cannot be given."""

    CONFLICT = "conflict"  # the book has gone on since the issuer looked at it
    FLOOR = "floor"  # too few ready servers would be left
    FULL = "full"  # too many orders are in force
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class Refusal:
    """An order was not taken; `winner` is what stands in its way, where it is another order."""

    why: Why
    text: str
    winner: Decided | None = None


class Book:
    """What was decided so far: the orders in force, by what they ask for and of whom."""

    def __init__(self, state: BookState = BookState()) -> None:
        self.revision = state.revision  # all up to here are in
        self.in_force: dict[tuple[Verb, str], Decided] = {}
        self.recent: dict[int, Decided] = {}
        self.ahead: dict[int, Order] = {}
        self.take_over(state)

    def take_over(self, state: BookState) -> None:
        self.revision = state.revision
        self.in_force = {(each.order.verb, each.order.subject): each for each in state.in_force}
        self.recent = {each.revision: each for each in state.recent}

    def state(self) -> BookState:
        """What another book needs to be like this one."""
        in_force = sorted(self.in_force.values(), key=lambda decided: decided.revision)
        return BookState(self.revision, tuple(in_force), tuple(self.recent.values()))

    def adopt(self, state: BookState) -> bool:
        """Take over a checked book that is further on; whether it was. It never goes back."""
        if state.revision <= self.revision:
            return False
        self.take_over(state)
        self.ahead = {revision: order for revision, order in self.ahead.items() if revision > self.revision}
        self.catch_up()
        return True

    def find(self, order_id: str) -> Decided | None:
        """The decided order with an id, if it is remembered."""
        return next((each for each in self.recent.values() if each.order.id == order_id), None)

    def last_about(self, subject: str) -> Decided | None:
        """The latest order about a subject, if it is remembered."""
        return next((each for each in reversed(self.recent.values()) if each.order.subject == subject), None)

    def learn(self, decided: Decided) -> list[Decided]:
        """Take a decided order; those that are in now, in order. Repeats and gaps are harmless."""
        if decided.revision > self.revision and len(self.ahead) < MOST_AHEAD:
            self.ahead.setdefault(decided.revision, decided.order)
        return self.catch_up()

    def catch_up(self) -> list[Decided]:
        entered: list[Decided] = []
        while (order := self.ahead.pop(self.revision + 1, None)) is not None:
            entered.append(Decided(self.revision + 1, order))
            self.enter(entered[-1])
        return entered

    def enter(self, decided: Decided) -> None:
        order = decided.order
        self.revision = decided.revision
        if self.find(order.id):  # given twice, it is one order
            return
        while self.recent and next(iter(self.recent)) <= self.revision - MOST_RECENT:
            del self.recent[next(iter(self.recent))]
        self.recent[decided.revision] = decided
        if ended := order.verb.takes_back:
            self.in_force.pop((ended, order.subject), None)
            return
        self.in_force[order.verb, order.subject] = decided
        if len(self.in_force) > MOST_IN_FORCE:  # `judge` saw to it that one has lapsed; every book drops it
            lapsing = [key for key, each in self.in_force.items() if each.order.lapses_ms]
            oldest = min(lapsing or self.in_force, key=lambda key: self.in_force[key].order.lapses_ms)
            del self.in_force[oldest]

    def wanted(self, verb: Verb, now_ms: int) -> frozenset[str]:
        """The subjects of the orders of a verb that are in force and have not lapsed."""
        return frozenset(
            subject
            for (found, subject), decided in self.in_force.items()
            if found is verb and not lapsed(decided.order, now_ms)
        )

    def forget_lapsed(self, now_ms: int) -> None:
        """What has lapsed takes no place any more. What is in force is the same before and after."""
        self.in_force = {
            key: decided for key, decided in self.in_force.items() if not lapsed(decided.order, now_ms)
        }

    def judge(
        self, order: Order, now_ms: int, ready: Mapping[str, str], floor: int
    ) -> Refusal | Decided | None:
        """Whether the order may be proposed as the next revision: None if so.

        `ready` has the ready servers and their buildings, as discovery lists them; `floor` is how many of
        each building must be left. An order that stands already is given back as it was decided.
        """
        if known := self.find(order.id):
            return known
        if lapsed(order, now_ms):
            return Refusal(Why.LAPSED, "its time is over")
        if order.based_on < self.revision - MOST_RECENT:
            return Refusal(Why.CONFLICT, f"it is based on revision {order.based_on}; {self.revision} stands")
        winner = self.last_about(order.subject)
        if winner and winner.revision > order.based_on and winner.order.verb is not order.verb:
            by = winner.order
            return Refusal(
                Why.CONFLICT,
                f"{by.verb.value} by {by.issuer} stands at revision {winner.revision}: {by.reason}",
                winner,
            )
        standing = sum(not lapsed(each.order, now_ms) for each in self.in_force.values())
        if order.verb.takes_back is None and standing >= MOST_IN_FORCE:
            return Refusal(Why.FULL, f"{MOST_IN_FORCE} orders are in force")
        return self.judge_floor(order, now_ms, ready, floor) if order.verb is Verb.DRAIN else None

    def judge_floor(self, order: Order, now_ms: int, ready: Mapping[str, str], floor: int) -> Refusal | None:
        """A drain leaves each building its floor, unless it is forced."""
        building = ready.get(order.subject)
        if order.forced or building is None:  # one that is not ready is no loss
            return None
        drained = self.wanted(Verb.DRAIN, now_ms) | {order.subject}
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
        return Refusal(Why.FLOOR, text, winner)


def lapsed(order: Order, now_ms: int) -> bool:
    return bool(order.lapses_ms) and now_ms >= order.lapses_ms


class Overlay:
    """Discovery's list with the drains over it.

    It never adds a server that discovery has not named, and never undoes a drain of discovery's own.
    """

    def __init__(self) -> None:
        self.listed: dict[str, Endpoint] = {}  # as discovery has them
        self.version = self.seen_by = 0
        self.drained: frozenset[str] = frozenset()

    def over(self, server: Endpoint) -> Endpoint:
        """What the decision module is to see of a server."""
        if server.state is EndpointState.UP and server.name in self.drained:
            return replace(server, state=EndpointState.DRAINING)
        return server

    def on_list(self, news: EndpointListReceived) -> EndpointListReceived:
        """Discovery's news, as the module is to hear it."""
        if news.kind in (EndpointListKind.FULL, EndpointListKind.SAVED):
            self.listed = {}
        if news.kind is not EndpointListKind.FAILED:
            self.version, self.seen_by = news.version, news.sharing_proxies
        for server in news.endpoints:
            if server.state is EndpointState.REMOVED:
                self.listed.pop(server.name, None)
            else:
                self.listed[server.name] = server
        return replace(news, endpoints=tuple(map(self.over, news.endpoints)))

    def on_orders(self, drained: Iterable[str]) -> EndpointListReceived | None:
        """The servers that are to be drained from now on; changes for the module, or None."""
        before, self.drained = self.drained, frozenset(drained)
        changed = [
            self.over(server)
            for name, server in self.listed.items()
            if server.state is EndpointState.UP and (name in before) != (name in self.drained)
        ]
        if not changed:
            return None
        return EndpointListReceived(EndpointListKind.CHANGES, self.version, tuple(changed), self.seen_by)
