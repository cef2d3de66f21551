"""How agents agree on one order for each revision: single-decree Paxos, one instance a revision.

Source: Lamport, "Paxos Made Simple" (2001), sections 2.2 to 2.4. The agents are the acceptors; the tool that
gives an order is the proposer. An order takes hold when a majority of all agents has accepted it, so two
tools cannot both succeed at one revision, and a tool that dies half way leaves what the next one finishes. An
acceptor's state must be on disk before its reply leaves: `Acceptor.state` is what to write.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from molereach.fleet.orders import Book, Decided, Order

MOST_TOLD = 64  # decided orders in one reply
MOST_BALLOT = 1 << 32


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """A try at a revision; each proposer's are its own, so no two are equal."""

    number: int
    proposer: str


# --- messages ---


@dataclass(frozen=True, slots=True)
class Prepare:
    revision: int
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Promise:
    """Nothing under this ballot will be accepted; and what was accepted before, if anything."""

    revision: int
    ballot: Ballot
    accepted_at: Ballot | None = None
    accepted: Order | None = None


@dataclass(frozen=True, slots=True)
class Accept:
    revision: int
    ballot: Ballot
    order: Order


@dataclass(frozen=True, slots=True)
class Accepted:
    revision: int
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Outbid:
    """A higher ballot was promised."""

    revision: int
    ballot: Ballot  # of what was asked
    promised: Ballot


@dataclass(frozen=True, slots=True)
class Known:
    """Decided orders, for one that is behind; an answer to whatever is about a revision that is decided."""

    decided: tuple[Decided, ...]


@dataclass(frozen=True, slots=True)
class Behind:
    """The acceptor lacks the revisions from here on, and cannot judge a later one."""

    next_revision: int


Message = Prepare | Promise | Accept | Accepted | Outbid | Known | Behind


# --- an agent ---


@dataclass(frozen=True, slots=True)
class Promised:
    """What an acceptor must not forget about the revision under way."""

    revision: int = 0
    promised: Ballot | None = None
    accepted_at: Ballot | None = None
    accepted: Order | None = None


class Acceptor:
    """One agent's part: at most one order accepted at a ballot, and none under a promise.

    `log` holds all decided orders that it may be asked for; `state` and `log` outlive a restart.
    """

    def __init__(self, state: Promised = Promised(), log: Iterable[Decided] = ()) -> None:
        self.state, self.book = state, Book()
        self.log: dict[int, Order] = {}
        for decided in log:
            self.learn(decided)

    def learn(self, decided: Decided) -> list[Decided]:
        """A decided order; those that are in the book now."""
        self.log.setdefault(decided.revision, decided.order)
        return self.book.learn(decided)

    def handle(self, message: Message) -> list[Message]:
        """The replies to one message. Those that are replies themselves say nothing to an acceptor."""
        match message:
            case Known():
                for decided in message.decided:
                    self.learn(decided)
                return []
            case Prepare() | Accept():
                if message.revision <= self.book.revision:
                    return [self.known(message.revision)]
                if message.revision > self.book.revision + 1:
                    return [Behind(self.book.revision + 1)]
                return self.prepare(message) if isinstance(message, Prepare) else self.accept(message)
            case _:
                return []

    def known(self, since: int) -> Known:
        last = min(self.book.revision, since + MOST_TOLD - 1)
        return Known(tuple(Decided(revision, self.log[revision])
                           for revision in range(since, last + 1) if revision in self.log))

    def current(self, revision: int) -> Promised:
        """What was promised about the revision under way; of an earlier one nothing holds any more."""
        return self.state if self.state.revision == revision else Promised(revision)

    def prepare(self, message: Prepare) -> list[Message]:
        now = self.current(message.revision)
        if now.promised and now.promised > message.ballot:
            return [Outbid(message.revision, message.ballot, now.promised)]
        self.state = Promised(message.revision, message.ballot, now.accepted_at, now.accepted)
        return [Promise(message.revision, message.ballot, now.accepted_at, now.accepted)]

    def accept(self, message: Accept) -> list[Message]:
        now = self.current(message.revision)
        if now.promised and now.promised > message.ballot:
            return [Outbid(message.revision, message.ballot, now.promised)]
        self.state = Promised(message.revision, message.ballot, message.ballot, message.order)
        return [Accepted(message.revision, message.ballot)]


# --- a tool ---


class Phase(Enum):
    """Where a proposer stands."""

    PREPARING = "preparing"
    ACCEPTING = "accepting"
    DONE = "done"  # its own order stands
    LOST = "lost"  # another order stands at the revision that it wanted


@dataclass(slots=True)
class Proposer:
    """Gives one order at one revision; `messages` are for all agents unless one is named.

    After `DONE` or `LOST` `outcome` is what stands at the revision. A tool that lost may look at the book,
    judge its order anew, and propose it at the next revision.
    """

    name: str
    agents: tuple[str, ...]
    order: Order
    revision: int
    ballot: Ballot = field(init=False)
    phase: Phase = Phase.PREPARING
    promises: dict[str, Promise] = field(default_factory=dict)
    accepts: set[str] = field(default_factory=set)
    chosen: Order | None = None
    outcome: Decided | None = None
    outbid: int = 0  # the highest number heard of

    def __post_init__(self) -> None:
        self.ballot = Ballot(1, self.name)

    @property
    def majority(self) -> int:
        return len(self.agents) // 2 + 1

    def begin(self) -> list[Message]:
        """Ask all agents; also to try again after a time, with a ballot above all that were heard of."""
        if self.outcome:
            return []
        number = min(MOST_BALLOT, max(self.ballot.number, self.outbid) + 1)
        self.ballot, self.phase = Ballot(number, self.name), Phase.PREPARING
        self.promises, self.accepts, self.chosen = {}, set(), None
        return [Prepare(self.revision, self.ballot)]

    def handle(self, agent: str, message: Message) -> list[Message]:
        """A reply of an agent; what to send to all of them now."""
        if self.outcome or agent not in self.agents:
            return []
        match message:
            case Known():
                return self.on_known(message)
            case Outbid() if message.ballot == self.ballot:
                self.outbid = max(self.outbid, message.promised.number)
            case Promise() if message.ballot == self.ballot and self.phase is Phase.PREPARING:
                return self.on_promise(agent, message)
            case Accepted() if message.ballot == self.ballot and self.phase is Phase.ACCEPTING:
                self.accepts.add(agent)
                if len(self.accepts) >= self.majority and self.chosen:
                    return self.settle(Decided(self.revision, self.chosen))
            case _:
                pass
        return []

    def on_promise(self, agent: str, message: Promise) -> list[Message]:
        self.promises[agent] = message
        if len(self.promises) < self.majority:
            return []
        # What a majority may have accepted already must be finished, whoever gave it.
        earlier = [(promise.accepted_at, promise.accepted) for promise in self.promises.values()
                   if promise.accepted_at and promise.accepted]
        self.chosen = max(earlier, key=lambda pair: pair[0])[1] if earlier else self.order
        self.phase = Phase.ACCEPTING
        return [Accept(self.revision, self.ballot, self.chosen)]

    def on_known(self, message: Known) -> list[Message]:
        for decided in message.decided:
            if decided.revision == self.revision:
                return self.settle(decided)
        return []

    def settle(self, decided: Decided) -> list[Message]:
        self.outcome = decided
        self.phase = Phase.DONE if decided.order.id == self.order.id else Phase.LOST
        return [Known((decided,))]
