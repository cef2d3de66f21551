"""Which leader is followed, and through which parent: how the log and messages of others change that."""

from collections.abc import Callable, Collection

from molereach.coordination.dissemination.messages import ClusterState, Redirect
from molereach.coordination.dissemination.parent_tracker import HeartbeatId, ParentTracker
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.dissemination.tree_state import TreeState
from molereach.coordination.interface.identifiers import NodeInstance


class ParentSelection:
    """The parent is `tracker.name`; the core reports a change and sends to a new parent at once."""

    def __init__(
        self, local: NodeInstance, settings: DisseminationSettings, draw: Callable[[], float]
    ) -> None:
        self.local = local
        self.state = TreeState(local, settings.fanout)
        self.tracker = ParentTracker(settings, draw)

    def is_connected(self, now_us: int) -> bool:
        """Whether messages from here derive from the newest leader known."""
        if self.state.is_leader:
            return True
        same_ballot = self.tracker.last_heartbeat[0] == self.state.ballot
        return self.tracker.is_connected(now_us) and same_ballot

    def apply_cluster_state(self, now_us: int, reported: ClusterState, below: Collection[str]) -> bool:
        """Apply membership and leadership; whether this proxy leads from now on, or under a new ballot."""
        ballot_before = self.state.ballot
        led_before = self.state.is_leader
        preferred_before = self.state.tree.parent
        self.state.apply_cluster_state(reported)
        is_newer = self.state.ballot > ballot_before
        if self.state.is_leader:
            begins = is_newer or not led_before
            if begins:
                self.tracker.detach()
            return begins
        self.on_leader_changed(now_us, is_newer, preferred_before)
        preferred = self.state.tree.parent
        if preferred is None or led_before:
            if self.tracker.name is None:
                self.search(now_us, below)
        elif preferred != self.tracker.name:
            has_new_leader = is_newer and self.state.leader is not None
            if has_new_leader or (preferred != preferred_before and not self.is_connected(now_us)):
                self.tracker.attach(now_us, preferred)
        return False

    def observe_leader(self, now_us: int, ballot: int, leader: str | None) -> bool:
        """Apply the leader that another proxy reported; whether it is newer than the one known here."""
        preferred_before = self.state.tree.parent
        if leader is None or not self.state.observe_leader(ballot, leader):
            return False
        self.on_leader_changed(now_us, True, preferred_before)
        return True

    def on_leader_changed(self, now_us: int, is_newer: bool, preferred_before: str | None) -> None:
        """Apply that another leads, or nobody, and that the parent by rank may have changed."""
        if is_newer:
            self.tracker.attempts = 0
        if is_newer or self.state.tree.parent != preferred_before:
            self.tracker.schedule_preferred(now_us)

    def search(self, now_us: int, below: Collection[str]) -> None:
        """Try the next candidate; `below` are the children."""
        self.tracker.try_next_candidate(now_us, self.state.tree, self.state.voters, below)

    def on_update(self, now_us: int, sender: str, heartbeat: HeartbeatId, depth: int, is_newer: bool) -> bool:
        """Apply a message from upstream; whether it is a new heartbeat of the parent."""
        tracker = self.tracker
        # During a search, a candidate of before may have found the leader since. A proxy that returns to its
        # parent by rank keeps to that.
        is_searching = (is_newer or tracker.attempts > 0) and not self.is_connected(now_us)
        if is_searching and heartbeat > tracker.last_heartbeat and sender != tracker.name:
            tracker.attach(now_us, sender)
        if sender != tracker.name or not tracker.on_heartbeat(now_us, heartbeat, depth):
            return False
        tracker.seek_preferred(now_us, self.state.tree)
        return True

    def on_redirect(self, now_us: int, sender: str, message: Redirect, below: Collection[str]) -> None:
        """Apply a redirect of the parent, or the consent of the parent by rank."""
        preferred = self.state.tree.parent
        tracker = self.tracker
        if self.observe_leader(now_us, message.ballot, message.leader):
            tracker.attach(now_us, self.state.tree.parent)
        elif self.state.is_leader or message.parent == self.local.name:
            return
        elif message.parent == sender:  # it consents to be the parent; only that by rank was asked
            if sender == preferred != tracker.name:
                tracker.attach(now_us, sender)
        elif sender == tracker.name and not tracker.follow_redirect(now_us, message.parent):
            self.search(now_us, below)
