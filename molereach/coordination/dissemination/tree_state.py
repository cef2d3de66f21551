"""The live proxies and the leader as known locally. The known ballot never decreases."""

from molereach.coordination.dissemination.messages import ClusterState
from molereach.coordination.dissemination.ranked_tree import RankedTree
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance


class TreeState:
    """Only the local log can set `is_leader`; messages from other proxies can only clear it."""

    def __init__(self, local: NodeInstance, fanout: int) -> None:
        self.local = local
        self.fanout = fanout
        self.live_instance_numbers: dict[str, int] = {}
        self.voters: tuple[str, ...] = ()
        self.leader: str | None = None
        self.ballot = 0
        self.is_leader = False
        self.tree = RankedTree(local.name, fanout=fanout)

    def is_stale(self, sender: NodeInstance) -> bool:
        """Whether the sender is an older instance, or bears this proxy's own name."""
        return (
            sender.name == self.local.name or self.live_instance_numbers.get(sender.name, 0) > sender.number
        )

    def apply_cluster_state(self, reported: ClusterState) -> None:
        """Apply the state reported by membership and the log."""
        live = reported.live_instances[:MAX_MEMBERS]
        self.live_instance_numbers = {instance.name: instance.number for instance in live}
        self.voters = reported.voters[:MAX_MEMBERS]
        # The local log may not know yet the leader that others reported for this ballot. If this proxy leads
        # and its log reports no leader, it has stepped down.
        same_ballot = reported.ballot == self.ballot
        is_authoritative = same_ballot and (self.is_leader or reported.leader is not None)
        if reported.ballot > self.ballot or is_authoritative:
            self._replace(reported.ballot, reported.leader, reported.leader == self.local.name)
        else:
            self._replace(self.ballot, self.leader, self.is_leader)

    def observe_leader(self, ballot: int, leader: str) -> bool:
        """Apply the leader that another proxy reported; returns whether it was new here."""
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
        self.tree = RankedTree(self.local.name, self.live_instance_numbers, leader, self.fanout)
