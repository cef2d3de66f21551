"""Invariants under seeded random faults: message loss, stalls, kills, restarts, partitions and leaves."""

import pytest

from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance
from molereach.coordination.membership.messages import MAX_MESSAGE_BYTES, MemberStatus
from tests.coordination.membership.simulated_cluster import INTERVAL_US, SETTINGS, Node, SimulatedCluster

ALIVE, SUSPECT, DEAD, LEFT = MemberStatus
STEPS = 12
MIN_LIVE_NODES = 3  # with two, no helper can bypass a failed connection
MAX_FALSE_DEATH_INTERVALS = 40  # for which a node may consider a running, reachable one dead


class History:
    """A cluster, its faults, and how long each node has wrongly considered another one dead."""

    def __init__(self, seed: int) -> None:
        self.cluster = SimulatedCluster(seed)
        self.random = self.cluster.random
        self.nodes = self.cluster.start_group(self.random.randint(3, 8), 20)
        self.names = [node.name for node in self.nodes]
        self.ended: set[NodeInstance] = set()  # killed or left
        self.left: set[NodeInstance] = set()
        self.false_death_intervals: dict[tuple[str, str], int] = {}  # intervals by (observer, subject)
        self.longest_false_death_intervals = 0

    def random_node(self) -> Node:
        return self.random.choice(sorted(self.cluster.nodes.values(), key=lambda node: node.name))

    def fail_connection(self) -> None:
        sender, recipient = self.random.sample(self.names, 2)
        self.cluster.failed_connections = {
            (sender, recipient),
            *([(recipient, sender)] if self.random.random() < 0.5 else []),
        }

    def kill(self) -> None:
        if len(self.cluster.nodes) > MIN_LIVE_NODES:
            node = self.random_node()
            self.ended.add(node.core.local)
            self.cluster.kill(node.name)

    def leave(self) -> None:
        if len(self.cluster.nodes) > MIN_LIVE_NODES:
            node = self.random_node()
            self.cluster.leave(node.name)
            self.cluster.run(0.2)
            self.ended.add(node.core.local)
            self.left.add(node.core.local)
            self.cluster.kill(node.name)

    def start(self) -> None:
        absent = [name for name in self.names if name not in self.cluster.nodes]
        if absent:
            self.nodes.append(self.cluster.start(self.random.choice(absent), tuple(self.names)))

    def stall(self) -> None:
        self.cluster.stall(self.random_node().name, round(self.random.random() ** 3 * 60 * INTERVAL_US))

    def split(self) -> None:
        self.cluster.partition = {name: self.random.randint(0, 1) for name in self.names}

    def heal(self) -> None:
        self.cluster.partition, self.cluster.failed_connections = {}, set()

    def change_loss(self) -> None:
        self.cluster.loss = self.random.choice([0.0, 0.1, 0.3])

    def run(self, intervals: int) -> None:
        for _ in range(intervals):
            self.cluster.run(1)
            self.check()

    def check(self) -> None:
        cluster = self.cluster
        assert cluster.longest_message_bytes <= MAX_MESSAGE_BYTES
        for node in cluster.nodes.values():
            assert not node.superseded  # the newest instance of a name is never superseded
            assert (
                node.core.local in node.core.live_instances()
                and len(node.core.live_instances()) <= MAX_MEMBERS
            )
            assert 0 <= node.core.local_health_score <= SETTINGS.max_local_health_score
            if cluster.now_us >= node.stalled_until_us:
                assert node.core.wake_us >= cluster.now_us
            for other in cluster.nodes.values():
                declared_dead = node.core.status(other.name) is DEAD and not cluster.partition
                stalled = max(node.stalled_until_us, other.stalled_until_us) >= cluster.now_us
                duration_intervals = (
                    self.false_death_intervals.get((node.name, other.name), 0) + 1
                    if declared_dead and not stalled
                    else 0
                )
                self.false_death_intervals[node.name, other.name] = duration_intervals
                self.longest_false_death_intervals = max(
                    self.longest_false_death_intervals, duration_intervals
                )

    def finish(self) -> None:
        """End all faults; check that all nodes agree and that the recorded changes are consistent."""
        cluster = self.cluster
        self.heal()
        cluster.loss = 0.0
        cluster.run(
            max([0, *(node.stalled_until_us - cluster.now_us for node in cluster.nodes.values())])
            / INTERVAL_US
            + 1
        )
        cluster.run_until_agreed(120)
        assert self.longest_false_death_intervals <= MAX_FALSE_DEATH_INTERVALS
        for node in self.nodes:
            last: dict[NodeInstance, MemberStatus] = {}
            for _, change in node.changes:
                assert (
                    last.get(change.instance, change.previous) is change.previous or change.previous is None
                )
                assert last.get(change.instance) is not LEFT or change.status is LEFT
                last[change.instance] = change.status
            assert all(
                status in (DEAD, LEFT)
                for instance, status in last.items()
                if instance in self.ended and node.name in cluster.nodes and cluster.nodes[node.name] is node
            )


@pytest.mark.parametrize("seed", range(15))
def test_single_failed_connections_cause_no_false_death(seed: int) -> None:
    history = History(seed)
    for _ in range(STEPS):
        history.fail_connection()
        history.random.choice([history.kill, history.start, history.leave, lambda: None])()
        history.run(history.random.randint(1, 15))
    dead = {change.instance for node in history.nodes for _, change in node.changes if change.status is DEAD}
    assert dead <= history.ended
    history.finish()


@pytest.mark.parametrize("seed", range(100, 120))
def test_all_nodes_agree_after_any_history_of_faults(seed: int) -> None:
    history = History(seed)
    for _ in range(STEPS):
        history.random.choice(
            [
                history.fail_connection,
                history.kill,
                history.start,
                history.start,
                history.leave,
                history.stall,
                history.split,
                history.heal,
                history.change_loss,
            ]
        )()
        history.run(history.random.randint(1, 15))
    history.finish()
