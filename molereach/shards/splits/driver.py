"""What the leader does so that splits go on: orders to servers, and the next step once its proof is there.

It may be wrong, late, doubled or dead at any step: the machine asks for all of it again, servers go by the
positions of entries, and the next leader's driver begins from the machine alone.
"""

from dataclasses import dataclass
from typing import Protocol

from molereach.coordination.interface.clearance import NodeClearance
from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.log import Propose
from molereach.shards.proof import SessionsAt, pack
from molereach.shards.splits.bodies import MACHINE, Body, Clear, Close, Copy, GiveUp, Hand, Plan, encode
from molereach.shards.splits.commands import Done, Order, Tell, owed
from molereach.shards.splits.machine import Shards
from molereach.shards.splits.record import Record
from molereach.shards.splits.states import BEFORE, State

BEAT_US = SECOND_US // 4
AGAIN_US = 2 * SECOND_US  # until an order that was not answered, or a step that was not taken, is tried anew
PATIENT_US = 30 * SECOND_US  # the same for what waits for others: a plan, and the beginning of a copy
MOST_PLANS = 64
COPY_US = 24 * 3600 * SECOND_US  # a copy that takes longer is given up
CLOSE_US = 10 * SECOND_US  # the range's requests are turned away for no longer
MOST_DONE = 512


class Accounts(Protocol):
    """Of the leases, at the leader: proofs that an entry is known everywhere; None while one is missing."""

    def applied(self, position: int) -> tuple[NodeClearance, ...] | None:
        """Each front door has applied it, or its session is over."""

    def clear(self, position: int) -> tuple[NodeClearance, ...] | None:
        """As above, and nothing is under way that it forbids."""


@dataclass(frozen=True, slots=True)
class Begin:
    """Event: the schedule wants this split."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class Unneeded:
    """Event: the schedule wants it no more; before the closing it is given up."""

    id: str
    why: str


Event = Begin | Unneeded | Done | Tick
Action = Tell | Propose


class Driver:
    """A core, made anew each time that this front door is elected. `ballot` is that of its term."""

    def __init__(self, shards: Shards, sessions: SessionsAt, accounts: Accounts, ballot: int) -> None:
        self._shards, self._sessions, self._accounts, self._ballot = shards, sessions, accounts, ballot
        self.wake_us = 0
        self._plans: dict[str, Plan] = {}
        self._unneeded: dict[str, str] = {}
        self._done: dict[tuple[str, int, Order, str], Done] = {}
        self._since: dict[tuple[str, int], int] = {}  # a split at a step: first seen here
        self._tried: dict[tuple[str, int, str], int] = {}
        self._number = 0

    def handle(self, now_us: int, event: Event) -> list[Action]:
        match event:
            case Begin():
                if len(self._plans) < MOST_PLANS:
                    self._plans[event.plan.id] = event.plan
            case Unneeded():
                self._unneeded[event.id] = event.why
                self._plans.pop(event.id, None)
            case Done():
                if len(self._done) < MOST_DONE:
                    self._done[(event.id, event.position, event.order, event.home.cell)] = event
            case Tick():
                if now_us < self.wake_us:
                    return []
        self.wake_us = now_us + BEAT_US
        return self._go_on(now_us)

    def _go_on(self, now_us: int) -> list[Action]:
        book = self._shards.book
        self._tidy()
        said: list[Action] = []
        for plan in self._plans.values():
            if book.get(plan.id) is None:
                said += self._propose(now_us, plan.id, 0, plan)
        for split in (*book.open.values(), *book.past.values()):
            since_us = self._since.setdefault((split.id, split.position), now_us)
            said += self._orders(now_us, split)
            if (step := self._next(split, now_us - since_us)) is not None:
                said += self._propose(now_us, split.id, split.position, step)
        return said

    def _tidy(self) -> None:
        """Only what is of splits as they stand."""
        book = self._shards.book
        at = {(split.id, split.position) for split in (*book.open.values(), *book.past.values())}
        waiting = {(id, 0) for id in self._plans}
        self._since = {key: us for key, us in self._since.items() if key in at}
        self._done = {key: done for key, done in self._done.items() if key[:2] in at}
        self._tried = {key: us for key, us in self._tried.items() if key[:2] in at | waiting}
        self._plans = {id: plan for id, plan in self._plans.items() if book.get(id) is None}
        self._unneeded = {id: why for id, why in self._unneeded.items() if id in book.open}

    def _orders(self, now_us: int, split: Record) -> list[Action]:
        return [
            Tell(home, order, split)
            for home, order in owed(split)
            if not self._answered(split, order, home.cell)
            and self._due(now_us, (split.id, split.position, f"{order.value} {home.cell}"))
        ]

    def _answered(self, split: Record, order: Order, cell: str) -> Done | None:
        return self._done.get((split.id, split.position, order, cell))

    def _next(self, split: Record, for_us: int) -> Body | None:
        """The step to propose, if it is time."""
        if (why := self.give_up(split, for_us)) is not None:
            return GiveUp(split.id, split.position, why)
        match split.state:
            case State.PLANNED:
                return Copy(split.id)
            case State.COPYING:
                proof = self._accounts.applied(split.position)
                if proof is not None and self._answered(split, Order.COPY, split.home.cell):
                    return Close(split.id, split.position, pack(self._sessions, split.position, proof))
            case State.CLOSING:
                if done := self._answered(split, Order.CLOSE, split.home.cell):
                    return Hand(split.id, split.position, done.moved)
            case State.HANDED:
                proof = self._accounts.clear(split.position)
                if proof is not None and for_us >= self._shards.settings.window_ms * 1000:
                    return Clear(split.id, split.position, pack(self._sessions, split.position, proof))
        return None

    def give_up(self, split: Record, for_us: int) -> str | None:
        if split.state is State.CLOSING:
            return "the old cell did not close in time" if for_us >= CLOSE_US else None
        if split.state not in BEFORE:
            return None
        if split.state is State.COPYING and for_us >= COPY_US:
            return "the copy took too long"
        return self._unneeded.get(split.id)

    def _propose(self, now_us: int, id: str, position: int, body: Body) -> list[Action]:
        """Under a new id each time, as a step that was refused may be taken later."""
        again_us = PATIENT_US if isinstance(body, Plan | Copy) else AGAIN_US
        if not self._due(now_us, (id, position, type(body).__name__), again_us):
            return []
        self._number += 1
        return [Propose(MACHINE, f"split-{self._ballot}-{self._number}", encode(body), AGAIN_US)]

    def _due(self, now_us: int, key: tuple[str, int, str], again_us: int = AGAIN_US) -> bool:
        if now_us < self._tried.get(key, -NEVER_US) + again_us:
            return False
        self._tried[key] = now_us
        return True
