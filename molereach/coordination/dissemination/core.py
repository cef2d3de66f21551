"""The core of the dissemination tree: heartbeats, entries and grants downstream, reports upstream.

Any shape of the tree is safe: lost or duplicated messages only cause delays, and a stale ballot never
replaces a newer one. Source: docs/design/council.md, "How entries reach all".
"""

from collections.abc import Callable, Iterable
from typing import Any

from molereach.coordination.dissemination.downstream import Actions, Downstream
from molereach.coordination.dissemination.heartbeat import HeartbeatTimer
from molereach.coordination.dissemination.messages import (
    ClusterState,
    DownstreamUpdate,
    EntriesReceived,
    FetchEntries,
    GrantsIssued,
    LogAdvanced,
    ParentChanged,
    ParentRequest,
    Redirect,
    RenewalWanted,
    RequestsCollected,
    UpstreamReport,
)
from molereach.coordination.dissemination.parent_selection import ParentSelection
from molereach.coordination.dissemination.parent_tracker import HeartbeatId
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import NEVER_US, MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance
from molereach.coordination.interface.sessions import RenewalGrant


class DisseminationTree:
    """Decides what to send to the parent and the children. Implements `Core` of the interface."""

    def __init__(
        self, local: NodeInstance, settings: DisseminationSettings, draw: Callable[[], float]
    ) -> None:
        self.local = local
        self.settings = settings
        self.selection = ParentSelection(local, settings, draw)
        self.state = self.selection.state
        self.tracker = self.selection.tracker
        self.downstream = Downstream(settings, self.state, self.tracker)
        self.heartbeat = HeartbeatTimer(settings)
        self.reported_parent: str | None = None  # in the last `ParentChanged`
        self.heartbeat_number = 0  # of the last heartbeat issued as leader
        self.pending_grants: dict[str, RenewalGrant] = {}  # at the leader, by name, for the next heartbeat
        self.last_fetch_us = -settings.fetch_interval_us
        self.actions: Actions = []

    @property
    def wake_us(self) -> int:
        """When the next Tick is due; `NEVER_US` if none is."""
        wake_us = self.heartbeat.wake_us(self.downstream.children.all_reported)
        if self.state.is_leader:
            return wake_us
        return min(wake_us, self.tracker.expires_us, self.tracker.preferred_retry_us)

    def handle(self, now_us: int, event: Any) -> Actions:  # noqa: ANN401
        """Apply one event at `now_us` (monotonic microseconds); returns the actions to perform, in order."""
        match event:
            case MessageReceived():
                if not self.state.is_stale(event.sender):
                    self.on_message(now_us, event.sender, event.message)
            case ClusterState():
                self.on_cluster_state(now_us, event)
            case LogAdvanced():
                self.downstream.on_log_advanced(event, self.actions)
            case RenewalWanted():
                self.on_renewal_wanted(event)
            case GrantsIssued():
                self.on_grants(now_us, event.grants)
            case Tick():
                pass
        self.tick(now_us)
        actions = self.actions
        self.actions = []
        return actions

    # --- time ---

    def tick(self, now_us: int) -> None:
        """Perform what is due; called after every event."""
        if self.state.is_leader:
            if now_us >= self.heartbeat.next_heartbeat_us:
                self.start_heartbeat(now_us)
        else:
            self._check_parent(now_us)
        changed = self.tracker.parent_name != self.reported_parent
        if changed:
            self.reported_parent = self.tracker.parent_name
            self.actions.append(ParentChanged(self.reported_parent))
        # A report to a new parent is due at once, as it makes this proxy a child there.
        has_new_parent = changed and self.reported_parent is not None
        if self.heartbeat.should_report(now_us, self.downstream.children.all_reported) or has_new_parent:
            self.send_report(now_us)

    def _check_parent(self, now_us: int) -> None:
        self.heartbeat.next_heartbeat_us = NEVER_US
        if self.tracker.is_expired(now_us):
            self.selection.search(now_us, self.downstream.children.table)
        if preferred := self.tracker.preferred_to_request(now_us, self.state.tree):
            self.actions.append(SendMessage(preferred, ParentRequest()))

    def start_heartbeat(self, now_us: int) -> None:
        """At the leader: issue a new heartbeat, with the pending grants."""
        self.heartbeat_number += 1
        self.heartbeat.next_heartbeat_us = now_us + self.settings.heartbeat_interval_us
        self.tracker.last_heartbeat = HeartbeatId(self.state.ballot, self.heartbeat_number)
        grants = self.pending_grants
        self.pending_grants = {}
        self.forward_heartbeat(now_us, grants.values())

    def forward_heartbeat(self, now_us: int, grants: Iterable[RenewalGrant]) -> None:
        """Send a heartbeat to the children, and start the timers for their reports."""
        self.downstream.send_heartbeat(now_us, grants, self.actions)
        self.heartbeat.on_heartbeat(now_us, self.state.ballot, self.tracker.depth)

    def send_report(self, now_us: int) -> None:
        """Send the collected requests to the parent; at the leader, emit them for the lease manager."""
        requests = self.downstream.aggregator.flush(now_us)
        if self.state.is_leader:
            self.heartbeat.mark_collected()
            if requests:
                self.actions.append(RequestsCollected(requests))
            return
        self.heartbeat.on_report(now_us)
        if self.tracker.parent_name is not None:
            position = self.downstream.forwarder.applied_position
            report = UpstreamReport(position, self.downstream.children.subtree_size, requests)
            self.actions.append(SendMessage(self.tracker.parent_name, report))

    # --- local events ---

    def on_cluster_state(self, now_us: int, reported: ClusterState) -> None:
        """Apply membership and leadership; a new leader issues a heartbeat at once."""
        starts_leading = self.selection.apply_cluster_state(now_us, reported, self.downstream.children.table)
        for name, instance_number in self.state.live_instance_numbers.items():
            self.downstream.children.remove_older_instance(name, instance_number)
        if starts_leading:
            self.pending_grants = {}
            self.start_heartbeat(now_us)

    def on_renewal_wanted(self, event: RenewalWanted) -> None:
        """Set this proxy's renewal request if it is for this instance."""
        request = event.request
        if request.name == self.local.name and request.instance_number == self.local.number:
            self.downstream.aggregator.set_local_request(request)

    def on_grants(self, now_us: int, grants: tuple[RenewalGrant, ...]) -> None:
        """At the leader: keep grants for the next heartbeat, or send them now if that is too far off."""
        if not self.state.is_leader:
            return
        if not self.heartbeat.is_heartbeat_soon(now_us):
            self.downstream.forward_grants(grants[:MAX_MEMBERS], self.actions)
            return
        local_grants = [grant for grant in grants if grant.name == self.local.name]
        self.downstream.forward_grants(local_grants, self.actions)
        for grant in grants:
            if grant.name != self.local.name:
                self._keep_grant(grant)

    def _keep_grant(self, grant: RenewalGrant) -> None:
        pending = self.pending_grants.get(grant.name)
        if pending is None:
            if len(self.pending_grants) < MAX_MEMBERS:
                self.pending_grants[grant.name] = grant
        elif (grant.instance_number, grant.number) >= (pending.instance_number, pending.number):
            self.pending_grants[grant.name] = grant

    # --- messages ---

    def on_message(self, now_us: int, sender: NodeInstance, message: Any) -> None:  # noqa: ANN401
        """Apply a message of another proxy; ignores unknown types."""
        match message:
            case UpstreamReport():
                self.on_report(now_us, sender, message)
            case DownstreamUpdate():
                self.on_update(now_us, sender, message)
            case Redirect():
                self.selection.on_redirect(now_us, sender.name, message, self.downstream.children.table)
            case ParentRequest():
                self.on_parent_request(now_us, sender)

    def on_parent_request(self, now_us: int, sender: NodeInstance) -> None:
        """Consent to be the sender's parent if connected and with capacity, unless that is the own parent."""
        has_capacity = self.downstream.children.has_capacity_for(sender.name, self.state.tree.children)
        if has_capacity and sender.name != self.tracker.parent_name and self.selection.is_connected(now_us):
            self.downstream.send_redirect(sender.name, self.local.name, self.actions)

    def on_report(self, now_us: int, sender: NodeInstance, report: UpstreamReport) -> None:
        """Apply a report; the sender becomes a child or is redirected to one."""
        children = self.downstream.children
        if children.has_newer_instance(sender):
            return
        if not children.update(now_us, sender, report) and not self._admit(now_us, sender, report):
            return
        live = self.state.live_instance_numbers
        self.downstream.aggregator.collect(now_us, sender.name, report.renewal_requests, live)
        # The reports of this interval are collected already, so a late one is passed on at once.
        if self.state.is_leader and self.heartbeat.has_collected:
            self.send_report(now_us)

    def _admit(self, now_us: int, sender: NodeInstance, report: UpstreamReport) -> bool:
        children = self.downstream.children
        admission = children.admit(now_us, sender, report, self.state.tree.children)
        if evicted := admission.evicted:
            self.downstream.send_redirect(evicted, children.choose_redirect_target(evicted), self.actions)
        if not admission.admitted:
            self.downstream.send_redirect(
                sender.name, children.choose_redirect_target(sender.name), self.actions
            )
            return False
        if self.selection.is_connected(now_us):
            self.downstream.send_update(sender.name, self.actions, with_entries=True)
        return True

    def on_update(self, now_us: int, sender: NodeInstance, update: DownstreamUpdate) -> None:
        """Apply an update; redirects a sender that follows a replaced leader."""
        if update.ballot < self.state.ballot:
            self.downstream.send_redirect(sender.name, self.state.leader, self.actions)
            return
        leader_changed = self.selection.observe_leader(now_us, update.ballot, update.leader)
        if self.state.is_leader or update.leader != self.state.leader:
            return
        heartbeat = HeartbeatId(update.ballot, update.heartbeat_number)
        is_heartbeat = self.selection.on_update(now_us, sender.name, heartbeat, update.depth, leader_changed)
        if is_heartbeat and self.heartbeat.should_forward(now_us, update.ballot):
            self.forward_heartbeat(now_us, update.grants)
        else:
            self.downstream.forward_grants(update.grants, self.actions)
        self.deliver_entries(now_us, sender.name, update)

    def deliver_entries(self, now_us: int, sender: str, update: DownstreamUpdate) -> None:
        """Deliver new entries to the log, and have it fetch missing ones if it is still behind."""
        forwarder = self.downstream.forwarder
        if new_entries := forwarder.take_new(update.entries):
            self.actions.append(EntriesReceived(new_entries))
        may_fetch = now_us - self.last_fetch_us >= self.settings.fetch_interval_us
        if forwarder.is_behind(update.applied_position) and may_fetch:
            self.last_fetch_us = now_us
            self.actions.append(FetchEntries(sender))
