"""Agreement of the agents on one order for each revision: single-decree Paxos, one instance for each.

Source: Lamport, "Paxos Made Simple" (2001), sections 2.2 to 2.4. The agents are the acceptors; the tool that
gives an order is the proposer. An order is decided when a majority of all agents has accepted it, so two
tools cannot both succeed at one revision, and the next tool completes what a killed one has begun. An
acceptor's state must be on disk before its reply is sent: `Acceptor.state` is what to write.

Class names of messages are their tags on the wire, and docstrings of messages are published in the API's
description (`agent/openapi.json`): neither may change. `Prepare`, `Accept` and `Accepted` are published
without a description.
"""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from molereach.fleet.order_state import OrderState
from molereach.fleet.orders import Decided, Order, OrderStateRecord

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
    """A message between a tool and an agent."""


class Prepare(AgreementMessage, frozen=True):  # noqa: D101  (published without a description)
    revision: int
    ballot: Ballot


class Promise(AgreementMessage, frozen=True):
    """Nothing under this ballot will be accepted; and what was accepted before, if anything."""

    revision: int
    ballot: Ballot
    accepted_at: Ballot | None = None
    accepted: Order | None = None


class Accept(AgreementMessage, frozen=True):  # noqa: D101  (as `Prepare`)
    revision: int
    ballot: Ballot
    order: Order


class Accepted(AgreementMessage, frozen=True):  # noqa: D101  (as `Prepare`)
    revision: int
    ballot: Ballot


class Outbid(AgreementMessage, frozen=True):
    """A higher ballot was promised."""

    revision: int
    ballot: Ballot  # of the request
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


# --- acceptor ---


class Promised(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The state of an acceptor about the revision under way, which must survive a restart."""

    revision: int = 0
    promised: Ballot | None = None
    accepted_at: Ballot | None = None
    accepted: Order | None = None


class Acceptor:
    """An agent as an acceptor: accepts one order at most for each ballot, and none below its promise.

    `state` and `order_state` must survive a restart.
    """

    def __init__(self, state: Promised = Promised(), record: OrderStateRecord = OrderStateRecord()) -> None:
        """Start from stored state."""
        self.state = state
        self.order_state = OrderState(record)

    def handle(self, message: Message) -> list[Message]:
        """Handle one message; return the replies to it. Messages that are replies themselves get none."""
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
        """Add orders that were decided elsewhere."""
        if known.base:
            self.order_state.adopt(known.base)
        for decided in known.decided:
            self.order_state.record_decided(decided)

    def known(self, since: int) -> Known:
        """Return the decided orders from revision `since` on, or the whole state if some are forgotten."""
        last = min(self.order_state.revision, since + MAX_DECIDED_PER_REPLY - 1)
        recent = self.order_state.recent
        if any(revision not in recent for revision in range(since, last + 1)):
            return Known(base=self.order_state.to_record())
        return Known(tuple(recent[revision] for revision in range(since, last + 1)))

    def pending(self) -> Order | None:
        """Return the order that was accepted here and is not known to be decided."""
        return self.current(self.order_state.revision + 1).accepted

    def current(self, revision: int) -> Promised:
        """Return the promise for a revision; one for an earlier revision does not bind it."""
        return self.state if self.state.revision == revision else Promised(revision)

    def prepare(self, message: Prepare) -> list[Message]:
        """Promise to accept nothing below the ballot, unless a higher one has been promised."""
        current = self.current(message.revision)
        if current.promised and current.promised > message.ballot:
            return [Outbid(message.revision, message.ballot, current.promised)]
        self.state = Promised(message.revision, message.ballot, current.accepted_at, current.accepted)
        return [Promise(message.revision, message.ballot, current.accepted_at, current.accepted)]

    def accept(self, message: Accept) -> list[Message]:
        """Accept the order, unless a higher ballot has been promised."""
        current = self.current(message.revision)
        if current.promised and current.promised > message.ballot:
            return [Outbid(message.revision, message.ballot, current.promised)]
        self.state = Promised(message.revision, message.ballot, message.ballot, message.order)
        return [Accepted(message.revision, message.ballot)]


# --- proposer ---


class Phase(Enum):
    """The phase of a proposer."""

    PREPARING = "preparing"
    ACCEPTING = "accepting"
    DONE = "done"  # its own order is decided
    LOST = "lost"  # another order is decided at the revision


@dataclass(slots=True)
class Proposer:
    """Proposes one order at one revision; its messages are for all agents.

    After `DONE` or `LOST` either `outcome` is what is decided at the revision, or `overtaken` is a state past
    it, in which the outcome is no longer known. A tool that lost may validate its order against that state
    and propose it at the next revision.
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
    overtaken: OrderStateRecord | None = None
    outbid: int = 0  # the highest ballot number that was received

    def __post_init__(self) -> None:
        """Start below the first ballot."""
        self.ballot = Ballot(1, self.name)

    @property
    def finished(self) -> bool:
        """Whether the proposer has ended, with its own order or another one."""
        return self.phase in (Phase.DONE, Phase.LOST)

    @property
    def majority(self) -> int:
        """The number of agents that must accept."""
        return len(self.agents) // 2 + 1

    def begin(self) -> list[Message]:
        """Start or restart with a ballot above all known ones; return the message to all agents."""
        if self.finished:
            return []
        number = min(MAX_BALLOT_NUMBER, max(self.ballot.number, self.outbid) + 1)
        self.ballot = Ballot(number, self.name)
        self.phase = Phase.PREPARING
        self.promises = {}
        self.accepts = set()
        self.chosen = None
        return [Prepare(self.revision, self.ballot)]

    def handle(self, agent: str, message: Message) -> list[Message]:
        """Handle an agent's reply; return the messages to all agents."""
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
        """Go on to accepting once a majority has promised."""
        self.promises[agent] = message
        if len(self.promises) < self.majority:
            return []
        # An order that a majority may have accepted must be completed, whoever proposed it: the promise with
        # the highest ballot names it (section 2.2 of the source).
        earlier = [
            (promise.accepted_at, promise.accepted)
            for promise in self.promises.values()
            if promise.accepted_at and promise.accepted
        ]
        self.chosen = max(earlier, key=lambda pair: pair[0])[1] if earlier else self.order
        self.phase = Phase.ACCEPTING
        return [Accept(self.revision, self.ballot, self.chosen)]

    def on_known(self, message: Known) -> list[Message]:
        """End if the revision is decided, and pass on what is known to all agents."""
        for decided in message.decided:
            if decided.revision == self.revision:
                return self.settle(decided)
        if message.base and message.base.revision >= self.revision:
            self.outcome = OrderState(message.base).find(self.order.id)
            self.phase = Phase.DONE if self.outcome else Phase.LOST
            self.overtaken = message.base
            return [Known(base=message.base)]
        return []

    def settle(self, decided: Decided) -> list[Message]:
        """End with what is decided at the revision."""
        self.outcome = decided
        self.phase = Phase.DONE if decided.order.id == self.order.id else Phase.LOST
        return [Known((decided,))]
