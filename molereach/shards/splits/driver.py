"""The driver of splits at the leader: it sends commands to backends and proposes each step with its proof.

It may be wrong, late or dead at any point, and two may run at once: the state machine checks each step again,
backends go by the positions of entries, and the next leader's driver starts from the state machine alone.
"""

from dataclasses import dataclass
from typing import Protocol

from molereach.coordination.interface.clearance import NodeClearance
from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.log import Propose
from molereach.shards.proof import SessionHistory, build_proof
from molereach.shards.splits.bodies import (
    MACHINE,
    AbandonSplit,
    Body,
    ClearRange,
    CloseRange,
    HandOver,
    PlanSplit,
    StartCopy,
    encode,
)
from molereach.shards.splits.commands import CellCommand, CommandDone, SendCommand, required_commands
from molereach.shards.splits.machine import ShardsMachine
from molereach.shards.splits.record import SplitRecord
from molereach.shards.splits.states import BEFORE_HAND_OVER, State

TICK_INTERVAL_US = SECOND_US // 4
RETRY_INTERVAL_US = 2 * SECOND_US  # for a command without an answer, and for a step that was not taken
SLOW_RETRY_INTERVAL_US = 30 * SECOND_US  # for a plan and for the start of a copy, which wait for other work
MAX_PLANS = 64
COPY_TIMEOUT_US = 24 * 3600 * SECOND_US  # a longer copy is abandoned
CLOSE_TIMEOUT_US = 10 * SECOND_US  # limits how long the range's requests are rejected
MAX_ANSWERS = 512


class ClearanceTracker(Protocol):
    """Proofs at the leader that an entry holds at every front door; None while a front door is missing."""

    def applied(self, position: int) -> tuple[NodeClearance, ...] | None:
        """Each front door has applied the entry, or its session has ended."""

    def clear(self, position: int) -> tuple[NodeClearance, ...] | None:
        """The same, and nothing that the entry forbids is still in flight."""


@dataclass(frozen=True, slots=True)
class SplitWanted:
    """Event: the schedule starts this split."""

    plan: PlanSplit


@dataclass(frozen=True, slots=True)
class SplitUnneeded:
    """Event: the schedule no longer wants this split; it is abandoned unless its range is closing already."""

    id: str
    reason: str


Event = SplitWanted | SplitUnneeded | CommandDone | Tick
Action = SendCommand | Propose


class SplitDriver:
    """A core, created for each term in which this front door leads. `ballot` is that of the term."""

    def __init__(
        self, machine: ShardsMachine, sessions: SessionHistory, clearances: ClearanceTracker, ballot: int
    ) -> None:
        self._machine, self._sessions, self._clearances, self._ballot = machine, sessions, clearances, ballot
        self.wake_us = 0
        self._plans: dict[str, PlanSplit] = {}
        self._unneeded: dict[str, str] = {}  # reasons by ID
        self._answers: dict[tuple[str, int, CellCommand, str], CommandDone] = {}
        self._since_us: dict[tuple[str, int], int] = {}  # when a split was first seen here at a position
        self._tried_us: dict[tuple[str, int, str], int] = {}
        self._proposals = 0

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Apply one event; the actions to carry out."""
        match event:
            case SplitWanted():
                if len(self._plans) < MAX_PLANS:
                    self._plans[event.plan.id] = event.plan
            case SplitUnneeded():
                self._unneeded[event.id] = event.reason
                self._plans.pop(event.id, None)
            case CommandDone():
                if len(self._answers) < MAX_ANSWERS:
                    self._answers[(event.id, event.position, event.command, event.cell.name)] = event
            case Tick():
                if now_us < self.wake_us:
                    return []
        self.wake_us = now_us + TICK_INTERVAL_US
        return self._advance(now_us)

    def _advance(self, now_us: int) -> list[Action]:
        registry = self._machine.registry
        self._discard_outdated()
        actions: list[Action] = []
        for plan in self._plans.values():
            if registry.get(plan.id) is None:
                actions += self._propose(now_us, plan.id, 0, plan)
        for split in (*registry.open.values(), *registry.ended.values()):
            since_us = self._since_us.setdefault((split.id, split.position), now_us)
            actions += self._commands_due(now_us, split)
            if (step := self._next_step(split, now_us - since_us)) is not None:
                actions += self._propose(now_us, split.id, split.position, step)
        return actions

    def _discard_outdated(self) -> None:
        """Keep only what belongs to splits at their current positions."""
        registry = self._machine.registry
        current = {
            (split.id, split.position) for split in (*registry.open.values(), *registry.ended.values())
        }
        waiting = {(id, 0) for id in self._plans}
        self._since_us = {key: us for key, us in self._since_us.items() if key in current}
        self._answers = {key: done for key, done in self._answers.items() if key[:2] in current}
        self._tried_us = {key: us for key, us in self._tried_us.items() if key[:2] in current | waiting}
        self._plans = {id: plan for id, plan in self._plans.items() if registry.get(id) is None}
        self._unneeded = {id: reason for id, reason in self._unneeded.items() if id in registry.open}

    def _commands_due(self, now_us: int, split: SplitRecord) -> list[Action]:
        return [
            SendCommand(cell, command, split)
            for cell, command in required_commands(split)
            if not self._answer(split, command, cell.name)
            and self._due(now_us, (split.id, split.position, f"{command.value} {cell.name}"))
        ]

    def _answer(self, split: SplitRecord, command: CellCommand, cell: str) -> CommandDone | None:
        return self._answers.get((split.id, split.position, command, cell))

    def _next_step(self, split: SplitRecord, in_state_us: int) -> Body | None:
        """The step to propose; None if the split can't go on yet."""
        if (reason := self.reason_to_abandon(split, in_state_us)) is not None:
            return AbandonSplit(split.id, split.position, reason)
        match split.state:
            case State.PLANNED:
                return StartCopy(split.id)
            case State.COPYING:
                proof = self._clearances.applied(split.position)
                if proof is not None and self._answer(split, CellCommand.COPY, split.source.name):
                    return CloseRange(
                        split.id, split.position, build_proof(self._sessions, split.position, proof)
                    )
            case State.CLOSING:
                if done := self._answer(split, CellCommand.CLOSE, split.source.name):
                    return HandOver(split.id, split.position, done.range_bytes)
            case State.HANDED_OVER:
                proof = self._clearances.clear(split.position)
                if proof is not None and in_state_us >= self._machine.settings.window_ms * 1000:
                    return ClearRange(
                        split.id, split.position, build_proof(self._sessions, split.position, proof)
                    )
        return None

    def reason_to_abandon(self, split: SplitRecord, in_state_us: int) -> str | None:
        """Why a split is to be abandoned; None if it is to go on."""
        if split.state is State.CLOSING:
            return "the old cell did not close in time" if in_state_us >= CLOSE_TIMEOUT_US else None
        if split.state not in BEFORE_HAND_OVER:
            return None
        if split.state is State.COPYING and in_state_us >= COPY_TIMEOUT_US:
            return "the copy took too long"
        return self._unneeded.get(split.id)

    def _propose(self, now_us: int, id: str, position: int, body: Body) -> list[Action]:
        """Propose under a new ID each time, since a step that was rejected may be taken later."""
        interval_us = SLOW_RETRY_INTERVAL_US if isinstance(body, PlanSplit | StartCopy) else RETRY_INTERVAL_US
        if not self._due(now_us, (id, position, type(body).__name__), interval_us):
            return []
        self._proposals += 1
        return [Propose(MACHINE, f"split-{self._ballot}-{self._proposals}", encode(body), RETRY_INTERVAL_US)]

    def _due(self, now_us: int, key: tuple[str, int, str], interval_us: int = RETRY_INTERVAL_US) -> bool:
        """Whether the interval since the last try has passed; if so, `now_us` becomes the last try."""
        if now_us < self._tried_us.get(key, -NEVER_US) + interval_us:
            return False
        self._tried_us[key] = now_us
        return True
