"""What the leader proposes, so that works go on: facts, steps, beginnings by the plan, permits with their
proof.

It may be wrong, late, doubled or dead at any step: the state machine asks for everything again, and another
leader's driver goes on from what the machine says. Times of entries are taken on by its own clock from the
last entry that was applied here. Nothing it keeps is needed by the next.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import Applied, LeaderChanged, ProposalFinished, Propose, Restored
from molereach.upkeep.permits.background_planning import Planning
from molereach.upkeep.permits.bodies import MACHINE, Back, Body, Move, Out, Stand
from molereach.upkeep.permits.clearance_accounting import Accounting, Clears, Missed
from molereach.upkeep.permits.entry_clock import EntryClock
from molereach.upkeep.permits.fact_reporting import Measured, Telling
from molereach.upkeep.permits.lifecycle import GONE, LEAVING, WAITING, State, Step
from molereach.upkeep.permits.next_steps import back_as, hurried, next_step, recalled
from molereach.upkeep.permits.proposals import Proposals
from molereach.upkeep.permits.record import Record
from molereach.upkeep.permits.starting import due, lacking, replaced
from molereach.upkeep.permits.state_machine import Upkeep
from molereach.upkeep.rules.fallback_servers import STANDING
from molereach.upkeep.rules.scene import Stop
from molereach.upkeep.rules.voters import SEAT
from molereach.upkeep.scheduling.plan import Plan

BEAT_US = SECOND_US // 2
SLICE_US = SECOND_US // 200  # between two slices of a plan
SEEN = "seen"
SEAT_US = 10 * SECOND_US  # before a seat is asked for again


@dataclass(frozen=True, slots=True)
class ReplaceSeat:
    """Action: give this front door's seat of the panel to another, so that its machine may drain."""

    door: str


Event = Tick | LeaderChanged | Applied | Restored | ProposalFinished | Measured
Action = Propose | ReplaceSeat


class Driver:
    """At every front door; it acts only while this one leads."""

    def __init__(self, me: NodeInstance, machine: Upkeep, clears: Clears) -> None:
        self._me, self._machine, self._book = me, machine, machine.book
        self._accounting = Accounting(machine.sessions, clears, machine.settings.over_wait_ms)
        self._telling = Telling()
        self._planning = Planning(self._book)
        self._ballot: int | None = None
        self._proposals = Proposals(me, 0)
        self._clock = EntryClock()
        self._next_us = NEVER_US
        self.stops: dict[str, Stop] = {}  # by work that waits: what stops it
        self.missed: dict[str, tuple[Missed, ...]] = {}  # by work that drains: for whom it waits

    @property
    def plan(self) -> Plan | None:
        return self._planning.plan

    @property
    def wake_us(self) -> int:
        return self._next_us

    def at_ms(self, now_us: int) -> int:
        """What the time of an entry would be about now."""
        return self._clock.at_ms(now_us)

    def why(self, now_us: int, id: str) -> Stop | None:
        """What stops a work that waits, with the machines; None where nothing does, or it waits for
        nothing."""
        record = self._book.records.get(id)
        if record is None or record.state not in WAITING:
            return None
        return self._book.stop_begin(record, self.at_ms(now_us)) or self.stops.get(id)

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        match event:
            case LeaderChanged():
                self._leads(now_us, event)
            case Applied():
                self._clock.applied(now_us, event.entry.at_ms)
                self._accounting.look(now_us)
                if event.entry.machine == MACHINE and not event.outcome.error:
                    self._planning.changed()
            case Restored():
                self._clock.restored(now_us, self._book.marks)
                self._accounting.look(now_us)
                self._planning.changed()
            case ProposalFinished():
                self._over(now_us, event)
            case Measured():
                self._telling.measured(now_us, event.facts)
            case Tick():
                pass
        return self._due(now_us) if now_us >= self._next_us else []

    def _leads(self, now_us: int, event: LeaderChanged) -> None:
        ballot = event.ballot if event.is_self else None
        if ballot != self._ballot:
            self._ballot, self._proposals = ballot, Proposals(self._me, event.ballot)
            self._planning.forget()
            self._telling.failed()
        self._next_us = NEVER_US if ballot is None else min(self._next_us, now_us)

    def _over(self, now_us: int, event: ProposalFinished) -> None:
        found = self._proposals.over(now_us, event)
        if found is None or self._ballot is None:
            return
        what, done = found
        if what == SEEN:
            self._telling.settled() if done else self._telling.failed()
        self._next_us = min(self._next_us, now_us + SLICE_US)  # a few answers that come at once are one

    # --- what the time calls for ---

    def _due(self, now_us: int) -> list[Action]:
        if self._ballot is None:
            self._next_us = NEVER_US
            return []
        self._proposals.forget(now_us)
        self._forget()
        at_ms = self.at_ms(now_us)
        out = self._tell(now_us)
        if self._book.records:
            for step, records in (
                (Step.RECALL, recalled(self._book, at_ms)),
                (Step.HURRY, hurried(self._book, at_ms)),
            ):
                for record in records:
                    out += self._move(now_us, record, step)
            for record in list(self._book.records.values()):
                if self._proposals.full:
                    break
                out += self._go_on(now_us, at_ms, record)
            out += self._begin(now_us, at_ms)
        if (standing := lacking(self._book)) is not None:
            out += self._make(now_us, "stand", Stand(standing))
        self._next_us = now_us + (SLICE_US if self._planning.busy else BEAT_US)
        return out

    def _forget(self) -> None:
        """What is said of works that have gone on."""
        at = {id: record.state for id, record in self._book.records.items()}
        self.missed = {id: each for id, each in self.missed.items() if at.get(id) in LEAVING}
        self.stops = {id: stop for id, stop in self.stops.items() if at.get(id) in WAITING | LEAVING}

    def _tell(self, now_us: int) -> list[Action]:
        if self._proposals.open(SEEN):
            return []
        part = self._telling.part(now_us, bool(self._book.records))
        return self._make(now_us, SEEN, part) if part else []

    def _make(self, now_us: int, what: str, body: Body) -> list[Action]:
        return [*self._proposals.make(now_us, what, body)]

    def _move(self, now_us: int, record: Record, step: Step) -> list[Action]:
        return self._make(now_us, f"work.{record.work.id}", Move(record.work.id, step, record.begun))

    def _go_on(self, now_us: int, at_ms: int, record: Record) -> list[Action]:
        if step := next_step(self._book, record, at_ms):
            return self._move(now_us, record, step)
        if record.state in LEAVING:
            return self._clear_out(now_us, at_ms, record)
        if record.state in GONE and (name := back_as(self._book, record, at_ms)):
            return self._make(now_us, f"work.{record.work.id}", Back(record.work.id, record.permit, name))
        return []

    def _clear_out(self, now_us: int, at_ms: int, record: Record) -> list[Action]:
        unstood = self._book.unstood.get(record.work.machine, -1)
        words, missed = self._accounting.account(now_us, record.begun, unstood)
        self.missed[record.work.id] = missed
        if missed or self._machine.fault(record, words, at_ms):
            return []
        if record.state is State.DRAINING:
            return self._move(now_us, record, Step.EMPTY)
        if stop := self._book.stop(record, at_ms):
            self.stops[record.work.id] = stop
            return []
        return self._make(now_us, f"work.{record.work.id}", Out(record.work.id, record.begun, words))

    # --- beginnings ---

    def _begin(self, now_us: int, at_ms: int) -> list[Action]:
        self._planning.go_on(at_ms)
        plan = self._planning.plan
        if plan is None:
            return []
        self.stops.update(plan.stopped)
        out: list[Action] = []
        for record, stop in due(self._book, plan, at_ms):
            if stop is None:
                self.stops.pop(record.work.id, None)
                out += self._move(now_us, record, Step.DRAIN)
            else:
                self.stops[record.work.id] = stop
                out += self._make_way(now_us, record, stop)
        return out

    def _make_way(self, now_us: int, record: Record, stop: Stop) -> list[Action]:
        """What another has to take over before it may begin."""
        machine = record.work.machine
        if stop.rule == STANDING and (others := replaced(self._book, machine)):
            return self._make(now_us, "stand", Stand(others))
        if stop.rule == SEAT and self._proposals.wait(now_us, f"seat.{machine}", SEAT_US):
            return [ReplaceSeat(machine)]
        return []
