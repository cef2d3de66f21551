"""Selects the parent, on changes reported by the log and by messages from other proxies."""

from collections.abc import Callable, Collection

from molereach.coordination.dissemination.messages import ClusterState, Redirect
from molereach.coordination.dissemination.parent_tracker import HeartbeatId, ParentTracker
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.dissemination.tree_state import TreeState
from molereach.coordination.interface.identifiers import NodeInstance


class ParentSelection:
    """Sets the parent, `tracker.parent_name`; the core sees changes and reports to a new parent at once."""

    def __init__(
        self, local: NodeInstance, settings: DisseminationSettings, draw: Callable[[], float]
    ) -> None:
        self.local = local
        self.state = TreeState(local, settings.fanout)
        self.tracker = ParentTracker(settings, draw)

    def is_connected(self, now_us: int) -> bool:
        """Whether this proxy receives current heartbeats of the newest known leader."""
        if self.state.is_leader:
            return True
        same_ballot = self.tracker.last_heartbeat[0] == self.state.ballot
        return self.tracker.is_connected(now_us) and same_ballot

    def apply_cluster_state(self, now_us: int, reported: ClusterState, children: Collection[str]) -> bool:
        """Apply membership and leadership; returns whether this proxy starts to lead a ballot."""
        ballot_before = self.state.ballot
        led_before = self.state.is_leader
        preferred_before = self.state.tree.parent
        self.state.apply_cluster_state(reported)
        leader_changed = self.state.ballot > ballot_before
        if self.state.is_leader:
            starts_leading = leader_changed or not led_before
            if starts_leading:
                self.tracker.detach()
            return starts_leading
        self.on_leader_changed(now_us, leader_changed, preferred_before)
        preferred = self.state.tree.parent
        if preferred is None or led_before:
            if self.tracker.parent_name is None:
                self.search(now_us, children)
        elif preferred != self.tracker.parent_name:
            has_new_leader = leader_changed and self.state.leader is not None
            if has_new_leader or (preferred != preferred_before and not self.is_connected(now_us)):
                self.tracker.attach(now_us, preferred)
        return False

    def observe_leader(self, now_us: int, ballot: int, leader: str | None) -> bool:
        """Apply the leader that another proxy reported; returns whether it was new here."""
        preferred_before = self.state.tree.parent
        if leader is None or not self.state.observe_leader(ballot, leader):
            return False
        self.on_leader_changed(now_us, True, preferred_before)
        return True

    def on_leader_changed(self, now_us: int, leader_changed: bool, preferred_before: str | None) -> None:
        """Restart the search under a changed leader, and ask the preferred parent if that may differ now."""
        if leader_changed:
            self.tracker.attempts = 0
        if leader_changed or self.state.tree.parent != preferred_before:
            self.tracker.schedule_preferred_request(now_us)

    def search(self, now_us: int, children: Collection[str]) -> None:
        """Follow the next candidate (see `ParentTracker.try_next_candidate`)."""
        self.tracker.try_next_candidate(now_us, self.state.tree, self.state.voters, children)

    def on_update(
        self, now_us: int, sender: str, heartbeat: HeartbeatId, depth: int, leader_changed: bool
    ) -> bool:
        """Apply a downstream update; returns whether it is a new heartbeat of the parent."""
        tracker = self.tracker
        # During a search, an earlier candidate may have been connected meanwhile. A proxy that returns to its
        # preferred parent (attempts is 0) keeps waiting for that.
        is_searching = (leader_changed or tracker.attempts > 0) and not self.is_connected(now_us)
        if is_searching and heartbeat > tracker.last_heartbeat and sender != tracker.parent_name:
            tracker.attach(now_us, sender)
        if sender != tracker.parent_name or not tracker.on_heartbeat(now_us, heartbeat, depth):
            return False
        tracker.ensure_preferred_request_scheduled(now_us, self.state.tree)
        return True

    def on_redirect(self, now_us: int, sender: str, message: Redirect, children: Collection[str]) -> None:
        """Apply a redirect from the parent, or the consent of the preferred parent."""
        preferred = self.state.tree.parent
        tracker = self.tracker
        if self.observe_leader(now_us, message.ballot, message.leader):
            tracker.attach(now_us, self.state.tree.parent)
        elif self.state.is_leader or message.parent == self.local.name:
            return
        elif message.parent == sender:  # consent to be the parent; only the preferred parent was asked
            if sender == preferred != tracker.parent_name:
                tracker.attach(now_us, sender)
        elif sender == tracker.parent_name and not tracker.follow_redirect(now_us, message.parent):
            self.search(now_us, children)
