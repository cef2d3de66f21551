"""A state machine on its own log, with sessions beside it, and short calls to add entries."""

from collections.abc import Iterable, Sequence

import msgspec

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.leases.bodies import CloseSession, EndSession, OpenSession
from molereach.coordination.leases.bodies import encode as encode_session
from molereach.coordination.leases.sessions import EndedSession, SessionRegistry
from molereach.upkeep.permits.bodies import (
    Body,
    GrantPermit,
    ReportFacts,
    ReportReturn,
    RequestMaintenance,
    SessionClearance,
    SetFallbackServers,
    TakeStep,
    encode,
)
from molereach.upkeep.permits.lifecycle import State, Step
from molereach.upkeep.permits.proof import sessions_to_clear
from molereach.upkeep.permits.record import ItemRecord
from molereach.upkeep.permits.state_machine import UpkeepStateMachine
from molereach.upkeep.requests.work_item import MINUTE_MS, WorkItem
from molereach.upkeep.rules.fleet_facts import FleetFacts
from molereach.upkeep.rules.settings import UpkeepSettings
from tests.upkeep.builders import NOON_MS, PERMISSIVE, proxies, servers

A, B, C = NodeInstance("a", 1), NodeInstance("b", 1), NodeInstance("c", 1)
FLEET_FACTS = FleetFacts(servers=servers(6), doors=proxies(9), panel=("d0", "d1", "d2", "d3", "d4"))


class ProofSessions(SessionRegistry):
    """A session registry that also lists the expired sessions that a proof must cover."""

    def expired_sessions(self) -> list[EndedSession]:
        ended_sessions = [
            ended for node in self._nodes.values() if not node.active and (ended := node.ended[-1])
        ]
        return [ended for ended in ended_sessions if ended.evidence is ClearanceEvidence.SESSION_EXPIRED]


class StateMachineLog:
    """Positions advance with each entry; `at_ms`, the time of entries, may be set forward."""

    def __init__(
        self, settings: UpkeepSettings = PERMISSIVE, machine: type[UpkeepStateMachine] = UpkeepStateMachine
    ) -> None:
        self.sessions = ProofSessions()
        self.machine = machine(settings, self.sessions)
        self.registry = self.machine.registry
        self.position, self.at_ms = 0, NOON_MS

    def entry(self, machine: str, body: bytes, proposer: NodeInstance = A) -> Entry:
        self.position += 1
        return Entry(self.position, machine, f"id{self.position}", proposer, self.at_ms, body)

    def apply(self, body: Body, proposer: NodeInstance = A) -> Outcome:
        return self.machine.apply(self.entry("upkeep", encode(body), proposer))

    def accept(self, body: Body, proposer: NodeInstance = A) -> ItemRecord | None:
        """Applies an entry that must be accepted."""
        outcome = self.apply(body, proposer)
        assert outcome.error == ""
        return msgspec.json.decode(outcome.value, type=ItemRecord) if outcome.value else None

    def reject(self, body: Body, proposer: NodeInstance = A) -> str:
        """Applies an entry that must be rejected in one line, and must change nothing."""
        before = self.machine.snapshot()
        outcome = self.apply(body, proposer)
        assert outcome.error and "\n" not in outcome.error and self.machine.snapshot() == before
        return outcome.error

    # --- sessions ---

    def open_sessions(self, *instances: NodeInstance) -> None:
        for instance in instances:
            assert not self.sessions.apply(
                self.entry("sessions", encode_session(OpenSession(instance)), instance)
            ).error

    def expire_session(self, instance: NodeInstance) -> int:
        fencing_token = self.fencing_token(instance)
        assert not self.sessions.apply(
            self.entry("sessions", encode_session(EndSession(instance, fencing_token, 0)))
        ).error
        return self.position

    def close_session(self, instance: NodeInstance) -> None:
        body = encode_session(CloseSession(instance, self.fencing_token(instance)))
        assert not self.sessions.apply(self.entry("sessions", body, instance)).error

    def fencing_token(self, instance: NodeInstance) -> int:
        active = self.sessions.active_session(instance.name)
        assert active is not None and active.instance == instance
        return active.fencing_token

    # --- work items ---

    def report_facts(self, facts: FleetFacts = FLEET_FACTS, age_ms: int = 0) -> None:
        self.accept(
            ReportFacts(1, 0, 1, age_ms, facts.servers, facts.doors, facts.panel, facts.spares, facts.ordered)
        )

    def request(self, *items: WorkItem) -> None:
        for each in items:
            self.accept(RequestMaintenance(each))

    def record(self, id: str = "w") -> ItemRecord:
        record = self.registry.get(id)
        assert record is not None
        return record

    def take_step(self, step: Step, id: str = "w") -> None:
        self.accept(TakeStep(id, step, self.record(id).begun))

    def rejected_step(self, step: Step, id: str = "w") -> str:
        return self.reject(TakeStep(id, step, self.record(id).begun))

    def proof(self, id: str = "w", reported: int | None = None) -> tuple[SessionClearance, ...]:
        """A proof as if all open sessions had reported this position, by default the present one."""
        position = self.position if reported is None else reported
        return tuple(
            SessionClearance(each.fencing_token, each.evidence, each.position)
            if isinstance(each, EndedSession)
            else SessionClearance(each.fencing_token, ClearanceEvidence.REPORTED, position)
            for each in sessions_to_clear(self.sessions, self.record(id).begun)
        )

    def grant_permit(self, id: str = "w", proof: Sequence[SessionClearance] | None = None) -> Outcome:
        clearances = self.proof(id) if proof is None else tuple(proof)
        return self.apply(GrantPermit(id, self.record(id).begun, clearances))

    def advance_to(self, state: State, id: str = "w") -> ItemRecord:
        """Takes a requested item to a state by the shortest path."""
        self.report_facts()
        for step in PATHS[state]:
            if step is Step.GRANT_PERMIT:
                assert self.grant_permit(id).error == ""
            elif step is Step.RETURN:
                self.accept(ReportReturn(id, self.record(id).permit, self.record(id).work.machine))
                self.report_facts()
            else:
                if step in (Step.MARK_OVERDUE, Step.MARK_LOST):
                    self.at_ms += 24 * 60 * MINUTE_MS
                self.take_step(step, id)
                self.report_facts()
        return self.record(id)


_TO_DRAINING = (Step.QUEUE, Step.DRAIN)
_TO_PERMITTED = (*_TO_DRAINING, Step.CONFIRM_DRAINED, Step.GRANT_PERMIT)
PATHS: dict[State, tuple[Step, ...]] = {
    State.REQUESTED: (),
    State.QUEUED: (Step.QUEUE,),
    State.DRAINING: _TO_DRAINING,
    State.DRAINED: (*_TO_DRAINING, Step.CONFIRM_DRAINED),
    State.PERMITTED: _TO_PERMITTED,
    State.RETURNED: (*_TO_PERMITTED, Step.RETURN),
    State.WARMING: (*_TO_PERMITTED, Step.RETURN, Step.RESUME_TRAFFIC),
    State.DONE: (*_TO_PERMITTED, Step.RETURN, Step.RESUME_TRAFFIC, Step.COMPLETE),
    State.WITHDRAWN: (Step.WITHDRAW,),
    State.OVERDUE: (*_TO_PERMITTED, Step.MARK_OVERDUE),
    State.LOST: (*_TO_PERMITTED, Step.MARK_OVERDUE, Step.MARK_LOST),
}


def state_machine_log(
    *items: WorkItem, settings: UpkeepSettings = PERMISSIVE, instances: Iterable[NodeInstance] = (A, B, C)
) -> StateMachineLog:
    """A log with open sessions, reported facts and requested items."""
    log = StateMachineLog(settings)
    log.open_sessions(*instances)
    log.report_facts()
    log.request(*items)
    return log


def set_fallback_servers(*names: str) -> SetFallbackServers:
    return SetFallbackServers(names)
