"""Which proxies are live and which leads, as known here. The ballot never decreases, whatever reports it."""

from molereach.coordination.dissemination.messages import ClusterState
from molereach.coordination.dissemination.ranked_tree import RankedTree
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance


class TreeState:
    """`is_leader` follows from this proxy's own log alone: messages of others can only end it."""

    def __init__(self, local: NodeInstance, fanout: int) -> None:
        self.local = local
        self.fanout = fanout
        self.live_numbers: dict[str, int] = {}
        self.voters: tuple[str, ...] = ()
        self.leader: str | None = None
        self.ballot = 0
        self.is_leader = False
        self.tree = RankedTree(local.name, fanout=fanout)

    def is_stale(self, sender: NodeInstance) -> bool:
        """Whether a message is of an older instance, or comes under this proxy's own name."""
        return sender.name == self.local.name or self.live_numbers.get(sender.name, 0) > sender.number

    def apply_cluster_state(self, reported: ClusterState) -> None:
        """Apply what membership and the log know."""
        live = reported.live_instances[:MAX_MEMBERS]
        self.live_numbers = {instance.name: instance.number for instance in live}
        self.voters = reported.voters[:MAX_MEMBERS]
        # The log may not know yet a leader that others have reported; but a leader that stepped down is none.
        same_ballot = reported.ballot == self.ballot
        is_known = same_ballot and (self.is_leader or reported.leader is not None)
        if reported.ballot > self.ballot or is_known:
            self._replace(reported.ballot, reported.leader, reported.leader == self.local.name)
        else:
            self._replace(self.ballot, self.leader, self.is_leader)

    def observe_leader(self, ballot: int, leader: str) -> bool:
        """Apply the leader that another proxy reported; whether it is newer than the one known here."""
        if leader == self.local.name or ballot < self.ballot:
            return False
        if ballot == self.ballot and (self.is_leader or self.leader is not None):
            return False
        self._replace(ballot, leader, False)
        return True

    def _replace(self, ballot: int, leader: str | None, is_leader: bool) -> None:
        self.ballot = ballot
        self.leader = leader
        self.is_leader = is_leader
        self.tree = RankedTree(self.local.name, self.live_numbers, leader, self.fanout)
