"""Messages to the children: heartbeats for all, entries as they are applied, grants along their routes."""

from collections.abc import Iterable

from molereach.coordination.dissemination.aggregation import RenewalAggregator
from molereach.coordination.dissemination.children import Children
from molereach.coordination.dissemination.entry_forwarding import EntryForwarder
from molereach.coordination.dissemination.messages import (
    Action,
    DownstreamUpdate,
    LocalGrants,
    LogAdvanced,
    Redirect,
)
from molereach.coordination.dissemination.parent_tracker import ParentTracker
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.dissemination.tree_state import TreeState
from molereach.coordination.interface.core import SendMessage
from molereach.coordination.interface.sessions import RenewalGrant

Actions = list[Action | SendMessage]

ROUTE_LIFETIME_INTERVALS = 4  # for which the route of a request is kept


class Downstream:
    """The state of the children, and the messages to them, which are appended to the core's `actions`."""

    def __init__(self, settings: DisseminationSettings, state: TreeState, tracker: ParentTracker) -> None:
        self.state = state
        self.tracker = tracker
        self.children = Children(settings)
        route_lifetime_us = ROUTE_LIFETIME_INTERVALS * settings.heartbeat_interval_us
        self.aggregator = RenewalAggregator(state.local.name, route_lifetime_us)
        self.forwarder = EntryForwarder(settings)

    def send_heartbeat(self, now_us: int, grants: Iterable[RenewalGrant], actions: Actions) -> None:
        """Start an interval: send one update to each child, with the grants for its subtree."""
        self.forwarder.on_heartbeat()
        self.children.start_interval(now_us)
        by_child = self.route_grants(grants, actions)
        for name in self.children.table:
            self.send_update(name, actions, grants=tuple(by_child.get(name, ())))

    def forward_grants(self, grants: Iterable[RenewalGrant], actions: Actions) -> None:
        """Forward grants without a heartbeat."""
        for name, child_grants in self.route_grants(grants, actions).items():
            if name in self.children:
                self.send_update(name, actions, grants=tuple(child_grants))

    def route_grants(self, grants: Iterable[RenewalGrant], actions: Actions) -> dict[str, list[RenewalGrant]]:
        """Deliver the grants for this proxy; returns those for others by child."""
        routed = self.aggregator.route_grants(grants)
        if routed.local:
            actions.append(LocalGrants(tuple(routed.local)))
        return routed.by_child

    def on_log_advanced(self, event: LogAdvanced, actions: Actions) -> None:
        """Send newly applied entries to the children that lack them."""
        if not self.forwarder.advance(event.position, event.entries):
            return
        for name, child in self.children.table.items():
            if child.applied_position < self.forwarder.applied_position:
                self.send_update(name, actions, with_entries=True)

    def send_update(
        self,
        name: str,
        actions: Actions,
        with_entries: bool = False,
        grants: tuple[RenewalGrant, ...] = (),
    ) -> None:
        """Send an update to a child if a heartbeat of the newest known leader has been received."""
        child = self.children.table[name]
        ballot, number = self.tracker.last_heartbeat
        leader = self.state.leader
        if leader is None or ballot < self.state.ballot:
            return
        position = self.forwarder.applied_position
        entries = self.forwarder.entries_after(child.applied_position) if with_entries else ()
        update = DownstreamUpdate(ballot, number, leader, self.tracker.depth, position, entries, grants)
        actions.append(SendMessage(name, update, child.instance_number))

    def send_redirect(self, name: str, parent: str | None, actions: Actions) -> None:
        """Tell a proxy to follow `parent`, unless that is None or the proxy itself."""
        if parent is not None and parent != name:
            redirect = Redirect(parent, self.state.ballot, self.state.leader)
            actions.append(SendMessage(name, redirect))
