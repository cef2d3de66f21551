"""One front door's whole part in the council, as one core: an action of one part is an event of another.

What it hands out is for the shell: words to other front doors, writes, and what the parts that stand on the
council are told. The order of things on an `Applied` is fixed: first whoever stands on the log acts on it,
then the holder may say that it was applied.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from molereach.coordination.dissemination import messages as tree
from molereach.coordination.interface.core import MessageReceived, SendMessage, Tick
from molereach.coordination.interface.disk import DiskFailed, Persist, Persisted
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    ConfirmLeadership,
    LeaderChanged,
    LeadershipConfirmed,
    ProposalFinished,
    Propose,
    Restored,
    StateMachine,
)
from molereach.coordination.interface.sessions import RenewalRequest
from molereach.coordination.leases import messages as lease
from molereach.coordination.leases.acknowledgements import AcknowledgementTracker
from molereach.coordination.leases.messages import LeasePhase
from molereach.coordination.membership.events import Join, LocalHealthChanged, MemberStatusChanged, Superseded
from molereach.coordination.membership.events import Leave as LeaveMembers
from molereach.coordination.node.parts import LOG, MEMBERSHIP, SPREAD, Parts
from molereach.coordination.node.settings import CouncilSettings
from molereach.coordination.replicated_log.core import CatchUp, EntriesLearned
from molereach.coordination.replicated_log.learner import MachineFailed
from molereach.coordination.replicated_log.messages import Voters
from molereach.coordination.replicated_log.outbox import LogStopped
from molereach.coordination.replicated_log.records import Recovered
from molereach.coordination.replicated_log.start_protocol import DiskRollbackDetected

MOST_RECENT = 64  # entries that were just applied, handed to the tree at once


@dataclass(frozen=True, slots=True)
class Begin:
    """Event: the first one; join the others."""


@dataclass(frozen=True, slots=True)
class Leave:
    """Event: this front door ends in order. `Left` follows when the others know, or cannot be told."""


@dataclass(frozen=True, slots=True)
class From:
    """Event: a message of a part, from another front door."""

    part: str
    heard: MessageReceived


@dataclass(frozen=True, slots=True)
class To:
    """Action: a message of a part, for another front door."""

    part: str
    say: SendMessage


@dataclass(frozen=True, slots=True)
class Left:
    """Action: the session was closed in order."""


@dataclass(frozen=True, slots=True)
class Ended:
    """Action: this run has no part in the council any more; `why` is one plain line."""

    why: str


Event = Begin | Leave | Tick | From | Persisted | DiskFailed | Propose
Notice = (
    MemberStatusChanged
    | LocalHealthChanged
    | LeaderChanged
    | lease.LeaseAcquired
    | lease.LeaseLost
    | LogStopped
    | DiskRollbackDetected
    | MachineFailed
    | tree.ParentChanged
)
Action = To | Persist | Applied | Restored | ProposalFinished | Left | Ended | Notice
Route = Callable[["Council", int, Any], None]


class Council:
    """Sans-I/O: `handle` takes an event with the time, and returns what is to be done, in order."""

    def __init__(
        self,
        me: NodeInstance,
        settings: CouncilSettings,
        disk: str,
        recovered: Recovered,
        panel: Voters,
        machines: Mapping[str, StateMachine],
        draw: Callable[[], float],
        wall_ms: Callable[[int], int],
    ) -> None:
        self.me, self.settings = me, settings
        self.parts = Parts(me, settings, disk, recovered, panel, machines, draw, wall_ms)
        self.leader: str | None = None
        self.ballot = 0
        self.ended = ""  # why this run has no part any more
        self.left = False
        self.heard_us = 0  # the last word of any other front door
        self._recent: list[Any] = []
        self._todo: deque[tuple[str, Any]] = deque()
        self._out: list[Action] = []

    # --- what is asked of it ---

    @property
    def wake_us(self) -> int:
        return self.parts.wake_us

    @property
    def position(self) -> int:
        return self.parts.log.position

    def holds(self, now_us: int) -> bool:
        """Whether this front door's session is held; to be asked at each use."""
        return not self.ended and self.parts.holder.holds(now_us)

    def hears_nobody(self, now_us: int) -> bool:
        return len(self.settings.doors) > 1 and now_us - self.heard_us > self.settings.doubt_us

    def account(self, position: int, since_us: int, clear: bool = False) -> AcknowledgementTracker:
        """Of the entry at `position`: who does not have it, or is not clear of it; or the proof of all."""
        return AcknowledgementTracker(position, self.parts.sessions, self.parts.keeper, since_us, clear)

    # --- events ---

    def handle(self, now_us: int, event: Event) -> list[Action]:
        if self.ended:
            return []
        self._event(now_us, event)
        while self._todo and not self.ended:
            part, action = self._todo.popleft()
            self._route(now_us, part, action)
        self._todo.clear()
        out, self._out = self._out, []
        return out

    def _event(self, now_us: int, event: Event) -> None:
        parts = self.parts
        match event:
            case Tick():
                self._tick(now_us)
            case From(part, heard):
                self.heard_us = now_us
                self._run(
                    part,
                    {MEMBERSHIP: parts.membership, LOG: parts.log, SPREAD: parts.spread}[part],
                    now_us,
                    heard,
                )
            case Persisted() | DiskFailed() | Propose():
                self._run(LOG, parts.log, now_us, event)
            case Begin():
                self.heard_us = now_us
                seeds = tuple(name for name in self.settings.doors if name != self.me.name)
                self._run(MEMBERSHIP, parts.membership, now_us, Join(seeds))
                self._view(now_us)
                self._tick(now_us)
            case Leave():
                self._run("holder", parts.holder, now_us, lease.ReleaseLease())
                self._run(MEMBERSHIP, parts.membership, now_us, LeaveMembers())

    def _tick(self, now_us: int) -> None:
        """Each part whose time has come. The holder is asked last: it is to say what was applied by now."""
        parts = self.parts
        for name, core in (
            (MEMBERSHIP, parts.membership),
            (LOG, parts.log),
            (SPREAD, parts.spread),
            ("keeper", parts.keeper),
            ("holder", parts.holder),
        ):
            if core.wake_us <= now_us:
                self._run(name, core, now_us, Tick())

    def _run(self, name: str, core: Any, now_us: int, event: object) -> None:  # noqa: ANN401
        self._todo.extend((name, action) for action in core.handle(now_us, event))

    # --- actions of the parts ---

    def _route(self, now_us: int, part: str, action: Any) -> None:  # noqa: ANN401
        if route := ROUTES.get(type(action)):
            route(self, now_us, action)
        elif isinstance(action, SendMessage):
            self._out.append(To(part, action))
        else:
            self._out.append(action)

    def _applied(self, now_us: int, action: Applied) -> None:
        self._out.append(action)  # for whoever stands on the log: first
        self._recent = [*self._recent, action.entry][-MOST_RECENT:]
        self._run("keeper", self.parts.keeper, now_us, action)
        self._run("holder", self.parts.holder, now_us, action)
        if not any(isinstance(waiting, Applied) for _, waiting in self._todo):
            self._grown(now_us)

    def _grown(self, now_us: int) -> None:
        recent, self._recent = tuple(self._recent), []
        self._run(SPREAD, self.parts.spread, now_us, tree.LogAdvanced(self.position, recent))

    def _restored(self, now_us: int, action: Restored) -> None:
        self._out.append(action)
        self._recent = []
        self._run("keeper", self.parts.keeper, now_us, action)
        self._run("holder", self.parts.holder, now_us, action)
        self._grown(now_us)

    def _leads(self, now_us: int, action: LeaderChanged) -> None:
        self._out.append(action)
        self.leader, self.ballot = action.leader, action.ballot
        self._run("keeper", self.parts.keeper, now_us, action)
        self._run("holder", self.parts.holder, now_us, action)
        self._view(now_us)

    def _changed(self, now_us: int, action: MemberStatusChanged) -> None:
        self._out.append(action)
        self._view(now_us)

    def _view(self, now_us: int) -> None:
        seats = tuple(seat.name for seat in self.parts.log.voters)
        view = tree.ClusterState(self.parts.membership.live_instances(), self.leader, self.ballot, seats)
        self._run(SPREAD, self.parts.spread, now_us, view)

    def _over(self, now_us: int, action: ProposalFinished) -> None:
        self._run("keeper", self.parts.keeper, now_us, action)
        self._run("holder", self.parts.holder, now_us, action)
        self._out.append(action)
        self._look_over()

    def _lost(self, now_us: int, action: lease.LeaseLost) -> None:
        self._out.append(action)
        self._look_over()

    def _look_over(self) -> None:
        """What the holder came to: gone in order, or in another run's way."""
        phase = self.parts.holder.phase
        if phase is LeasePhase.LEFT and not self.left:
            self.left = True
            self._out.append(Left())
        elif phase is LeasePhase.SUPERSEDED and not self.ended:
            self.ended = "a later run of this front door has a session"
            self._out.append(Ended(self.ended))

    def _displaced(self, now_us: int, action: Superseded) -> None:
        self.ended = f"a later run goes by this front door's name: {action.instance.number}"
        self._out.append(Ended(self.ended))


def _to_log(self: Council, now_us: int, action: Any) -> None:  # noqa: ANN401
    self._run(LOG, self.parts.log, now_us, action)


def _to_keeper(self: Council, now_us: int, action: LeadershipConfirmed) -> None:
    self._run("keeper", self.parts.keeper, now_us, action)


def _mine(self: Council, now_us: int, action: RenewalRequest) -> None:
    self._run(SPREAD, self.parts.spread, now_us, tree.RenewalWanted(action))


def _gathered(self: Council, now_us: int, action: tree.RequestsCollected) -> None:
    self._run("keeper", self.parts.keeper, now_us, lease.RenewalsReceived(action.requests))


def _given(self: Council, now_us: int, action: lease.SendGrants) -> None:
    self._run(SPREAD, self.parts.spread, now_us, tree.GrantsIssued(action.grants))


def _granted(self: Council, now_us: int, action: tree.LocalGrants) -> None:
    self._run("holder", self.parts.holder, now_us, lease.GrantsReceived(action.grants))


def _learn(self: Council, now_us: int, action: tree.EntriesReceived) -> None:
    self._run(LOG, self.parts.log, now_us, EntriesLearned(action.entries))


def _fetch(self: Council, now_us: int, action: tree.FetchEntries) -> None:
    self._run(LOG, self.parts.log, now_us, CatchUp(action.source))


ROUTES: dict[type, Route] = {
    Applied: Council._applied,
    Restored: Council._restored,
    LeaderChanged: Council._leads,
    MemberStatusChanged: Council._changed,
    Superseded: Council._displaced,
    ProposalFinished: Council._over,
    lease.LeaseLost: Council._lost,
    Propose: _to_log,
    ConfirmLeadership: _to_log,
    LeadershipConfirmed: _to_keeper,
    RenewalRequest: _mine,
    lease.SendGrants: _given,
    tree.RequestsCollected: _gathered,
    tree.LocalGrants: _granted,
    tree.EntriesReceived: _learn,
    tree.FetchEntries: _fetch,
}
