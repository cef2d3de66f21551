"""How agents agree on one order for each revision: single-decree Paxos, one instance a revision.

Source: Lamport, "Paxos Made Simple" (2001), sections 2.2 to 2.4. The agents are the acceptors; the tool that
gives an order is the proposer. An order takes hold when a majority of all agents has accepted it, so two
tools cannot both succeed at one revision, and a tool that dies half way leaves what the next one finishes. An
acceptor's state must be on disk before its reply leaves: `Acceptor.state` is what to write.
"""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from molereach.fleet.orders import Decided, Order, OrderState, OrderStateRecord

MAX_DECIDED_PER_REPLY = 64  # decided orders in one reply
MAX_BALLOT_NUMBER = 1 << 32


class Ballot(msgspec.Struct, frozen=True, order=True, forbid_unknown_fields=True):
    """A try at a revision.

    No two proposals may carry the same one, so a proposer's name is drawn anew for each run of a tool, also
    where the same issuer gives the same order again.
    """

    number: int
    proposer: str


# --- messages ---


class AgreementMessage(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind", tag=str.lower
):
    """A message."""


class Prepare(AgreementMessage, frozen=True):
    revision: int
    ballot: Ballot


class Promise(AgreementMessage, frozen=True):
    """Nothing under this ballot will be accepted; and what was accepted before, if anything."""

    revision: int
    ballot: Ballot
    accepted_at: Ballot | None = None
    accepted: Order | None = None


class Accept(AgreementMessage, frozen=True):
    revision: int
    ballot: Ballot
    order: Order


class Accepted(AgreementMessage, frozen=True):
    revision: int
    ballot: Ballot


class Outbid(AgreementMessage, frozen=True):
    """A higher ballot was promised."""

    revision: int
    ballot: Ballot  # of what was asked
    promised: Ballot


class Known(AgreementMessage, frozen=True):
    """Decided orders, for one that is behind; an answer to whatever is about a revision that is decided.

    `base` is a whole book, where single orders would not do."""

    decided: tuple[Decided, ...] = ()
    base: OrderStateRecord | None = None


class Behind(AgreementMessage, frozen=True):
    """The acceptor lacks the revisions from here on, and cannot judge a later one."""

    next_revision: int


Message = Prepare | Promise | Accept | Accepted | Outbid | Known | Behind


# --- an agent ---


class Promised(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an acceptor must not forget about the revision under way."""

    revision: int = 0
    promised: Ballot | None = None
    accepted_at: Ballot | None = None
    accepted: Order | None = None


class Acceptor:
    """One agent's part: at most one order accepted at a ballot, and none under a promise.

    `state` and `book` outlive a restart.
    """

    def __init__(self, state: Promised = Promised(), book: OrderStateRecord = OrderStateRecord()) -> None:
        self.state, self.order_state = state, OrderState(book)

    def handle(self, message: Message) -> list[Message]:
        """The replies to one message. Those that are replies themselves say nothing to an acceptor."""
        match message:
            case Known():
                self.record_decided(message)
                return []
            case Prepare() | Accept():
                if message.revision <= self.order_state.revision:
                    return [self.known(message.revision)]
                if message.revision > self.order_state.revision + 1:
                    return [Behind(self.order_state.revision + 1)]
                return self.prepare(message) if isinstance(message, Prepare) else self.accept(message)
            case _:
                return []

    def record_decided(self, known: Known) -> None:
        """What was decided elsewhere."""
        if known.base:
            self.order_state.adopt(known.base)
        for decided in known.decided:
            self.order_state.record_decided(decided)

    def known(self, since: int) -> Known:
        last = min(self.order_state.revision, since + MAX_DECIDED_PER_REPLY - 1)
        recent = self.order_state.recent
        if any(revision not in recent for revision in range(since, last + 1)):
            return Known(base=self.order_state.to_record())
        return Known(tuple(recent[revision] for revision in range(since, last + 1)))

    def pending(self) -> Order | None:
        """An order that was accepted here and is not known to be decided."""
        return self.current(self.order_state.revision + 1).accepted

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
    """Gives one order at one revision; its messages are for all agents.

    After `DONE` or `LOST` `outcome` is what stands at the revision, or `overtaken` a book that is past it. A
    tool that lost may look at the book, judge its order anew, and propose it at the next revision.
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
    overtaken: OrderStateRecord | None = None  # a book that is past the revision, where no outcome is known
    outbid: int = 0  # the highest number heard of

    def __post_init__(self) -> None:
        self.ballot = Ballot(1, self.name)

    @property
    def finished(self) -> bool:
        return self.phase in (Phase.DONE, Phase.LOST)

    @property
    def majority(self) -> int:
        return len(self.agents) // 2 + 1

    def begin(self) -> list[Message]:
        """Ask all agents; also to try again after a time, with a ballot above all that were heard of."""
        if self.finished:
            return []
        number = min(MAX_BALLOT_NUMBER, max(self.ballot.number, self.outbid) + 1)
        self.ballot, self.phase = Ballot(number, self.name), Phase.PREPARING
        self.promises, self.accepts, self.chosen = {}, set(), None
        return [Prepare(self.revision, self.ballot)]

    def handle(self, agent: str, message: Message) -> list[Message]:
        """A reply of an agent; what to send to all of them now."""
        if self.finished or agent not in self.agents:
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
        earlier = [
            (promise.accepted_at, promise.accepted)
            for promise in self.promises.values()
            if promise.accepted_at and promise.accepted
        ]
        self.chosen = max(earlier, key=lambda pair: pair[0])[1] if earlier else self.order
        self.phase = Phase.ACCEPTING
        return [Accept(self.revision, self.ballot, self.chosen)]

    def on_known(self, message: Known) -> list[Message]:
        for decided in message.decided:
            if decided.revision == self.revision:
                return self.settle(decided)
        if message.base and message.base.revision >= self.revision:
            mine = OrderState(message.base).find(self.order.id)
            self.phase, self.outcome = (Phase.DONE if mine else Phase.LOST), mine
            self.overtaken = message.base
            return [Known(base=message.base)]
        return []

    def settle(self, decided: Decided) -> list[Message]:
        self.outcome = decided
        self.phase = Phase.DONE if decided.order.id == self.order.id else Phase.LOST
        return [Known((decided,))]
