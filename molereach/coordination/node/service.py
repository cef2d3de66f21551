"""The shell of one front door's part: the links, the disk, the timer and the log's lines.

All of the council runs in turns of the front door's loop between requests; the links hand over a bounded
number of messages in a turn, and the disk has a thread of its own.
"""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from molereach.clock import now_us
from molereach.coordination.interface.core import NEVER_US, MessageReceived, Tick
from molereach.coordination.interface.disk import DiskFailed, Persist, Persisted
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    LeaderChanged,
    ProposalFinished,
    ProposalStatus,
    Propose,
    Restored,
    StateMachine,
)
from molereach.coordination.leases.messages import LeaseAcquired, LeaseLost
from molereach.coordination.membership.events import MemberStatusChanged
from molereach.coordination.node.first import NO_DISK, first_identity, first_panel
from molereach.coordination.node.parts import WORDS
from molereach.coordination.node.settings import Address, CouncilSettings
from molereach.coordination.node.wiring import Action, Begin, Council, Ended, Event, From, Leave, Left, To
from molereach.coordination.replicated_log.learner import MachineFailed
from molereach.coordination.replicated_log.outbox import LogStopped
from molereach.coordination.replicated_log.records import Recovered, recover
from molereach.coordination.replicated_log.start_protocol import DiskRollbackDetected
from molereach.coordination.storage.folder import LogFolder, OpenedFolder, random_identity
from molereach.coordination.storage.worker import WriterThread
from molereach.coordination.transport.service import TransportService

log = logging.getLogger(__name__)

MOST_ASKED = 1024  # proposals of this front door that wait for their word
DISK_LAST_S = 1.0  # for what waits for the disk at the end
LEAVE_S = 1.0  # for the word that the session is closed
LIFE_SHIFT = 20  # random bits below the milliseconds of a life


def draw_life(name: str) -> NodeInstance:
    return NodeInstance(name, (time.time_ns() // 1_000_000 << LIFE_SHIFT) | random.getrandbits(LIFE_SHIFT))


def open_folder(folder: Path, name: str, key: bytes, seated: bool) -> OpenedFolder:
    """The folder of a seat; a new one takes the seat of the first panel where that is `seated` there."""
    return LogFolder.open(folder, name, (lambda: first_identity(key, name)) if seated else random_identity)


@dataclass(slots=True)
class Figures:
    """Counted since the start."""

    turns: int = 0
    longest_us: int = 0  # of CPU, for one event and all that followed from it
    applied: int = 0
    sessions: int = 0  # held
    lost: int = 0


@dataclass(slots=True)
class Watchers:
    """Whoever stands on the log beside its state machine, to act at this front door."""

    applied: list[Callable[[Applied], None]] = field(default_factory=list)
    restored: list[Callable[[Restored], None]] = field(default_factory=list)
    ticked: list[Callable[[int], None]] = field(default_factory=list)  # after each turn


class CouncilService:
    """Made within the running loop; `opened` is the folder of a seat, None for one that only learns."""

    def __init__(
        self,
        name: str,
        settings: CouncilSettings,
        key: bytes,
        opened: OpenedFolder | None,
        machines: Mapping[str, StateMachine],
        addresses: Mapping[str, Address] | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings, self.figures, self.watchers = settings, Figures(), Watchers()
        self.me = draw_life(name)
        kept = recover(opened.base, opened.records) if opened else Recovered()
        wall_ms = time.time_ns() // 1_000_000 - now_us() // 1000
        self.core = Council(
            self.me,
            settings,
            opened.identity if opened else NO_DISK,
            kept,
            first_panel(key, settings.panel),
            machines,
            random.random,
            lambda at_us: wall_ms + at_us // 1000,
        )
        # Its word comes in a turn of its own: that too much waits is said while an action is carried out.
        self.worker = WriterThread(opened.folder, self.from_disk) if opened else None
        self.transport = TransportService(
            self.me, addresses or settings.doors, key, WORDS, self.heard, random.random
        )
        self.timer: asyncio.TimerHandle | None = None
        self.due_us = NEVER_US
        self.asked: dict[str, asyncio.Future[ProposalFinished]] = {}
        self.left = asyncio.Event()
        self.closed = False
        self.act: dict[type, Callable[..., None]] = {
            To: self.on_to,
            Persist: self.on_persist,
            ProposalFinished: self.on_over,
            Applied: self.on_applied,
            Restored: self.on_restored,
            Left: lambda action: self.left.set(),
            Ended: self.on_ended,
            LeaderChanged: self.on_leads,
            LeaseAcquired: self.on_held,
            LeaseLost: self.on_lost,
            MemberStatusChanged: self.on_changed,
            LogStopped: lambda action: log.error("council: accepts nothing more: %s", action.reason),
            DiskRollbackDetected: self.on_set_back,
            MachineFailed: self.on_machine_failed,
        }

    # --- start and end ---

    async def start(self, listen: Address) -> Address:
        """Take links, and join; OSError where the address cannot be had."""
        address = await self.transport.start(listen)
        self.take(Begin())
        return address

    async def leave(self) -> None:
        """Close the session in order, if there is somebody to tell; then `close`."""
        self.take(Leave())
        try:
            await asyncio.wait_for(self.left.wait(), LEAVE_S)
        except TimeoutError:
            log.info("council: nobody took the end of the session; it ends by time")
        await self.close()

    async def close(self) -> None:
        self.closed = True
        if self.timer:
            self.timer.cancel()
        self.transport.close()
        for name in list(self.asked):
            self.on_over(ProposalFinished(name, ProposalStatus.UNKNOWN))
        if self.worker and not await self.worker.close(DISK_LAST_S):
            log.warning("council: the disk did not take all in time")

    # --- what those who stand on it ask ---

    def holds(self) -> bool:
        """Whether the session is held now; asked anew at each use."""
        return self.core.holds(now_us())

    async def propose(self, machine: str, name: str, body: bytes, within_us: int) -> ProposalFinished:
        """Have something settled; the one word on it."""
        known = self.asked.get(name)
        if known is None:
            if len(self.asked) >= MOST_ASKED or self.closed or self.core.ended:
                return ProposalFinished(name, ProposalStatus.REJECTED)
            known = self.asked[name] = self.loop.create_future()
            self.take(Propose(machine, name, body, within_us))
        return await asyncio.shield(known)

    # --- events ---

    def heard(self, part: str, heard: MessageReceived) -> None:
        self.take(From(part, heard))

    def from_disk(self, event: Persisted | DiskFailed) -> None:
        self.loop.call_soon(self.take, event)

    def take(self, event: Event) -> None:
        """One event of the cores, and all that follows from it. It is never called from within itself."""
        if self.closed:
            return
        at_us, begin = now_us(), time.thread_time_ns()
        for action in self.core.handle(at_us, event):
            self.carry_out(action)
        for tell in self.watchers.ticked:
            tell(at_us)
        self.figures.turns += 1
        self.figures.longest_us = max(self.figures.longest_us, (time.thread_time_ns() - begin) // 1000)
        self.set_timer()

    def carry_out(self, action: Action) -> None:
        """An action that fails is logged and costs what it was for alone."""
        try:
            if act := self.act.get(type(action)):
                act(action)
        except Exception:
            log.exception("council: cannot carry out %r", action)

    def set_timer(self) -> None:
        """One timer, for the first thing that is due; an earlier one takes its place."""
        due_us = self.core.wake_us
        if self.closed or (self.timer and self.due_us <= due_us):
            return
        if self.timer:
            self.timer.cancel()
        self.due_us = due_us
        delay_s = max(0, due_us - now_us()) / 1e6
        self.timer = None if due_us >= NEVER_US else self.loop.call_later(delay_s, self.on_time)

    def on_time(self) -> None:
        self.timer, self.due_us = None, NEVER_US
        if self.core.wake_us <= now_us():
            self.take(Tick())
        else:
            self.set_timer()

    # --- actions ---

    def on_to(self, action: To) -> None:
        self.transport.send(action.part, action.say)

    def on_persist(self, action: Persist) -> None:
        if self.worker:
            self.worker.append(action.token, action.records, action.base)
        else:  # what only learns has nothing to keep: it learns it again
            self.loop.call_soon(self.take, Persisted(action.token))

    def on_over(self, action: ProposalFinished) -> None:
        waiting = self.asked.pop(action.id, None)
        if waiting and not waiting.done():
            waiting.set_result(action)

    def on_applied(self, action: Applied) -> None:
        self.figures.applied += 1
        for tell in self.watchers.applied:
            tell(action)

    def on_restored(self, action: Restored) -> None:
        log.info("council: has the state up to position %d by a snapshot", action.position)
        for tell in self.watchers.restored:
            tell(action)

    def on_ended(self, action: Ended) -> None:
        log.error("council: has no part any more: %s", action.why)
        for name in list(self.asked):
            self.on_over(ProposalFinished(name, ProposalStatus.UNKNOWN))

    # --- the log ---

    def on_leads(self, action: LeaderChanged) -> None:
        if action.is_self:
            log.info("council: leads, ballot %d", action.ballot)
        else:
            log.info("council: %s leads, ballot %d", action.leader or "nobody", action.ballot)

    def on_held(self, action: LeaseAcquired) -> None:
        self.figures.sessions += 1
        log.info("council: session %d is held", action.fencing_token)

    def on_lost(self, action: LeaseLost) -> None:
        self.figures.lost += 1
        log.warning("council: session %d is not held any more: %s", action.fencing_token, action.reason)

    def on_changed(self, action: MemberStatusChanged) -> None:
        if action.previous is not action.status:
            log.info("council: %s is %s", action.instance.name, action.status.name.lower())

    def on_set_back(self, action: DiskRollbackDetected) -> None:
        log.error(
            "council: the folder was set back (start %d, %d is known): it votes no more; give it "
            "a new folder",
            action.start_count,
            action.known_start_count,
        )

    def on_machine_failed(self, action: MachineFailed) -> None:
        log.error("council: %s is stopped here: %s", action.machine, action.reason)

    # --- for those who look ---

    def counters(self) -> dict[str, int]:
        """How this front door's part stands, as numbers."""
        stats, core = self.transport.stats(), self.core
        session = core.parts.holder.fencing_token if self.holds() else 0
        return {
            "council_position": core.position,
            "council_session": session,
            "council_leads": int(core.leader == self.me.name),
            "council_alive": len(core.parts.membership.live_instances()),
            "council_links": len([peer for peer in stats.peers.values() if peer.state == "up"]),
            "council_turns": self.figures.turns,
            "council_longest_turn_us": self.figures.longest_us,
            "council_sessions_lost": self.figures.lost,
        }
