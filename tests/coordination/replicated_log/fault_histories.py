"""Random histories: faults drawn from a seed for some time, then none.

The invariants are checked by `simulated_cluster`.
"""

from collections.abc import Callable

from molereach.coordination.interface.log import ProposalStatus
from molereach.coordination.replicated_log.messages import Voter, Voters
from molereach.coordination.replicated_log.settings import LogSettings
from molereach.coordination.replicated_log.voters import AddVoters, RemoveVoters, ReplaceVoter
from tests.coordination.replicated_log.simulated_cluster import (
    MILLISECOND_US,
    SECOND_US,
    Disk,
    Node,
    SimulatedCluster,
)

FAULT_PHASE_US, RECOVERY_PHASE_US = 2_500 * MILLISECOND_US, 25 * SECOND_US
SHORT_TIMEOUTS = LogSettings(
    heartbeat_interval_us=100 * MILLISECOND_US,
    min_election_timeout_us=300 * MILLISECOND_US,
    max_election_timeout_us=600 * MILLISECOND_US,
    retry_interval_us=200 * MILLISECOND_US,
    max_tail_entries=24,
)


class History:
    """One history. At most one disk at a time is lost or rolled back, as the design assumes."""

    def __init__(self, seed: int, voter_count: int, learner_count: int) -> None:
        self.cluster = cluster = SimulatedCluster(seed, voter_count, learner_count, SHORT_TIMEOUTS)
        self.random = cluster.random
        cluster.loss_rate, cluster.duplication_rate = self.random.choice([0.0, 0.05, 0.3]), 0.1
        cluster.max_sync_us = self.random.choice(
            [3 * MILLISECOND_US, 20 * MILLISECOND_US, 200 * MILLISECOND_US]
        )
        cluster.max_delay_us = self.random.choice(
            [5 * MILLISECOND_US, 40 * MILLISECOND_US, 300 * MILLISECOND_US]
        )
        self.proposal_count = 0
        self.disk_copies: dict[str, Disk] = {}  # by node; a disk may be rolled back to its copy
        self.affected_node = ""  # the node whose disk was lost or rolled back, until its voter is replaced
        self.replacing = ""
        self.faults = 0

    # --- faults ---

    def current_voters(self) -> Voters:
        cores = [node.core for node in self.cluster.nodes.values() if node.core]
        return max(cores, key=lambda core: core.position).voters if cores else self.cluster.initial_voters

    def random_node(self) -> Node:
        """Any node; more often one that leads."""
        leading = [
            node for node in self.cluster.nodes.values() if node.core and node.core.leader_protocol.leadership
        ]
        return self.random.choice(
            leading if leading and self.random.random() < 0.4 else list(self.cluster.nodes.values())
        )

    def may_lose_disk(self, name: str) -> bool:
        """Whether the disk of a node may be lost or rolled back.

        Three voters do not tolerate it, and a non-voter may be about to become a voter with its present disk.
        """
        return len(self.cluster.initial_voters) > 3 and self.voter_of(name) in self.current_voters()

    def kill(self) -> None:
        node = self.random_node()
        if node.core:
            self.cluster.kill(node.name)
            self.restart_later(node)

    def restart_later(self, node: Node) -> None:
        def restart() -> None:
            if node.core is None:
                self.cluster.start(node.name)

        self.cluster.schedule(self.random.randrange(800 * MILLISECOND_US), restart)

    def copy_disk(self) -> None:
        node = self.random.choice(list(self.cluster.nodes.values()))
        self.disk_copies[node.name] = node.disk.copy()

    def roll_back_disk(self) -> None:
        if self.affected_node or not self.disk_copies:
            return
        name = self.random.choice(list(self.disk_copies))
        node = self.cluster.nodes[name]
        if (
            node.core is None
            or self.disk_copies[name].identity != node.disk.identity
            or not self.may_lose_disk(name)
        ):
            return
        self.affected_node = name
        self.cluster.kill(name)
        node.disk = self.disk_copies.pop(name)
        self.restart_later(node)

    def lose_disk(self) -> None:
        node = self.random_node()
        if self.affected_node or node.core is None or not self.may_lose_disk(node.name):
            return
        self.affected_node = node.name
        self.disk_copies.pop(node.name, None)
        self.cluster.kill(node.name)
        node.disk = self.cluster.new_disk()
        self.restart_later(node)

    def fail_disk(self) -> None:
        node = self.random_node()
        if node.core and not self.affected_node:
            node.disk_fails = True
            self.cluster.schedule(SECOND_US, lambda: self.restart_failed(node))

    def restart_failed(self, node: Node) -> None:
        if node.core and node.disk_fails:
            self.cluster.kill(node.name)
            self.cluster.start(node.name)

    def pause_node(self) -> None:
        self.cluster.pause(self.random_node().name, self.random.randrange(2 * SECOND_US))

    def partition(self) -> None:
        self.cluster.partitions = {name: self.random.randrange(2) for name in self.cluster.nodes}
        self.cluster.schedule(self.random.randrange(2 * SECOND_US), self.heal_partition)

    def isolate_node(self) -> None:
        self.cluster.partitions = {self.random_node().name: 1}
        self.cluster.schedule(self.random.randrange(SECOND_US), self.heal_partition)

    def heal_partition(self) -> None:
        self.cluster.partitions = {}

    # --- the operator ---

    def voter_of(self, name: str) -> Voter:
        return Voter(name, self.cluster.nodes[name].disk.identity)

    def change_voters(self) -> None:
        voters = self.current_voters()
        non_voters = [name for name in self.cluster.nodes if name not in {voter.name for voter in voters}]
        name = self.random.choice(list(self.cluster.nodes))
        self.proposal_count += 1
        draw = self.random.random()
        if draw < 0.5 and non_voters:
            added_voter = self.voter_of(self.random.choice(non_voters))
            self.cluster.propose_change(
                name, f"c{self.proposal_count}", ReplaceVoter(self.random.choice(voters), added_voter)
            )
        elif draw < 0.75 and len(non_voters) >= 2:
            self.cluster.propose_change(
                name,
                f"c{self.proposal_count}",
                AddVoters((self.voter_of(non_voters[0]), self.voter_of(non_voters[1]))),
            )
        elif len(voters) > (
            3 if len(self.cluster.initial_voters) == 3 else 5
        ):  # 3 don't tolerate a lost disk and a start
            self.cluster.propose_change(
                name, f"c{self.proposal_count}", RemoveVoters((voters[0], voters[-1]))
            )

    def replace_affected_voter(self) -> None:
        """Replace the voter whose disk was lost or rolled back by the same node with its new disk."""
        if self.affected_node:
            node, voters = self.cluster.nodes[self.affected_node], self.current_voters()
            voter = next((each for each in voters if each.name == self.affected_node), None)
            if node.rolled_back:
                self.cluster.kill(node.name)
                node.disk = self.cluster.new_disk()
                self.cluster.start(node.name)
            elif node.core and voter is None:
                self.affected_node = ""
            elif node.core and voter and voter.disk != node.disk.identity:
                name = self.random.choice(list(self.cluster.nodes))
                self.proposal_count += 1
                self.cluster.propose_change(
                    name, f"m{self.proposal_count}", ReplaceVoter(voter, self.voter_of(self.affected_node))
                )
            elif node.core and voter and node.core.state.may_vote:
                self.affected_node = ""
        self.cluster.schedule(500 * MILLISECOND_US, self.replace_affected_voter)

    # --- the run ---

    def inject_fault(self) -> None:
        faults: list[Callable[[], None]] = [
            self.kill,
            self.kill,
            self.copy_disk,
            self.roll_back_disk,
            self.lose_disk,
            self.fail_disk,
            self.pause_node,
            self.pause_node,
            self.partition,
            self.isolate_node,
            self.change_voters,
            self.change_voters,
        ]
        if not self.finished:
            self.random.choice(faults)()
            self.cluster.schedule(self.random.randrange(300 * MILLISECOND_US), self.inject_fault)

    def run_workload(self) -> None:
        if not self.finished:
            name = self.random.choice(list(self.cluster.nodes))
            if self.random.random() < 0.2:
                self.cluster.request_confirmation(self.cluster.leader() or name)
            else:
                self.proposal_count += self.random.random() < 0.8  # some ids are repeated at another node
                self.cluster.propose(name, f"p{self.proposal_count}")
            self.cluster.schedule(self.random.randrange(60 * MILLISECOND_US), self.run_workload)

    def run(self) -> None:
        cluster, self.finished = self.cluster, False
        cluster.start_all()
        cluster.run_catch_up()
        self.inject_fault()
        self.run_workload()
        self.replace_affected_voter()
        cluster.run(FAULT_PHASE_US)
        self.finished = True
        cluster.loss_rate, cluster.max_delay_us, cluster.max_sync_us = (
            0.0,
            40 * MILLISECOND_US,
            10 * MILLISECOND_US,
        )
        self.heal_partition()
        recovered = cluster.run(
            RECOVERY_PHASE_US,
            lambda: (
                not self.affected_node
                and cluster.leader() is not None
                and cluster.is_settled()
                and not any(node.paused or node.disk_fails for node in cluster.nodes.values())
            ),
        )
        assert recovered, f"not recovered: {self.state()}"
        for name in cluster.nodes:
            cluster.propose(name, f"last-{name}")
        assert cluster.run(5 * SECOND_US, cluster.is_settled), f"not settled at the end: {self.state()}"
        assert all(
            cluster.results[f"last-{name}"][0].status is ProposalStatus.APPLIED for name in cluster.nodes
        )

    def state(self) -> list[object]:
        return [
            self.affected_node,
            self.current_voters(),
            len(self.cluster.entries),
            [
                (
                    node.name,
                    node.disk.identity[-2:],
                    node.core
                    and (
                        node.core.position,
                        node.core.state.may_vote,
                        node.core.leader_protocol.leadership_announced,
                        node.core.leader,
                        node.stopped,
                        node.rolled_back,
                        len(node.pending_ids),
                        len(node.core.recovery.acknowledgements),
                    ),
                )
                for node in self.cluster.nodes.values()
            ],
        ]
