"""One state machine on a log of its own, with sessions beside it: entries made in a line."""

from collections.abc import Iterable, Sequence

import msgspec

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.leases.bodies import CloseSession, EndSession, OpenSession
from molereach.coordination.leases.bodies import encode as encode_session
from molereach.coordination.leases.sessions import EndedSession, SessionRegistry
from molereach.upkeep.permits.bodies import Ask, Back, Body, Move, Out, Seen, Stand, Word, encode
from molereach.upkeep.permits.lifecycle import State, Step
from molereach.upkeep.permits.proof import needed
from molereach.upkeep.permits.record import Record
from molereach.upkeep.permits.state_machine import Upkeep
from molereach.upkeep.requests.work_item import MINUTE_MS, Work
from molereach.upkeep.rules.fleet_facts import Facts
from molereach.upkeep.rules.settings import UpkeepSettings
from tests.upkeep.builders import LOOSE, NOON_MS, doors, servers

A, B, C = NodeInstance("a", 1), NodeInstance("b", 1), NodeInstance("c", 1)
FLEET = Facts(servers=servers(6), doors=doors(9), panel=("d0", "d1", "d2", "d3", "d4"))


class LoneSessions(SessionRegistry):
    """With what a proof asks beside: who may serve on without a session."""

    def lone(self) -> list[EndedSession]:
        found = [past for door in self._nodes.values() if not door.active and (past := door.ended[-1])]
        return [past for past in found if past.evidence is ClearanceEvidence.SESSION_EXPIRED]


class Logged:
    """Positions and times go on by themselves; `at_ms` may be set ahead."""

    def __init__(self, settings: UpkeepSettings = LOOSE, machine: type[Upkeep] = Upkeep) -> None:
        self.sessions = LoneSessions()
        self.machine = machine(settings, self.sessions)
        self.book = self.machine.book
        self.position, self.at_ms = 0, NOON_MS

    def entry(self, machine: str, body: bytes, by: NodeInstance = A) -> Entry:
        self.position += 1
        return Entry(self.position, machine, f"id{self.position}", by, self.at_ms, body)

    def put(self, body: Body, by: NodeInstance = A) -> Outcome:
        return self.machine.apply(self.entry("upkeep", encode(body), by))

    def ok(self, body: Body, by: NodeInstance = A) -> Record | None:
        outcome = self.put(body, by)
        assert outcome.error == ""
        return msgspec.json.decode(outcome.value, type=Record) if outcome.value else None

    def error(self, body: Body, by: NodeInstance = A) -> str:
        """And nothing has changed."""
        before = self.machine.snapshot()
        outcome = self.put(body, by)
        assert outcome.error and "\n" not in outcome.error and self.machine.snapshot() == before
        return outcome.error

    # --- sessions ---

    def open(self, *lives: NodeInstance) -> None:
        for life in lives:
            assert not self.sessions.apply(
                self.entry("sessions", encode_session(OpenSession(life)), life)
            ).error

    def over(self, life: NodeInstance) -> int:
        fence = self.fence(life)
        assert not self.sessions.apply(
            self.entry("sessions", encode_session(EndSession(life, fence, 0)))
        ).error
        return self.position

    def close(self, life: NodeInstance) -> None:
        body = encode_session(CloseSession(life, self.fence(life)))
        assert not self.sessions.apply(self.entry("sessions", body, life)).error

    def fence(self, life: NodeInstance) -> int:
        opened = self.sessions.active_session(life.name)
        assert opened is not None and opened.instance == life
        return opened.fencing_token

    # --- works ---

    def seen(self, facts: Facts = FLEET, age_ms: int = 0) -> None:
        self.ok(Seen(1, 0, 1, age_ms, facts.servers, facts.doors, facts.panel, facts.spares, facts.ordered))

    def ask(self, *works: Work) -> None:
        for each in works:
            self.ok(Ask(each))

    def record(self, id: str = "w") -> Record:
        record = self.book.get(id)
        assert record is not None
        return record

    def move(self, step: Step, id: str = "w") -> None:
        self.ok(Move(id, step, self.record(id).begun))

    def refused(self, step: Step, id: str = "w") -> str:
        return self.error(Move(id, step, self.record(id).begun))

    def proof(self, id: str = "w", said: int | None = None) -> tuple[Word, ...]:
        """As if all that are open had said so by now."""
        now = self.position if said is None else said
        return tuple(
            Word(each.fencing_token, each.evidence, each.position)
            if isinstance(each, EndedSession)
            else Word(each.fencing_token, ClearanceEvidence.REPORTED, now)
            for each in needed(self.sessions, self.record(id).begun)
        )

    def out(self, id: str = "w", proof: Sequence[Word] | None = None) -> Outcome:
        words = self.proof(id) if proof is None else tuple(proof)
        return self.put(Out(id, self.record(id).begun, words))

    def to(self, state: State, id: str = "w") -> Record:
        """Walk a work, which has been asked for, to a state by the straight way."""
        self.seen()
        for step in WAYS[state]:
            if step is Step.OUT:
                assert self.out(id).error == ""
            elif step is Step.BACK:
                self.ok(Back(id, self.record(id).permit, self.record(id).work.machine))
                self.seen()
            else:
                if step in (Step.OVERDUE, Step.LOST):
                    self.at_ms += 24 * 60 * MINUTE_MS
                self.move(step, id)
                self.seen()
        return self.record(id)


_LEAVE = (Step.QUEUE, Step.DRAIN)
_OUT = (*_LEAVE, Step.EMPTY, Step.OUT)
WAYS: dict[State, tuple[Step, ...]] = {
    State.ASKED: (),
    State.QUEUED: (Step.QUEUE,),
    State.DRAINING: _LEAVE,
    State.EMPTY: (*_LEAVE, Step.EMPTY),
    State.OUT: _OUT,
    State.BACK: (*_OUT, Step.BACK),
    State.WARM: (*_OUT, Step.BACK, Step.WARM),
    State.DONE: (*_OUT, Step.BACK, Step.WARM, Step.DONE),
    State.WITHDRAWN: (Step.WITHDRAW,),
    State.OVERDUE: (*_OUT, Step.OVERDUE),
    State.LOST: (*_OUT, Step.OVERDUE, Step.LOST),
}


def logged(
    *works: Work, settings: UpkeepSettings = LOOSE, lives: Iterable[NodeInstance] = (A, B, C)
) -> Logged:
    """Sessions open, facts seen, works asked for."""
    log = Logged(settings)
    log.open(*lives)
    log.seen()
    log.ask(*works)
    return log


def stand(*names: str) -> Stand:
    return Stand(names)
