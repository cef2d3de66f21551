"""Who lives and who leads, as far as is known here. A ballot never goes back, whoever tells of it."""

from molereach.coordination.dissemination.messages import ClusterState
from molereach.coordination.dissemination.ranked_tree import RankedTree
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance


class TreeState:
    """`leads` follows from this front door's own log alone: what others say can only end it."""

    def __init__(self, me: NodeInstance, fan: int) -> None:
        self.local, self.fanout = me, fan
        self.live_numbers: dict[str, int] = {}
        self.voters: tuple[str, ...] = ()
        self.leader: str | None = None
        self.ballot = 0
        self.is_leader = False
        self.tree = RankedTree(me.name, fan=fan)

    def is_stale(self, sender: NodeInstance) -> bool:
        """Whether these are the words of an earlier life, or of this front door's own name."""
        return sender.name == self.local.name or self.live_numbers.get(sender.name, 0) > sender.number

    def apply_cluster_state(self, view: ClusterState) -> None:
        self.live_numbers = {life.name: life.number for life in view.live_instances[:MAX_MEMBERS]}
        self.voters = view.voters[:MAX_MEMBERS]
        ballot, leader, leads = self.ballot, self.leader, self.is_leader
        # The log may not know yet whom others have heard of; but a leader that stepped down is one no more.
        if view.ballot > ballot or (view.ballot == ballot and (leads or view.leader is not None)):
            ballot, leader, leads = view.ballot, view.leader, view.leader == self.local.name
        self._replace(ballot, leader, leads)

    def observe_leader(self, ballot: int, leader: str) -> bool:
        """Another knows of this leader; whether that is newer than what was known here."""
        if leader == self.local.name or ballot < self.ballot:
            return False
        if ballot == self.ballot and (self.is_leader or self.leader is not None):
            return False
        self._replace(ballot, leader, False)
        return True

    def _replace(self, ballot: int, leader: str | None, leads: bool) -> None:
        self.ballot, self.leader, self.is_leader = ballot, leader, leads
        self.tree = RankedTree(self.local.name, self.live_numbers, leader, self.fanout)
