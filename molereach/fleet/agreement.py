"""Agreement of the agents on the order of each revision: one instance of single-decree Paxos per revision.

Source: Lamport, "Paxos Made Simple" (2001), sections 2.2 to 2.4. The agents are the acceptors; the
command-line tool that submits an order is the proposer. An order is decided once a majority of all agents has
accepted it, so two tools cannot both succeed at one revision, and the next tool completes an agreement that a
killed tool has started. An acceptor must store its state (`Acceptor.state`) on disk before it replies.

Class names of messages are their tags on the wire, and docstrings of messages are published in the API's
description (`agent/openapi.json`); neither may change. `Prepare`, `Accept` and `Accepted` are published
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


class AcceptorState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an acceptor has promised and accepted at `revision`; it must survive a restart."""

    revision: int = 0
    promised: Ballot | None = None
    accepted_at: Ballot | None = None
    accepted: Order | None = None


class Acceptor:
    """An agent's acceptor: accepts at most one order per ballot, and none below the promised ballot.

    `state` is what it promised and accepted at one revision; `order_state` holds the decided orders. Both
    must survive a restart.
    """

    def __init__(
        self, state: AcceptorState = AcceptorState(), record: OrderStateRecord = OrderStateRecord()
    ) -> None:
        """Start from the stored state: `state`, and `record` for the decided orders."""
        self.state = state
        self.order_state = OrderState(record)

    def handle(self, message: Message) -> list[Message]:
        """Handle one message; return the replies. A message that is itself a reply gets none."""
        match message:
            case Known():
                self.record_decided(message)
                return []
            case Prepare() | Accept():
                if message.revision <= self.order_state.revision:
                    return [self.decided_since(message.revision)]
                if message.revision > self.order_state.revision + 1:
                    return [Behind(self.order_state.revision + 1)]
                return self.prepare(message) if isinstance(message, Prepare) else self.accept(message)
            case _:
                return []

    def record_decided(self, known: Known) -> None:
        """Apply the decided orders, or the whole order state, in a message."""
        if known.base:
            self.order_state.adopt(known.base)
        for decided in known.decided:
            self.order_state.record_decided(decided)

    def decided_since(self, first: int) -> Known:
        """Return decided orders from revision `first` on, or the whole order state if one is not stored."""
        last = min(self.order_state.revision, first + MAX_DECIDED_PER_REPLY - 1)
        recent = self.order_state.recent
        if any(revision not in recent for revision in range(first, last + 1)):
            return Known(base=self.order_state.to_record())
        return Known(tuple(recent[revision] for revision in range(first, last + 1)))

    def pending(self) -> Order | None:
        """Return the order that this agent has accepted and does not know to be decided."""
        return self.state_at(self.order_state.revision + 1).accepted

    def state_at(self, revision: int) -> AcceptorState:
        """Return the acceptor state at a revision; a promise for an earlier revision does not apply to it."""
        return self.state if self.state.revision == revision else AcceptorState(revision)

    def prepare(self, message: Prepare) -> list[Message]:
        """Promise to accept nothing below the ballot, unless a higher ballot has been promised."""
        state = self.state_at(message.revision)
        if state.promised and state.promised > message.ballot:
            return [Outbid(message.revision, message.ballot, state.promised)]
        self.state = AcceptorState(message.revision, message.ballot, state.accepted_at, state.accepted)
        return [Promise(message.revision, message.ballot, state.accepted_at, state.accepted)]

    def accept(self, message: Accept) -> list[Message]:
        """Accept the order, unless a higher ballot has been promised."""
        state = self.state_at(message.revision)
        if state.promised and state.promised > message.ballot:
            return [Outbid(message.revision, message.ballot, state.promised)]
        self.state = AcceptorState(message.revision, message.ballot, message.ballot, message.order)
        return [Accepted(message.revision, message.ballot)]


# --- proposer ---


class Phase(Enum):
    """The phase of a proposer; `DONE` and `LOST` are final."""

    PREPARING = "preparing"
    ACCEPTING = "accepting"
    DONE = "done"  # its own order is decided
    LOST = "lost"  # another order is decided at the revision


@dataclass(slots=True)
class Proposer:
    """Proposes one order at one revision; each message that it returns is to be sent to all agents.

    In the phases `DONE` and `LOST`, `outcome` is the order that is decided at the revision. If an agent sent
    its whole order state, because it no longer has the single orders, `later_state` is that state. It may not
    tell which order was decided at the revision: if it names this proposer's own order, the phase is `DONE`
    and `outcome` is that order; otherwise the phase is `LOST` and `outcome` is None. A proposer that lost may
    validate its order against the newer state and propose it at the next revision.
    """

    name: str
    agents: tuple[str, ...]
    order: Order
    revision: int
    ballot: Ballot = field(init=False)
    phase: Phase = Phase.PREPARING
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)
    proposed: Order | None = None  # the order in `Accept`: its own, or one accepted before
    outcome: Decided | None = None
    later_state: OrderStateRecord | None = None
    highest_promised: int = 0  # the highest ballot number that an `Outbid` named

    def __post_init__(self) -> None:
        """Set a ballot that is never sent; `begin` uses a higher one."""
        self.ballot = Ballot(1, self.name)

    @property
    def finished(self) -> bool:
        """Whether an order is decided at the revision, be it `order` or another one."""
        return self.phase in (Phase.DONE, Phase.LOST)

    @property
    def majority(self) -> int:
        """The number of agents that must accept."""
        return len(self.agents) // 2 + 1

    def begin(self) -> list[Message]:
        """Start or restart with a ballot above all known ones; return the messages to all agents."""
        if self.finished:
            return []
        number = min(MAX_BALLOT_NUMBER, max(self.ballot.number, self.highest_promised) + 1)
        self.ballot = Ballot(number, self.name)
        self.phase = Phase.PREPARING
        self.promises = {}
        self.accepted_by = set()
        self.proposed = None
        return [Prepare(self.revision, self.ballot)]

    def handle(self, agent: str, message: Message) -> list[Message]:
        """Handle an agent's reply; return the messages to all agents."""
        if self.finished or agent not in self.agents:
            return []
        match message:
            case Known():
                return self.on_known(message)
            case Outbid() if message.ballot == self.ballot:
                self.highest_promised = max(self.highest_promised, message.promised.number)
            case Promise() if message.ballot == self.ballot and self.phase is Phase.PREPARING:
                return self.on_promise(agent, message)
            case Accepted() if message.ballot == self.ballot and self.phase is Phase.ACCEPTING:
                self.accepted_by.add(agent)
                if len(self.accepted_by) >= self.majority and self.proposed:
                    return self.finish(Decided(self.revision, self.proposed))
            case _:
                pass
        return []

    def on_promise(self, agent: str, message: Promise) -> list[Message]:
        """Record a promise; once a majority has promised, ask all agents to accept."""
        self.promises[agent] = message
        if len(self.promises) < self.majority:
            return []
        # An order that a majority may already have accepted must be proposed again, whoever proposed it.
        # It is the one accepted at the highest ballot that the promises name (section 2.2 of the source).
        accepted_before = [
            (promise.accepted_at, promise.accepted)
            for promise in self.promises.values()
            if promise.accepted_at and promise.accepted
        ]
        self.proposed = max(accepted_before, key=lambda pair: pair[0])[1] if accepted_before else self.order
        self.phase = Phase.ACCEPTING
        return [Accept(self.revision, self.ballot, self.proposed)]

    def on_known(self, message: Known) -> list[Message]:
        """End if the revision is decided, and forward the decision to all agents."""
        for decided in message.decided:
            if decided.revision == self.revision:
                return self.finish(decided)
        if message.base and message.base.revision >= self.revision:
            self.outcome = OrderState(message.base).find(self.order.id)
            self.phase = Phase.DONE if self.outcome else Phase.LOST
            self.later_state = message.base
            return [Known(base=message.base)]
        return []

    def finish(self, decided: Decided) -> list[Message]:
        """End with the order that is decided at the revision; return it as a message to all agents."""
        self.outcome = decided
        self.phase = Phase.DONE if decided.order.id == self.order.id else Phase.LOST
        return [Known((decided,))]
