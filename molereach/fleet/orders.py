"""Orders for front doors, the book of those that were decided, and what they do to the list of servers.

An order only takes away. The book is the same at whoever has the same revisions, in whatever order and
however often they came. The decision module sees discovery's list with the orders over it, as ordinary list
events.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from fennelwinch import interface as i

MOST_NAME = 64  # characters of an id, a subject or an issuer
MOST_REASON = 256
MOST_REMEMBERED = 1024  # ids of decided orders, so that one given again is known
MOST_AHEAD = 256  # decided orders that wait for those before them
MOST_IN_FORCE = 512  # wanted orders at once


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


@dataclass(frozen=True, slots=True)
class Order:
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
        for name, text, most in (("id", self.id, MOST_NAME), ("subject", self.subject, MOST_NAME),
                                 ("issuer", self.issuer, MOST_NAME), ("reason", self.reason, MOST_REASON)):
            if not text or len(text) > most or not text.isprintable():
                raise OrderError(f"{name}: not 1 to {most} printable characters")
        if self.based_on < 0 or self.lapses_ms < 0:
            raise OrderError("based_on and lapses_ms: not below 0")


@dataclass(frozen=True, slots=True)
class Decided:
    """An order that stands at a revision, at every agent alike."""

    revision: int
    order: Order


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

    def __init__(self) -> None:
        self.revision = 0  # all up to here are in
        self.in_force: dict[tuple[Verb, str], Decided] = {}
        self.last: dict[str, Decided] = {}  # by subject: the latest order about it, for those who lose to it
        self.ids: OrderedDict[str, Decided] = OrderedDict()
        self.ahead: dict[int, Order] = {}

    def learn(self, decided: Decided) -> list[Decided]:
        """Take a decided order; those that are in now, in order. Repeats and gaps are harmless."""
        if decided.revision > self.revision and len(self.ahead) < MOST_AHEAD:
            self.ahead.setdefault(decided.revision, decided.order)
        entered: list[Decided] = []
        while (order := self.ahead.pop(self.revision + 1, None)) is not None:
            entered.append(Decided(self.revision + 1, order))
            self.enter(entered[-1])
        return entered

    def enter(self, decided: Decided) -> None:
        order = decided.order
        self.revision = decided.revision
        if order.id in self.ids:  # given twice, it is one order
            return
        self.ids[order.id] = decided
        while len(self.ids) > MOST_REMEMBERED:
            self.ids.popitem(last=False)
        self.last.pop(order.subject, None)
        self.last[order.subject] = decided
        while len(self.last) > MOST_REMEMBERED:
            del self.last[next(iter(self.last))]
        if ended := order.verb.takes_back:
            self.in_force.pop((ended, order.subject), None)
        else:
            self.in_force[order.verb, order.subject] = decided

    def wanted(self, verb: Verb, now_ms: int) -> frozenset[str]:
        """The subjects of the orders of a verb that are in force and have not lapsed."""
        return frozenset(subject for (found, subject), decided in self.in_force.items()
                         if found is verb and not lapsed(decided.order, now_ms))

    def forget_lapsed(self, now_ms: int) -> None:
        """What has lapsed takes no place any more. What is in force is the same before and after."""
        self.in_force = {key: decided for key, decided in self.in_force.items()
                         if not lapsed(decided.order, now_ms)}

    def judge(
        self, order: Order, now_ms: int, ready: Mapping[str, str], floor: int
    ) -> Refusal | Decided | None:
        """Whether the order may be proposed as the next revision: None if so.

        `ready` has the ready servers and their buildings, as discovery lists them; `floor` is how many of
        each building must be left. An order that stands already is given back as it was decided.
        """
        if known := self.ids.get(order.id):
            return known
        if lapsed(order, now_ms):
            return Refusal(Why.LAPSED, "its time is over")
        winner = self.last.get(order.subject)
        if winner and winner.revision > order.based_on and winner.order.verb is not order.verb:
            by = winner.order
            return Refusal(Why.CONFLICT, f"{by.verb.value} by {by.issuer} stands at revision "
                                         f"{winner.revision}: {by.reason}", winner)
        if order.verb.takes_back is None and len(self.in_force) >= MOST_IN_FORCE:
            return Refusal(Why.FULL, f"{MOST_IN_FORCE} orders are in force")
        return self.judge_floor(order, now_ms, ready, floor) if order.verb is Verb.DRAIN else None

    def judge_floor(
        self, order: Order, now_ms: int, ready: Mapping[str, str], floor: int
    ) -> Refusal | None:
        """A drain leaves each building its floor, unless it is forced."""
        building = ready.get(order.subject)
        if order.forced or building is None:  # one that is not ready is no loss
            return None
        drained = self.wanted(Verb.DRAIN, now_ms) | {order.subject}
        left = sum(where == building and name not in drained for name, where in ready.items())
        if left >= floor:
            return None
        others = [decided for (verb, name), decided in self.in_force.items()
                  if verb is Verb.DRAIN and ready.get(name) == building and name != order.subject]
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
        self.listed: dict[str, i.Server] = {}  # as discovery has them
        self.version = 0
        self.drained: frozenset[str] = frozenset()

    def over(self, server: i.Server) -> i.Server:
        """What the decision module is to see of a server."""
        if server.state is i.ServerState.UP and server.name in self.drained:
            return replace(server, state=i.ServerState.DRAINING)
        return server

    def on_list(self, news: i.ServerList) -> i.ServerList:
        """Discovery's news, as the module is to hear it."""
        if news.kind in (i.ListKind.FULL, i.ListKind.SAVED):
            self.listed = {}
        if news.kind is not i.ListKind.FAILED:
            self.version = news.version
        for server in news.servers:
            if server.state is i.ServerState.GONE:
                self.listed.pop(server.name, None)
            else:
                self.listed[server.name] = server
        return replace(news, servers=tuple(map(self.over, news.servers)))

    def on_orders(self, drained: Iterable[str]) -> i.ServerList | None:
        """The servers that are to be drained from now on; changes for the module, or None."""
        before, self.drained = self.drained, frozenset(drained)
        changed = [self.over(server) for name, server in self.listed.items()
                   if server.state is i.ServerState.UP and (name in before) != (name in self.drained)]
        return i.ServerList(i.ListKind.CHANGES, self.version, tuple(changed)) if changed else None
