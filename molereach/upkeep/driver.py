"""What the leader proposes so that work items make progress: facts, steps, starts by the plan, and permits
with their proof.

The driver may be wrong, late, duplicated or dead at any step: the state machine checks everything, and the
driver of another leader continues from its state. Entry times are estimated with the local clock from the
last applied entry. The next leader needs nothing that is kept here.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import Applied, LeaderChanged, ProposalFinished, Propose, Restored
from molereach.upkeep.permits.background_planning import BackgroundPlanner
from molereach.upkeep.permits.bodies import (
    MACHINE,
    Body,
    GrantPermit,
    ReportReturn,
    SetFallbackServers,
    TakeStep,
)
from molereach.upkeep.permits.clearance_accounting import (
    ClearanceAccounting,
    ClearPositions,
    MissingClearance,
)
from molereach.upkeep.permits.entry_clock import EntryClock
from molereach.upkeep.permits.fact_reporting import FactReporter, FactsMeasured
from molereach.upkeep.permits.lifecycle import ABSENT_STATES, DRAINING_STATES, WAITING_STATES, State, Step
from molereach.upkeep.permits.next_steps import items_to_expedite, items_to_recall, next_step, returned_name
from molereach.upkeep.permits.proposals import OpenProposals
from molereach.upkeep.permits.record import ItemRecord
from molereach.upkeep.permits.starting import due_items, fallback_servers_without, missing_fallback_servers
from molereach.upkeep.permits.state_machine import UpkeepStateMachine
from molereach.upkeep.rules.fallback_servers import FALLBACK_RULE
from molereach.upkeep.rules.scene import Blocker
from molereach.upkeep.rules.voters import VOTER_RULE
from molereach.upkeep.scheduling.plan import Plan

TICK_INTERVAL_US = SECOND_US // 2
PLAN_SLICE_INTERVAL_US = SECOND_US // 200  # between two slices of a plan
FACTS_PURPOSE = "seen"
VOTER_REPLACEMENT_INTERVAL_US = 10 * SECOND_US  # before a replacement is requested again


@dataclass(frozen=True, slots=True)
class ReplaceVoter:
    """Action: let another front door take over this one's vote, so that its machine may drain."""

    name: str


Event = Tick | LeaderChanged | Applied | Restored | ProposalFinished | FactsMeasured
Action = Propose | ReplaceVoter


class Driver:
    """Runs at every front door; acts only while this one leads."""

    def __init__(
        self, me: NodeInstance, machine: UpkeepStateMachine, clear_positions: ClearPositions
    ) -> None:
        self._me, self._machine, self._registry = me, machine, machine.registry
        self._accounting = ClearanceAccounting(
            machine.sessions, clear_positions, machine.settings.expired_session_wait_ms
        )
        self._fact_reporter = FactReporter()
        self._planner = BackgroundPlanner(self._registry)
        self._ballot: int | None = None
        self._proposals = OpenProposals(me, 0)
        self._clock = EntryClock()
        self._next_us = NEVER_US
        self.blockers: dict[str, Blocker] = {}  # by waiting or draining item
        self.missing_clearances: dict[str, tuple[MissingClearance, ...]] = {}  # by draining item

    @property
    def plan(self) -> Plan | None:
        """The last complete plan."""
        return self._planner.plan

    @property
    def wake_us(self) -> int:
        """When the next `Tick` is due."""
        return self._next_us

    def at_ms(self, now_us: int) -> int:
        """The estimated time of an entry proposed now."""
        return self._clock.at_ms(now_us)

    def blocker(self, now_us: int, id: str) -> Blocker | None:
        """What blocks a waiting item; None if nothing does, or it is not waiting."""
        record = self._registry.records.get(id)
        if record is None or record.state not in WAITING_STATES:
            return None
        return self._registry.start_blocker(record, self.at_ms(now_us)) or self.blockers.get(id)

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        """Handles an event, and returns the resulting actions."""
        match event:
            case LeaderChanged():
                self._leader_changed(now_us, event)
            case Applied():
                self._clock.applied(now_us, event.entry.at_ms)
                self._accounting.update(now_us)
                if event.entry.machine == MACHINE and not event.outcome.error:
                    self._planner.invalidate()
            case Restored():
                self._clock.restored(now_us, self._registry.time_marks)
                self._accounting.update(now_us)
                self._planner.invalidate()
            case ProposalFinished():
                self._proposal_finished(now_us, event)
            case FactsMeasured():
                self._fact_reporter.update(now_us, event.facts)
            case Tick():
                pass
        return self._act(now_us) if now_us >= self._next_us else []

    def _leader_changed(self, now_us: int, event: LeaderChanged) -> None:
        ballot = event.ballot if event.is_self else None
        if ballot != self._ballot:
            self._ballot, self._proposals = ballot, OpenProposals(self._me, event.ballot)
            self._planner.reset()
            self._fact_reporter.restart()
        self._next_us = NEVER_US if ballot is None else min(self._next_us, now_us)

    def _proposal_finished(self, now_us: int, event: ProposalFinished) -> None:
        finished = self._proposals.finish(now_us, event)
        if finished is None or self._ballot is None:
            return
        purpose, done = finished
        if purpose == FACTS_PURPOSE:
            self._fact_reporter.part_applied() if done else self._fact_reporter.restart()
        # Outcomes that arrive together are handled in one turn.
        self._next_us = min(self._next_us, now_us + PLAN_SLICE_INTERVAL_US)

    # --- actions that are due ---

    def _act(self, now_us: int) -> list[Action]:
        if self._ballot is None:
            self._next_us = NEVER_US
            return []
        self._proposals.drop_expired_delays(now_us)
        self._drop_outdated()
        at_ms = self.at_ms(now_us)
        actions = self._report_facts(now_us)
        if self._registry.records:
            for step, records in (
                (Step.RECALL, items_to_recall(self._registry, at_ms)),
                (Step.EXPEDITE, items_to_expedite(self._registry, at_ms)),
            ):
                for record in records:
                    actions += self._propose_step(now_us, record, step)
            for record in list(self._registry.records.values()):
                if self._proposals.is_full:
                    break
                actions += self._advance(now_us, at_ms, record)
            actions += self._start_due_items(now_us, at_ms)
        if (fallback_servers := missing_fallback_servers(self._registry)) is not None:
            actions += self._propose(now_us, "stand", SetFallbackServers(fallback_servers))
        self._next_us = now_us + (PLAN_SLICE_INTERVAL_US if self._planner.busy else TICK_INTERVAL_US)
        return actions

    def _drop_outdated(self) -> None:
        """Drops what is known of items that are in another state now."""
        states = {id: record.state for id, record in self._registry.records.items()}
        self.missing_clearances = {
            id: each for id, each in self.missing_clearances.items() if states.get(id) in DRAINING_STATES
        }
        self.blockers = {
            id: blocker
            for id, blocker in self.blockers.items()
            if states.get(id) in WAITING_STATES | DRAINING_STATES
        }

    def _report_facts(self, now_us: int) -> list[Action]:
        if self._proposals.is_open(FACTS_PURPOSE):
            return []
        part = self._fact_reporter.next_part(now_us, bool(self._registry.records))
        return self._propose(now_us, FACTS_PURPOSE, part) if part else []

    def _propose(self, now_us: int, purpose: str, body: Body) -> list[Action]:
        return [*self._proposals.propose(now_us, purpose, body)]

    def _propose_step(self, now_us: int, record: ItemRecord, step: Step) -> list[Action]:
        return self._propose(now_us, f"work.{record.work.id}", TakeStep(record.work.id, step, record.begun))

    def _advance(self, now_us: int, at_ms: int, record: ItemRecord) -> list[Action]:
        if step := next_step(self._registry, record, at_ms):
            return self._propose_step(now_us, record, step)
        if record.state in DRAINING_STATES:
            return self._advance_draining(now_us, at_ms, record)
        if record.state in ABSENT_STATES and (name := returned_name(self._registry, record, at_ms)):
            return self._propose(
                now_us, f"work.{record.work.id}", ReportReturn(record.work.id, record.permit, name)
            )
        return []

    def _advance_draining(self, now_us: int, at_ms: int, record: ItemRecord) -> list[Action]:
        fallback_until = self._registry.former_fallback_servers.get(record.work.machine, -1)
        clearances, missing = self._accounting.account(now_us, record.begun, fallback_until)
        self.missing_clearances[record.work.id] = missing
        if missing or self._machine.proof_gap(record, clearances, at_ms):
            return []
        if record.state is State.DRAINING:
            return self._propose_step(now_us, record, Step.CONFIRM_DRAINED)
        if blocker := self._registry.permit_blocker(record, at_ms):
            self.blockers[record.work.id] = blocker
            return []
        return self._propose(
            now_us, f"work.{record.work.id}", GrantPermit(record.work.id, record.begun, clearances)
        )

    # --- starts ---

    def _start_due_items(self, now_us: int, at_ms: int) -> list[Action]:
        self._planner.run_slice(at_ms)
        plan = self._planner.plan
        if plan is None:
            return []
        self.blockers.update(plan.blocked)
        actions: list[Action] = []
        for record, blocker in due_items(self._registry, plan, at_ms):
            if blocker is None:
                self.blockers.pop(record.work.id, None)
                actions += self._propose_step(now_us, record, Step.DRAIN)
            else:
                self.blockers[record.work.id] = blocker
                actions += self._resolve_blocker(now_us, record, blocker)
        return actions

    def _resolve_blocker(self, now_us: int, record: ItemRecord, blocker: Blocker) -> list[Action]:
        """Proposes a replacement for what the machine must hand over before its item may start."""
        machine = record.work.machine
        if blocker.rule == FALLBACK_RULE and (
            replacements := fallback_servers_without(self._registry, machine)
        ):
            return self._propose(now_us, "stand", SetFallbackServers(replacements))
        if blocker.rule == VOTER_RULE and self._proposals.claim_interval(
            now_us, f"seat.{machine}", VOTER_REPLACEMENT_INTERVAL_US
        ):
            return [ReplaceVoter(machine)]
        return []
