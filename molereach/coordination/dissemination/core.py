"""The tree at one front door: pulses, entries and grants down, asks up, a parent that is true to the leader.

Any tree is safe: a word that is lost or comes twice costs time only, and a stale ballot never replaces a
newer one. Source: docs/design/council.md, "How entries reach all".
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
    RenewalGrant,
    RenewalWanted,
    RequestsCollected,
    UpstreamReport,
)
from molereach.coordination.dissemination.parent_selection import ParentSelection
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import NEVER_US, MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance


class DisseminationTree:
    """Decides who tells whom. A `Core` of the interface."""

    def __init__(self, me: NodeInstance, settings: DisseminationSettings, draw: Callable[[], float]) -> None:
        self.local, self.settings = me, settings
        self.selection = ParentSelection(me, settings, draw)
        self.state, self.tracker = self.selection.state, self.selection.tracker
        self.downstream = Downstream(settings, self.state, self.tracker)
        self.heartbeat = HeartbeatTimer(settings)
        self.reported_parent: str | None = None  # as was last told by `Parent`
        self.heartbeat_number = 0  # of the last pulse that was made here
        self.pending_grants: dict[str, RenewalGrant] = {}  # at the leader, for the next pulse
        self.last_fetch_us = -settings.fetch_interval_us
        self.actions: Actions = []

    @property
    def wake_us(self) -> int:
        wake = self.heartbeat.wake_us(self.downstream.children.all_reported)
        return (
            wake
            if self.state.is_leader
            else min(wake, self.tracker.expires_us, self.tracker.preferred_retry_us)
        )

    def handle(self, now_us: int, event: Any) -> Actions:  # noqa: ANN401
        """Take one event; what is to be done, in order."""
        match event:
            case MessageReceived():
                if not self.state.is_stale(event.sender):
                    self.on_message(now_us, event.sender, event.message)
            case ClusterState():
                self.on_cluster_state(now_us, event)
            case LogAdvanced():
                self.downstream.on_log_advanced(event, self.actions)
            case RenewalWanted():
                if (
                    event.request.name == self.local.name
                    and event.request.instance_number == self.local.number
                ):
                    self.downstream.aggregator.set_local_request(event.request)
            case GrantsIssued():
                self.on_grants(now_us, event.grants)
            case Tick():
                pass
        self.tick(now_us)
        out, self.actions = self.actions, []
        return out

    # --- time ---

    def tick(self, now_us: int) -> None:
        if self.state.is_leader:
            if now_us >= self.heartbeat.next_heartbeat_us:
                self.start_heartbeat(now_us)
        else:
            self.heartbeat.next_heartbeat_us = NEVER_US
            if self.tracker.is_expired(now_us):
                self.selection.search(now_us, self.downstream.children.table)
            if home := self.tracker.preferred_to_request(now_us, self.state.tree):
                self.actions.append(SendMessage(home, ParentRequest()))
        moved = self.tracker.name != self.reported_parent
        if moved:
            self.reported_parent = self.tracker.name
            self.actions.append(ParentChanged(self.reported_parent))
        if self.heartbeat.should_report(now_us, self.downstream.children.all_reported) or (
            moved and self.reported_parent is not None
        ):
            self.send_report(now_us)

    def start_heartbeat(self, now_us: int) -> None:
        self.heartbeat_number += 1
        self.heartbeat.next_heartbeat_us = now_us + self.settings.heartbeat_interval_us
        self.tracker.last_heartbeat = (self.state.ballot, self.heartbeat_number)
        held, self.pending_grants = self.pending_grants, {}
        self.forward_heartbeat(now_us, held.values())

    def forward_heartbeat(self, now_us: int, grants: Iterable[RenewalGrant]) -> None:
        self.downstream.send_heartbeat(now_us, grants, self.actions)
        self.heartbeat.on_heartbeat(now_us, self.state.ballot, self.tracker.depth)

    def send_report(self, now_us: int) -> None:
        """What was gathered goes up; at the leader it is there."""
        asks = self.downstream.aggregator.flush(now_us)
        if self.state.is_leader:
            self.heartbeat.on_collected()
            if asks:
                self.actions.append(RequestsCollected(asks))
            return
        self.heartbeat.on_report(now_us)
        if self.tracker.name is not None:
            word = UpstreamReport(
                self.downstream.forwarder.applied_position, self.downstream.children.subtree_size, asks
            )
            self.actions.append(SendMessage(self.tracker.name, word))

    def on_cluster_state(self, now_us: int, view: ClusterState) -> None:
        begins = self.selection.apply_cluster_state(now_us, view, self.downstream.children.table)
        for name, life in self.state.live_numbers.items():
            self.downstream.children.remove_older_instance(name, life)
        if begins:
            self.pending_grants = {}
            self.start_heartbeat(now_us)

    # --- what others say ---

    def on_message(self, now_us: int, sender: NodeInstance, message: Any) -> None:  # noqa: ANN401
        match message:
            case UpstreamReport():
                self.on_report(now_us, sender, message)
            case DownstreamUpdate():
                self.on_update(now_us, sender, message)
            case Redirect():
                self.selection.on_redirect(now_us, sender.name, message, self.downstream.children.table)
            case ParentRequest():
                room = self.downstream.children.has_capacity_for(sender.name, self.state.tree.children)
                if room and sender.name != self.tracker.name and self.selection.is_connected(now_us):
                    self.downstream.send_redirect(sender.name, self.local.name, self.actions)

    def on_report(self, now_us: int, sender: NodeInstance, up: UpstreamReport) -> None:
        children = self.downstream.children
        if children.has_newer_instance(sender):
            return
        if not children.update(now_us, sender, up):
            taken, gone = children.admit(now_us, sender, up, self.state.tree.children)
            if gone:
                self.downstream.send_redirect(gone, children.smallest_child(gone), self.actions)
            if not taken:
                self.downstream.send_redirect(sender.name, children.smallest_child(sender.name), self.actions)
                return
            if self.selection.is_connected(now_us):
                self.downstream.send_update(sender.name, self.actions, with_entries=True)
        self.downstream.aggregator.collect(now_us, sender.name, up.renewal_requests, self.state.live_numbers)
        if self.state.is_leader and self.heartbeat.is_collected:  # too late for this beat's others
            self.send_report(now_us)

    def on_update(self, now_us: int, sender: NodeInstance, down: DownstreamUpdate) -> None:
        if down.ballot < self.state.ballot:  # it still follows one that was replaced
            self.downstream.send_redirect(sender.name, self.state.leader, self.actions)
            return
        newer = self.selection.observe_leader(now_us, down.ballot, down.leader)
        if self.state.is_leader or down.leader != self.state.leader:
            return
        pulse = self.selection.on_update(
            now_us, sender.name, (down.ballot, down.heartbeat_number), down.depth, newer
        )
        if pulse and self.heartbeat.should_forward(now_us, down.ballot):
            self.forward_heartbeat(now_us, down.grants)
        else:
            self.downstream.forward_grants(down.grants, self.actions)
        self.take_entries(now_us, sender.name, down)

    def take_entries(self, now_us: int, sender: str, down: DownstreamUpdate) -> None:
        if news := self.downstream.forwarder.take_new(down.entries):
            self.actions.append(EntriesReceived(news))
        if (
            self.downstream.forwarder.is_behind(down.applied_position)
            and now_us - self.last_fetch_us >= self.settings.fetch_interval_us
        ):
            self.last_fetch_us = now_us
            self.actions.append(FetchEntries(sender))

    # --- what the keeper of sessions gave ---

    def on_grants(self, now_us: int, grants: tuple[RenewalGrant, ...]) -> None:
        """What comes in time for the next pulse goes with it; what is late goes at once."""
        if not self.state.is_leader:
            return
        if not self.heartbeat.can_wait(now_us):
            self.downstream.forward_grants(grants[:MAX_MEMBERS], self.actions)
            return
        self.downstream.forward_grants(
            [grant for grant in grants if grant.name == self.local.name], self.actions
        )
        for grant in grants:
            held = self.pending_grants.get(grant.name)
            newer = held is None or (grant.instance_number, grant.number) >= (
                held.instance_number,
                held.number,
            )
            if grant.name != self.local.name and newer and (held or len(self.pending_grants) < MAX_MEMBERS):
                self.pending_grants[grant.name] = grant
