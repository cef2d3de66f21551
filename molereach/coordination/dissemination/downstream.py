"""Words down: a pulse to all below, entries at once, each grant only to the child that its ask came by."""

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
    RenewalGrant,
)
from molereach.coordination.dissemination.parent_tracker import ParentTracker
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.dissemination.tree_state import TreeState
from molereach.coordination.interface.core import SendMessage

Actions = list[Action | SendMessage]


class Downstream:
    """What is known below, and what goes there; `out` is the core's list of actions."""

    def __init__(self, settings: DisseminationSettings, standing: TreeState, above: ParentTracker) -> None:
        self.state, self.tracker = standing, above
        self.children = Children(settings)
        self.aggregator = RenewalAggregator(standing.local.name, 4 * settings.heartbeat_interval_us)
        self.forwarder = EntryForwarder(settings)

    def send_heartbeat(self, now_us: int, grants: Iterable[RenewalGrant], out: Actions) -> None:
        """A beat begins: one word to each child, with the grants for those below it."""
        self.forwarder.on_heartbeat()
        self.children.start_interval(now_us)
        below = self.route_grants(grants, out)
        for name in self.children.table:
            self.send_update(name, out, grants=tuple(below.get(name, ())))

    def forward_grants(self, grants: Iterable[RenewalGrant], out: Actions) -> None:
        """Pass grants on between pulses."""
        for name, some in self.route_grants(grants, out).items():
            if name in self.children:
                self.send_update(name, out, grants=tuple(some))

    def route_grants(self, grants: Iterable[RenewalGrant], out: Actions) -> dict[str, list[RenewalGrant]]:
        """Keep what is this front door's own; the rest by child."""
        own, below = self.aggregator.route_grants(grants)
        if own:
            out.append(LocalGrants(tuple(own)))
        return below

    def on_log_advanced(self, grown: LogAdvanced, out: Actions) -> None:
        if not self.forwarder.advance(grown.position, grown.entries):
            return
        for name, child in self.children.table.items():
            if child.applied_position < self.forwarder.applied_position:
                self.send_update(name, out, with_entries=True)

    def send_update(
        self, name: str, out: Actions, with_entries: bool = False, grants: tuple[RenewalGrant, ...] = ()
    ) -> None:
        child, (ballot, number) = self.children.table[name], self.tracker.last_heartbeat
        leader = self.state.leader
        if leader is None or ballot < self.state.ballot:  # nothing of the newest leader is known here
            return
        entries = self.forwarder.entries_after(child.applied_position) if with_entries else ()
        word = DownstreamUpdate(
            ballot, number, leader, self.tracker.depth, self.forwarder.applied_position, entries, grants
        )
        out.append(SendMessage(name, word, child.instance_number))

    def send_redirect(self, name: str, parent: str | None, out: Actions) -> None:
        if parent is not None and parent != name:
            out.append(SendMessage(name, Redirect(parent, self.state.ballot, self.state.leader)))
