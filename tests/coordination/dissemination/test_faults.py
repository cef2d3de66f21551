"""Recovery from crashes, stalls, message loss, cycles, leader changes and differing cluster states.

After each fault an entry reaches all proxies, and all get a grant, within a bounded time.
"""

import pytest

from molereach.coordination.dissemination.core import DisseminationTree
from molereach.coordination.dissemination.messages import DownstreamUpdate
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import MessageReceived
from tests.coordination.dissemination.simulated_tree import INTERVAL_US, SimulatedTree

FANOUT = DisseminationSettings().fanout
RECOVERY_INTERVALS = 10


def assert_all_reached(simulation: SimulatedTree, intervals: float = RECOVERY_INTERVALS) -> None:
    started_us, position = simulation.now_us, simulation.propose()
    simulation.run(intervals)
    assert not simulation.names_behind(position)
    assert not simulation.names_without_grant(started_us)


def assert_tree_is_ranked(simulation: SimulatedTree) -> None:
    """Assert that each parent is the one by rank."""
    for name in simulation.live_names:
        core = simulation.nodes[name].core
        assert core.tracker.parent_name == core.state.tree.parent
        assert len(core.downstream.children.table) <= FANOUT


@pytest.mark.parametrize("count", [9, 50, 200])
def test_inner_proxy_fails_without_notice(count: int) -> None:
    simulation = SimulatedTree(count)
    simulation.start()
    killed = ("door-000", "door-002", "door-003")  # of the leader's children
    for name in killed:
        simulation.kill(name)
    parents_before = simulation.parents()
    simulation.parent_changes.clear()
    assert_all_reached(simulation, 5)
    parents_after = simulation.parents()
    for name, parent in parents_before.items():
        assert parents_after[name] not in killed
        # Proxies whose parent still runs keep it.
        assert parent in killed or not simulation.parent_changes[name]
    simulation.publish_cluster_state()
    simulation.run(40)
    assert_tree_is_ranked(simulation)


@pytest.mark.parametrize("count", [3, 9, 50, 200])
def test_leader_fails_and_its_successor_is_announced_gradually(count: int) -> None:
    simulation = SimulatedTree(count)
    simulation.start()
    simulation.kill("door-001")
    simulation.run(4)
    simulation.elect("door-002")
    simulation.publish_cluster_state(within_us=6 * INTERVAL_US)
    simulation.run(1)
    assert_all_reached(simulation)
    simulation.run(40)
    assert_tree_is_ranked(simulation)


def test_half_of_the_tree_leaves_the_old_leader_without_notice() -> None:
    simulation = SimulatedTree(50)
    simulation.start()
    old_side = simulation.live_names[:25]  # the side of the old leader
    simulation.failed_connections = {
        (sender, recipient) for sender in old_side for recipient in simulation.live_names[25:]
    }
    simulation.failed_connections |= {
        (recipient, sender) for sender, recipient in simulation.failed_connections
    }
    simulation.run(3)
    simulation.elect("door-030")
    simulation.publish_cluster_state(simulation.live_names[25:])
    simulation.run(4)
    simulation.failed_connections = set()
    simulation.run(5)
    assert_all_reached(simulation)
    assert {simulation.nodes[name].core.state.leader for name in simulation.live_names} == {"door-030"}
    assert not any(simulation.nodes[name].core.state.is_leader for name in old_side)


def test_cycle_of_parents_dissolves() -> None:
    """Each proxy follows the previous one and cannot reach its parent by rank. A message takes more than half
    an interval around the cycle, so only its heartbeat number keeps it from circulating for ever."""
    simulation = SimulatedTree(50)
    simulation.start()
    cycle = simulation.live_names[20:40]
    connections_by_rank = {(name, simulation.parents()[name] or "") for name in cycle}
    simulation.failed_connections = connections_by_rank | {
        (parent, name) for name, parent in connections_by_rank
    }
    for index, name in enumerate(cycle):
        core: DisseminationTree = simulation.nodes[name].core
        core.tracker.parent_name = cycle[index - 1]  # has not expired yet, as far as the core knows
        simulation.deliver(name, None)
    simulation.run(1.1)
    core = simulation.nodes[cycle[0]].core
    ballot, number = core.tracker.last_heartbeat
    assert core.tracker.parent_name == cycle[-1]
    heartbeat = DownstreamUpdate(ballot, number + 1, simulation.leader, 3, 0)  # a delayed one
    simulation.deliver(cycle[0], MessageReceived(simulation.nodes[cycle[-1]].core.local, heartbeat))
    simulation.run(1)
    assert_all_reached(simulation)


def test_failed_connection_is_bypassed_and_used_again_later() -> None:
    simulation = SimulatedTree(50)
    simulation.start()
    child = "door-049"
    parent = simulation.parents()[child]
    assert parent
    simulation.failed_connections = {(parent, child)}  # in one direction only
    simulation.run(6)
    assert simulation.parents()[child] != parent
    assert_all_reached(simulation, 4)
    simulation.failed_connections = set()
    simulation.run(DisseminationSettings().max_preferred_parent_intervals + 4)
    assert_tree_is_ranked(simulation)


def test_leader_that_stalled_sends_one_heartbeat_for_all_late_ticks() -> None:
    simulation = SimulatedTree(9)
    simulation.start()
    simulation.nodes["door-001"].stalled_until_us = simulation.now_us + 10 * INTERVAL_US
    simulation.run(10)
    simulation.sent_messages.clear()
    simulation.run(0.5)
    assert simulation.sent_messages["door-001", "DownstreamUpdate"] <= 2 * FANOUT
    assert_all_reached(simulation)


def test_leader_replaced_during_a_stall_follows() -> None:
    simulation = SimulatedTree(50)
    simulation.start()
    simulation.nodes["door-001"].stalled_until_us = simulation.now_us + 10 * INTERVAL_US
    simulation.run(5)
    simulation.elect("door-004")
    simulation.publish_cluster_state(
        [name for name in simulation.live_names if name != "door-001"], within_us=2 * INTERVAL_US
    )
    simulation.run(5.5)
    assert_all_reached(simulation)
    assert not simulation.nodes["door-001"].core.state.is_leader


def test_leader_known_only_to_voters_reaches_all() -> None:
    simulation = SimulatedTree(50)
    simulation.publish_cluster_state()  # live proxies without a leader
    simulation.run(3)
    simulation.elect("door-003")
    simulation.publish_cluster_state([f"door-{index:03}" for index in range(5)])
    simulation.run(0.1)
    assert_all_reached(simulation)


def test_many_failures_without_new_cluster_states() -> None:
    simulation = SimulatedTree(50, 7)
    simulation.start()
    for name in simulation.random.sample(
        [name for name in simulation.live_names if name != simulation.leader], 20
    ):
        simulation.kill(name)
    assert_all_reached(simulation)


def run_history(seed: int, count: int) -> None:
    """Random faults for 16 intervals, then none."""
    simulation = SimulatedTree(count, seed, delay_us=5_000, jitter_us=40_000)
    random = simulation.random
    simulation.start()
    simulation.loss = random.choice((0.0, 0.1, 0.3))
    for _ in range(8):
        match random.randrange(6):
            case 0 if len(simulation.live_names) > 3:
                name = random.choice(simulation.live_names[: count // 2 + 2])
                if name != simulation.leader:
                    simulation.kill(name)
            case 1 if len(simulation.live_names) > 3:
                simulation.kill(simulation.leader)
                simulation.run(random.randrange(4))
                simulation.elect(random.choice(simulation.live_names))
                simulation.nodes[simulation.leader].stalled_until_us = 0
                simulation.publish_cluster_state(within_us=6 * INTERVAL_US)
            case 2:
                name = random.choice(simulation.live_names)
                simulation.nodes[name].stalled_until_us = (
                    simulation.now_us + random.randrange(1, 8) * INTERVAL_US
                )
            case 3:
                reported_names = random.sample(simulation.live_names, max(2, len(simulation.live_names) // 2))
                simulation.publish_cluster_state(
                    within_us=4 * INTERVAL_US,
                    names=random.sample(simulation.live_names, 2),
                    live_names=reported_names,
                )
            case 4:
                sender, recipient = random.sample(simulation.live_names, 2)
                simulation.failed_connections.add((sender, recipient))
            case 5:
                simulation.elect(random.choice(simulation.live_names))
                simulation.publish_cluster_state(within_us=6 * INTERVAL_US)
        simulation.run(2)
        if random.random() < 0.7:
            simulation.propose(b"x" * random.choice((10, 9000)))
        max_children = 2 * FANOUT
        assert all(
            len(simulation.nodes[name].core.downstream.children.table) <= max_children
            for name in simulation.live_names
        )
    simulation.loss, simulation.failed_connections = 0.0, set()
    for node in simulation.nodes.values():
        node.stalled_until_us = min(node.stalled_until_us, simulation.now_us)
    simulation.publish_cluster_state()
    simulation.run(0.1)  # all proxies have resumed and received the cluster state
    assert_all_reached(simulation)


def test_random_history_of_120_proxies() -> None:
    run_history(1, 120)


@pytest.mark.parametrize("group", range(10))
def test_random_histories(group: int) -> None:
    for seed in range(group * 10, group * 10 + 10):
        try:
            run_history(seed, 3 + seed * 7 % 28)
        except AssertionError as error:
            raise AssertionError(f"history {seed}: {error}") from error
