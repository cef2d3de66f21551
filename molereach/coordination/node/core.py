"""Combines the coordination components of one proxy into one sans-I/O core.

An action of a component becomes an event of another component, or an action of the core for the I/O layer:
a message to a peer, a disk write or a notification. An applied entry is first reported to the observers of
the log; only then may the lease holder acknowledge it. So an acknowledged entry is in effect at this proxy.
"""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from molereach.coordination.dissemination import messages as dissemination
from molereach.coordination.interface.core import SendMessage, Tick
from molereach.coordination.interface.disk import DiskFailed, Persisted
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    LeaderChanged,
    ProposalFinished,
    Propose,
    Restored,
    StateMachine,
)
from molereach.coordination.leases import messages as leases
from molereach.coordination.leases.acknowledgements import AcknowledgementTracker
from molereach.coordination.leases.messages import LeasePhase
from molereach.coordination.membership.events import Join, MemberStatusChanged, Superseded
from molereach.coordination.membership.events import Leave as LeaveMembers
from molereach.coordination.node.components import (
    DISSEMINATION,
    LEASE_HOLDER,
    LEASE_MANAGER,
    LOG,
    MEMBERSHIP,
    Components,
)
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
from molereach.coordination.node.settings import CoordinationSettings
from molereach.coordination.node.translations import TRANSLATIONS
from molereach.coordination.replicated_log.messages import Voters
from molereach.coordination.replicated_log.records import Recovered

MAX_RECENT_ENTRIES = 64  # newly applied entries passed to dissemination at once


class PendingAction(NamedTuple):
    """An undispatched action and the component that returned it."""

    component: str
    action: Any


class CoordinationCore:
    """`handle` processes an event at a given time and returns actions in the order of execution."""

    def __init__(
        self,
        local_instance: NodeInstance,
        settings: CoordinationSettings,
        disk: str,
        recovered: Recovered,
        initial_voters: Voters,
        machines: Mapping[str, StateMachine],
        random: Callable[[], float],
        wall_ms: Callable[[int], int],
    ) -> None:
        self.local_instance = local_instance
        self.settings = settings
        self.components = Components(
            local_instance, settings, disk, recovered, initial_voters, machines, random, wall_ms
        )
        self.leader: str | None = None
        self.ballot = 0
        self.end_reason = ""  # set when this instance has stopped taking part
        self.session_closed = False
        self.last_received_us = 0  # time of the last message from any peer
        self._recent_entries: list[Any] = []
        self._pending_actions: deque[PendingAction] = deque()
        self._output: list[Action] = []

    # --- queries ---

    @property
    def wake_us(self) -> int:
        """The time at which the next `Tick` is due."""
        return self.components.wake_us

    @property
    def position(self) -> int:
        """The position of the last applied entry."""
        return self.components.log.position

    def holds_session(self, now_us: int) -> bool:
        """Whether this proxy's session is valid now; must be checked at each use."""
        return not self.end_reason and self.components.lease_holder.holds(now_us)

    def is_isolated(self, now_us: int) -> bool:
        """Whether no message was received from any peer for the isolation timeout."""
        has_peers = len(self.settings.addresses) > 1
        return has_peers and now_us - self.last_received_us > self.settings.isolation_timeout_us

    def track_acknowledgements(
        self, position: int, since_us: int, clear: bool = False
    ) -> AcknowledgementTracker:
        """A tracker of who has applied `position`, or with `clear` finished all work before it."""
        components = self.components
        return AcknowledgementTracker(
            position, components.sessions, components.lease_manager, since_us, clear
        )

    # --- events ---

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Process an event and all resulting events of the components; return the remaining actions."""
        if self.end_reason:
            return []
        self._dispatch_event(now_us, event)
        while self._pending_actions and not self.end_reason:
            pending = self._pending_actions.popleft()
            self._dispatch_action(now_us, pending)
        self._pending_actions.clear()
        output = self._output
        self._output = []
        return output

    def _dispatch_event(self, now_us: int, event: Event) -> None:
        match event:
            case Tick():
                self._tick(now_us)
            case PeerMessage(protocol, received):
                self.last_received_us = now_us
                self._run_component(protocol, now_us, received)
            case Persisted() | DiskFailed() | Propose():
                self._run_component(LOG, now_us, event)
            case Start():
                self._start(now_us)
            case Leave():
                self._run_component(LEASE_HOLDER, now_us, leases.ReleaseLease())
                self._run_component(MEMBERSHIP, now_us, LeaveMembers())

    def _start(self, now_us: int) -> None:
        self.last_received_us = now_us
        seeds = tuple(name for name in self.settings.addresses if name != self.local_instance.name)
        self._run_component(MEMBERSHIP, now_us, Join(seeds))
        self._update_cluster_state(now_us)
        self._tick(now_us)

    def _tick(self, now_us: int) -> None:
        """Tick the components that are due. The lease holder is last: it acknowledges applied entries."""
        for name, component in self.components.by_name.items():
            if component.wake_us <= now_us:
                self._run_component(name, now_us, Tick())

    def _run_component(self, name: str, now_us: int, event: object) -> None:
        actions = self.components.by_name[name].handle(now_us, event)
        self._pending_actions.extend(PendingAction(name, action) for action in actions)

    def _run_lease_components(self, now_us: int, event: object) -> None:
        self._run_component(LEASE_MANAGER, now_us, event)
        self._run_component(LEASE_HOLDER, now_us, event)

    # --- actions of components ---

    def _dispatch_action(self, now_us: int, pending: PendingAction) -> None:
        action = pending.action
        if handler := ACTION_HANDLERS.get(type(action)):
            handler(self, now_us, action)
        elif translation := TRANSLATIONS.get(type(action)):
            self._run_component(translation.component, now_us, translation.to_event(action))
        elif isinstance(action, SendMessage):
            self._output.append(SendToPeer(pending.component, action))
        else:
            self._output.append(action)

    def _on_applied(self, now_us: int, action: Applied) -> None:
        self._output.append(action)  # before the lease holder can acknowledge it: observers act on it first
        self._recent_entries = [*self._recent_entries, action.entry][-MAX_RECENT_ENTRIES:]
        self._run_lease_components(now_us, action)
        if not any(isinstance(pending.action, Applied) for pending in self._pending_actions):
            self._report_progress(now_us)

    def _report_progress(self, now_us: int) -> None:
        recent = tuple(self._recent_entries)
        self._recent_entries = []
        self._run_component(DISSEMINATION, now_us, dissemination.LogAdvanced(self.position, recent))

    def _on_restored(self, now_us: int, action: Restored) -> None:
        self._output.append(action)
        self._recent_entries = []
        self._run_lease_components(now_us, action)
        self._report_progress(now_us)

    def _on_leader_changed(self, now_us: int, action: LeaderChanged) -> None:
        self._output.append(action)
        self.leader = action.leader
        self.ballot = action.ballot
        self._run_lease_components(now_us, action)
        self._update_cluster_state(now_us)

    def _on_member_changed(self, now_us: int, action: MemberStatusChanged) -> None:
        self._output.append(action)
        self._update_cluster_state(now_us)

    def _update_cluster_state(self, now_us: int) -> None:
        voters = tuple(voter.name for voter in self.components.log.voters)
        members = self.components.membership.live_instances()
        state = dissemination.ClusterState(members, self.leader, self.ballot, voters)
        self._run_component(DISSEMINATION, now_us, state)

    def _on_proposal_finished(self, now_us: int, action: ProposalFinished) -> None:
        self._run_lease_components(now_us, action)
        self._output.append(action)
        self._check_lease_phase()

    def _on_lease_lost(self, now_us: int, action: leases.LeaseLost) -> None:
        self._output.append(action)
        self._check_lease_phase()

    def _check_lease_phase(self) -> None:
        """Report that the session was closed, or superseded by another instance of this proxy."""
        phase = self.components.lease_holder.phase
        if phase is LeasePhase.LEFT and not self.session_closed:
            self.session_closed = True
            self._output.append(SessionClosed())
        elif phase is LeasePhase.SUPERSEDED and not self.end_reason:
            self._end("a later run of this front door has a session")

    def _on_superseded(self, now_us: int, action: Superseded) -> None:
        self._end(f"a later run goes by this front door's name: {action.instance.number}")

    def _end(self, reason: str) -> None:
        self.end_reason = reason
        self._output.append(Ended(reason))


ACTION_HANDLERS: dict[type, Callable[[CoordinationCore, int, Any], None]] = {
    Applied: CoordinationCore._on_applied,
    Restored: CoordinationCore._on_restored,
    LeaderChanged: CoordinationCore._on_leader_changed,
    MemberStatusChanged: CoordinationCore._on_member_changed,
    Superseded: CoordinationCore._on_superseded,
    ProposalFinished: CoordinationCore._on_proposal_finished,
    leases.LeaseLost: CoordinationCore._on_lease_lost,
}
