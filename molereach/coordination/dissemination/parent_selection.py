"""Which leader is followed, and by way of whom: what the log and the words of others do to that choice."""

from collections.abc import Callable, Collection

from molereach.coordination.dissemination.messages import ClusterState, Redirect
from molereach.coordination.dissemination.parent_tracker import HeartbeatId, ParentTracker
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.dissemination.tree_state import TreeState
from molereach.coordination.interface.identifiers import NodeInstance


class ParentSelection:
    """Its parent is `above.name`; the core tells of a change and speaks to a new one at once."""

    def __init__(self, me: NodeInstance, settings: DisseminationSettings, draw: Callable[[], float]) -> None:
        self.local = me
        self.state = TreeState(me, settings.fanout)
        self.tracker = ParentTracker(settings, draw)

    def is_connected(self, now_us: int) -> bool:
        """Whether what is said here comes from the newest leader known."""
        standing, above = self.state, self.tracker
        return standing.is_leader or (
            above.is_connected(now_us) and above.last_heartbeat[0] == standing.ballot
        )

    def apply_cluster_state(self, now_us: int, view: ClusterState, below: Collection[str]) -> bool:
        """Take a view; whether this front door leads from now on, or under a new ballot."""
        standing, above = self.state, self.tracker
        ballot, led, parent = standing.ballot, standing.is_leader, standing.tree.parent
        standing.apply_cluster_state(view)
        newer, home = standing.ballot > ballot, standing.tree.parent
        if standing.is_leader:
            if newer or not led:
                above.detach()
            return newer or not led
        self.on_leader_changed(now_us, newer, parent)
        if home is None or led:
            if above.name is None:
                self.search(now_us, below)
        elif home != above.name and (
            (newer and standing.leader is not None) or (home != parent and not self.is_connected(now_us))
        ):
            above.attach(now_us, home)
        return False

    def observe_leader(self, now_us: int, ballot: int, leader: str | None) -> bool:
        """Another front door knows this leader; whether it is newer than what was known here."""
        parent = self.state.tree.parent
        if leader is None or not self.state.observe_leader(ballot, leader):
            return False
        self.on_leader_changed(now_us, True, parent)
        return True

    def on_leader_changed(self, now_us: int, newer: bool, parent: str | None) -> None:
        """Another leads, or nobody; it may be new, or the parent by rank may have changed."""
        if newer:
            self.tracker.attempts = 0
        if newer or self.state.tree.parent != parent:
            self.tracker.schedule_preferred(now_us)

    def search(self, now_us: int, below: Collection[str]) -> None:
        self.tracker.try_next_candidate(now_us, self.state.tree, self.state.voters, below)

    def on_update(self, now_us: int, sender: str, mark: HeartbeatId, depth: int, newer: bool) -> bool:
        """A word came down; whether it is a new pulse of the parent."""
        # In a search, one that was asked before may have found the leader since. Who goes home stays at that.
        lost = (newer or self.tracker.attempts > 0) and not self.is_connected(now_us)
        if lost and mark > self.tracker.last_heartbeat and sender != self.tracker.name:
            self.tracker.attach(now_us, sender)
        if sender != self.tracker.name or not self.tracker.on_heartbeat(now_us, mark, depth):
            return False
        self.tracker.seek_preferred(now_us, self.state.tree)
        return True

    def on_redirect(self, now_us: int, sender: str, message: Redirect, below: Collection[str]) -> None:
        home, above = self.state.tree.parent, self.tracker
        if self.observe_leader(now_us, message.ballot, message.leader):
            above.attach(now_us, self.state.tree.parent)
        elif self.state.is_leader or message.parent == self.local.name:
            return
        elif message.parent == sender:  # it would be the parent; only that by rank was asked
            if sender == home != above.name:
                above.attach(now_us, sender)
        elif sender == above.name and not above.follow_redirect(now_us, message.parent):
            self.search(now_us, below)
