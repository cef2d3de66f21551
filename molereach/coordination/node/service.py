"""The coordination node of one proxy with its I/O: connections, disk and timer.

It shares the proxy's event loop with client requests, so its turns are short: the transport delivers a
bounded number of messages per turn, and disk writes have their own thread.
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
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    ProposalFinished,
    ProposalStatus,
    Propose,
    Restored,
    StateMachine,
)
from molereach.coordination.leases.messages import LeaseAcquired, LeaseLost
from molereach.coordination.node.components import MESSAGE_TYPES
from molereach.coordination.node.core import CoordinationCore
from molereach.coordination.node.event_log import log_action
from molereach.coordination.node.events import (
    Action,
    Ended,
    Event,
    Leave,
    PeerMessage,
    SendToPeer,
    SessionClosed,
    Start,
)
from molereach.coordination.node.initial_voters import NO_DISK, initial_disk_identity, initial_voters
from molereach.coordination.node.settings import Address, CoordinationSettings
from molereach.coordination.replicated_log.records import Recovered, recover
from molereach.coordination.storage.folder import LogFolder, OpenedFolder, random_identity
from molereach.coordination.storage.worker import WriterThread
from molereach.coordination.transport.service import TransportService

log = logging.getLogger(__name__)

MAX_PENDING_PROPOSALS = 1024  # proposed by this proxy
DISK_CLOSE_TIMEOUT_S = 1.0
LEAVE_TIMEOUT_S = 1.0  # for the log to close the session when leaving
INSTANCE_RANDOM_BITS = 20  # the low bits of the number, so that two starts in one millisecond differ
NS_PER_MS = 1_000_000
NS_PER_US = 1_000
US_PER_MS = 1_000


def new_instance(name: str) -> NodeInstance:
    """A new instance of this proxy; greater than earlier ones unless the wall clock was set back."""
    start_ms = time.time_ns() // NS_PER_MS
    return NodeInstance(name, (start_ms << INSTANCE_RANDOM_BITS) | random.getrandbits(INSTANCE_RANDOM_BITS))


def open_folder(folder: Path, name: str, key: bytes, is_initial_voter: bool) -> OpenedFolder:
    """Open a folder; a new one gets the identity of an initial voter or a random one."""
    if is_initial_voter:
        return LogFolder.open(folder, name, lambda: initial_disk_identity(key, name))
    return LogFolder.open(folder, name, random_identity)


@dataclass(slots=True)
class Counters:
    """Totals since the service started."""

    turns: int = 0
    longest_turn_us: int = 0  # CPU time of one event and its actions
    applied: int = 0
    sessions_acquired: int = 0
    sessions_lost: int = 0


@dataclass(slots=True)
class Observers:
    """Callbacks of code in this proxy that acts on decisions of the log."""

    on_applied: list[Callable[[Applied], None]] = field(default_factory=list)
    on_restored: list[Callable[[Restored], None]] = field(default_factory=list)
    after_turn: list[Callable[[int], None]] = field(default_factory=list)  # with the time in microseconds


class CoordinationService:
    """Runs the coordination core of this proxy: passes it events and carries out its actions.

    Must be created in the running event loop; `opened_folder` is None for a proxy without a folder.
    """

    def __init__(
        self,
        name: str,
        settings: CoordinationSettings,
        key: bytes,
        opened_folder: OpenedFolder | None,
        machines: Mapping[str, StateMachine],
        addresses: Mapping[str, Address] | None = None,
    ) -> None:
        """`addresses` are dialled instead of those in the settings."""
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.turn_counters = Counters()
        self.observers = Observers()
        self.local_instance = new_instance(name)
        recovered = recover(opened_folder.base, opened_folder.records) if opened_folder else Recovered()
        clock_offset_ms = time.time_ns() // NS_PER_MS - now_us() // US_PER_MS
        self.core = CoordinationCore(
            self.local_instance,
            settings,
            opened_folder.identity if opened_folder else NO_DISK,
            recovered,
            initial_voters(key, settings.initial_voters),
            machines,
            random.random,
            lambda at_us: clock_offset_ms + at_us // US_PER_MS,
        )
        # The writer may report a full queue during an action, so its events are handled in a new turn.
        self.disk_writer = WriterThread(opened_folder.folder, self.on_disk_event) if opened_folder else None
        self.transport = TransportService(
            self.local_instance,
            addresses or settings.addresses,
            key,
            MESSAGE_TYPES,
            self.on_peer_message,
            random.random,
        )
        self.timer: asyncio.TimerHandle | None = None
        self.due_us = NEVER_US
        self.pending_proposals: dict[str, asyncio.Future[ProposalFinished]] = {}
        self.session_closed = asyncio.Event()
        self.closed = False
        self.action_handlers: dict[type, Callable[..., None]] = {
            SendToPeer: self.on_send_to_peer,
            Persist: self.on_persist,
            ProposalFinished: self.on_proposal_finished,
            Applied: self.on_applied,
            Restored: self.on_restored,
            SessionClosed: self.on_session_closed,
            Ended: self.on_ended,
            LeaseAcquired: self.on_lease_acquired,
            LeaseLost: self.on_lease_lost,
        }

    # --- start and end ---

    async def start(self, listen: Address) -> Address:
        """Listen and join; return the bound address. OSError if `listen` is not available."""
        address = await self.transport.start(listen)
        self.handle_event(Start())
        return address

    async def leave(self) -> None:
        """Ask the log to close the session, wait for it up to a timeout, then `close`."""
        self.handle_event(Leave())
        try:
            await asyncio.wait_for(self.session_closed.wait(), LEAVE_TIMEOUT_S)
        except TimeoutError:
            log.info("council: nobody took the end of the session; it ends by time")
        await self.close()

    async def close(self) -> None:
        """Stop immediately; pending proposals finish with an unknown outcome."""
        self.closed = True
        if self.timer:
            self.timer.cancel()
        self.transport.close()
        self.abandon_proposals()
        if self.disk_writer and not await self.disk_writer.close(DISK_CLOSE_TIMEOUT_S):
            log.warning("council: the disk did not take all in time")

    # --- requests ---

    def holds_session(self) -> bool:
        """Whether the session is valid now; must be checked at each use."""
        return self.core.holds_session(now_us())

    async def propose(self, machine: str, proposal_id: str, body: bytes, timeout_us: int) -> ProposalFinished:
        """Propose an entry for a state machine; return its outcome. A pending id is not proposed again."""
        outcome = self.pending_proposals.get(proposal_id)
        if outcome is None:
            is_full = len(self.pending_proposals) >= MAX_PENDING_PROPOSALS
            if is_full or self.closed or self.core.end_reason:
                return ProposalFinished(proposal_id, ProposalStatus.REJECTED)
            outcome = self.loop.create_future()
            self.pending_proposals[proposal_id] = outcome
            self.handle_event(Propose(machine, proposal_id, body, timeout_us))
        return await asyncio.shield(outcome)

    def abandon_proposals(self) -> None:
        """Finish all pending proposals with an unknown outcome."""
        for proposal_id in list(self.pending_proposals):
            self.on_proposal_finished(ProposalFinished(proposal_id, ProposalStatus.UNKNOWN))

    # --- events ---

    def on_peer_message(self, protocol: str, received: MessageReceived) -> None:
        """Handle a message from a peer."""
        self.handle_event(PeerMessage(protocol, received))

    def on_disk_event(self, event: Persisted | DiskFailed) -> None:
        """Handle an event of the disk writer in a new turn."""
        self.loop.call_soon(self.handle_event, event)

    def handle_event(self, event: Event) -> None:
        """Handle one event and execute the resulting actions; not reentrant."""
        if self.closed:
            return
        at_us = now_us()
        cpu_start_ns = time.thread_time_ns()
        for action in self.core.handle(at_us, event):
            self.execute_action(action)
        for callback in self.observers.after_turn:
            callback(at_us)
        counters = self.turn_counters
        counters.turns += 1
        turn_us = (time.thread_time_ns() - cpu_start_ns) // NS_PER_US
        counters.longest_turn_us = max(counters.longest_turn_us, turn_us)
        self.set_timer()

    def execute_action(self, action: Action) -> None:
        """Execute an action; an exception is logged and affects this action only."""
        try:
            log_action(action)
            if handler := self.action_handlers.get(type(action)):
                handler(action)
        except Exception:
            log.exception("council: cannot carry out %r", action)

    def set_timer(self) -> None:
        """Set the only timer to the next due time; an earlier time replaces a later one."""
        due_us = self.core.wake_us
        if self.closed or (self.timer and self.due_us <= due_us):
            return
        if self.timer:
            self.timer.cancel()
        self.due_us = due_us
        delay_s = max(0, due_us - now_us()) / SECOND_US
        self.timer = None if due_us >= NEVER_US else self.loop.call_later(delay_s, self.on_timer)

    def on_timer(self) -> None:
        """Tick, unless the due time was postponed in the meantime."""
        self.timer = None
        self.due_us = NEVER_US
        if self.core.wake_us <= now_us():
            self.handle_event(Tick())
        else:
            self.set_timer()

    # --- actions ---

    def on_send_to_peer(self, action: SendToPeer) -> None:
        """Send a message to a peer."""
        self.transport.send(action.protocol, action.message)

    def on_persist(self, action: Persist) -> None:
        """Write to the disk. Without one, confirm at once: the proxy relearns the log after a restart."""
        if self.disk_writer:
            self.disk_writer.append(action.token, action.records, action.base)
        else:
            self.loop.call_soon(self.handle_event, Persisted(action.token))

    def on_proposal_finished(self, action: ProposalFinished) -> None:
        """Set the result of a pending proposal."""
        outcome = self.pending_proposals.pop(action.id, None)
        if outcome and not outcome.done():
            outcome.set_result(action)

    def on_applied(self, action: Applied) -> None:
        """Notify observers of an applied entry."""
        self.turn_counters.applied += 1
        for callback in self.observers.on_applied:
            callback(action)

    def on_restored(self, action: Restored) -> None:
        """Notify observers that the state machines were restored from a snapshot."""
        for callback in self.observers.on_restored:
            callback(action)

    def on_session_closed(self, action: SessionClosed) -> None:
        """Let `leave` continue: the session is closed."""
        self.session_closed.set()

    def on_ended(self, action: Ended) -> None:
        """Abandon proposals: this instance no longer takes part."""
        self.abandon_proposals()

    def on_lease_acquired(self, action: LeaseAcquired) -> None:
        """Count an acquired session."""
        self.turn_counters.sessions_acquired += 1

    def on_lease_lost(self, action: LeaseLost) -> None:
        """Count a lost session."""
        self.turn_counters.sessions_lost += 1

    # --- counters ---

    def counters(self) -> dict[str, int]:
        """The state of coordination as numbers, under the operator's counter names."""
        core = self.core
        peers = self.transport.stats().peers.values()
        return {
            "council_position": core.position,
            "council_session": core.components.lease_holder.fencing_token if self.holds_session() else 0,
            "council_leads": int(core.leader == self.local_instance.name),
            "council_alive": len(core.components.membership.live_instances()),
            "council_links": len([peer for peer in peers if peer.state == "up"]),
            "council_turns": self.turn_counters.turns,
            "council_longest_turn_us": self.turn_counters.longest_turn_us,
            "council_sessions_lost": self.turn_counters.sessions_lost,
        }
