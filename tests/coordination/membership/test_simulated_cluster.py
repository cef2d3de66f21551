"""Simulated clusters: failed connections, slow processes, stalls, partitions, kills, restarts and leaves."""

import math
from typing import Any

import pytest

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.membership.messages import MAX_MESSAGE_BYTES, MemberStatus
from tests.coordination.membership.simulated_cluster import INTERVAL_US, SimulatedCluster

ALIVE, SUSPECT, DEAD, LEFT = MemberStatus


def bound_intervals(node_count: int) -> float:
    """Intervals within which all live nodes declare a killed one dead, by the design note."""
    return 5 + 4 * max(1.0, math.log10(node_count)) + 2 * math.log2(node_count)


# --- no live node is declared dead ---


@pytest.mark.parametrize("node_count", [3, 5, 9])
@pytest.mark.parametrize("both_directions", [True, False])
def test_one_failed_connection_causes_no_suspicion(node_count: int, both_directions: bool) -> None:
    cluster = SimulatedCluster(node_count)
    nodes = cluster.start_group(node_count)
    cluster.failed_connections = {("d000", "d001")} | ({("d001", "d000")} if both_directions else set())
    cluster.run(300)
    assert not cluster.ever_changed_to(SUSPECT) and not cluster.ever_changed_to(DEAD)
    assert max(node.max_local_health_score for node in nodes) == 0


@pytest.mark.parametrize("delay_us", [SECOND_US // 4, SECOND_US // 2, SECOND_US])
@pytest.mark.parametrize("node_count", [3, 9])
def test_one_slow_process_causes_no_death(node_count: int, delay_us: int) -> None:
    for seed in range(2):
        cluster = SimulatedCluster(seed)
        nodes = cluster.start_group(node_count)
        nodes[1].delay_us = delay_us
        cluster.run(150)
        assert not cluster.ever_changed_to(DEAD)
        others = [node.ever_changed_to(SUSPECT) for node in nodes if node is not nodes[1]]
        assert set().union(*others) <= {"d001"}  # the others do not suspect each other


def test_stalled_node_suspects_no_other_and_recovers() -> None:
    for seed in range(4):
        cluster = SimulatedCluster(seed)
        nodes = cluster.start_group(9)
        cluster.run(cluster.random.random())
        cluster.stall("d004", 30 * SECOND_US)
        cluster.run(60)
        assert all(node.core.status("d004") is DEAD for node in nodes if node is not nodes[4])
        cluster.run(12)
        assert cluster.views_agree()
        assert (
            nodes[4].ever_changed_to(SUSPECT) | nodes[4].ever_changed_to(DEAD) <= {"d004"}
            and nodes[4].max_local_health_score == 8
        )
        cluster.run(100)
        assert nodes[4].core.local_health_score == 0 and cluster.views_agree()


def test_repeated_short_stalls_cause_no_death() -> None:
    for seed in range(5):
        cluster = SimulatedCluster(seed)
        cluster.start_group(5)
        for _ in range(30):
            cluster.stall(
                cluster.random.choice(sorted(cluster.nodes)), round(cluster.random.random() * 2 * INTERVAL_US)
            )
            cluster.run(4)
        assert not cluster.ever_changed_to(DEAD)


# --- deaths, partitions and restarts ---


def test_both_sides_of_a_partition_merge_again() -> None:
    for node_count, first in ((2, 1), (5, 2), (9, 4)):
        cluster = SimulatedCluster(node_count)
        nodes = cluster.start_group(node_count)
        cluster.partition = {node.name: number < first for number, node in enumerate(nodes)}
        cluster.run(120)
        live_counts = [len(node.core.live_instances()) for node in nodes]
        assert live_counts == [first] * first + [node_count - first] * (node_count - first)
        cluster.partition = {}
        cluster.run_until_agreed(40)
        cluster.run(100)
        assert cluster.views_agree()


def test_two_separate_groups_merge_through_a_seed() -> None:
    cluster = SimulatedCluster(1)
    cluster.partition = {"b1": 1, "b2": 1}
    cluster.start("a1", ("b1",))
    cluster.start("a2", ("a1",))
    cluster.start("b1")
    cluster.start("b2", ("b1",))
    cluster.run(40)
    assert [len(node.core.live_instances()) for node in cluster.nodes.values()] == [2, 2, 2, 2]
    cluster.partition = {}
    cluster.run_until_agreed(40)


def test_join_succeeds_when_most_seeds_are_dead() -> None:
    for seed in range(10):
        cluster = SimulatedCluster(seed)
        nodes = cluster.start_group(3)
        cluster.start("new", ("x1", "x2", "x3", "x4", "x5", "d001"))
        assert cluster.run_until_agreed(20) <= 20
        assert not any(node.ever_changed_to(DEAD) for node in nodes)


def test_fifty_simultaneous_starts_converge_within_six_intervals() -> None:
    cluster = SimulatedCluster(1)
    names = [f"d{number:03}" for number in range(50)]
    for name in names:
        cluster.start(name, tuple(names[:3]))
    assert cluster.run_until_agreed(6)


def test_seed_that_starts_later_is_found() -> None:
    cluster = SimulatedCluster(1)
    cluster.start("a", ("b",))
    cluster.run(20)
    cluster.start("b")
    cluster.run_until_agreed(4)


def test_killed_node_that_returns_rejoins_at_once() -> None:
    for absent_intervals in (1, 5, 40):  # not yet suspect, suspect, dead
        cluster = SimulatedCluster(absent_intervals)
        nodes = cluster.start_group(5)
        killed_instance = nodes[2].core.local
        cluster.kill("d002")
        cluster.run(absent_intervals)
        restarted = cluster.start("d002", ("d000", "d001"))
        cluster.run_until_agreed(8)
        cluster.run(100)
        assert cluster.views_agree()
        for node in nodes:
            if node is not nodes[2]:
                assert node.declared_dead_us(killed_instance) and node.core.status("d002") is ALIVE
                assert not [
                    change
                    for _, change in node.changes
                    if change.instance == restarted.core.local and change.status is not ALIVE
                ]


def test_leaving_node_is_not_declared_dead() -> None:
    for seed, loss in ((1, 0.0), (2, 0.3)):
        cluster = SimulatedCluster(seed)
        nodes = cluster.start_group(9)
        cluster.loss = loss
        cluster.leave("d005")
        cluster.run(0.2)  # time for its leave messages to arrive
        cluster.kill("d005")
        cluster.run(30)
        for node in nodes:
            if node is not nodes[5]:
                assert node.core.status("d005") is LEFT
                assert "d005" not in node.ever_changed_to(DEAD)


def test_newer_of_two_instances_with_one_name_remains() -> None:
    for higher in (True, False):
        cluster = SimulatedCluster(1)
        nodes = cluster.start_group(5)
        original, original_instance = nodes[3], nodes[3].core.local
        cluster.duplicates = [original]
        other = cluster.start("d003", ("d000",), number=original_instance.number + (1 if higher else -1))
        cluster.run(20)
        remaining, ended = (other, original) if higher else (original, other)
        assert ended.superseded and not remaining.superseded
        cluster.nodes["d003"], cluster.duplicates = remaining, []
        cluster.run_until_agreed(60)


# --- bounds on detection time and message rate ---


@pytest.mark.parametrize(("node_count", "kills"), [(3, 20), (9, 100), (50, 5)])
def test_killed_node_is_dead_everywhere_within_the_bound(
    node_count: int,
    kills: int,
    record_property: Any,  # noqa: ANN401
) -> None:
    cluster = SimulatedCluster(node_count)
    cluster.start_preconnected_group(node_count)
    durations = []
    for _ in range(kills):
        name = cluster.random.choice(sorted(cluster.nodes))
        cluster.run(cluster.random.random())
        instance, killed_us = cluster.nodes[name].core.local, cluster.now_us
        cluster.kill(name)
        cluster.run(math.ceil(bound_intervals(node_count)))
        declared_dead_times = [node.declared_dead_us(instance) or 1 << 60 for node in cluster.nodes.values()]
        durations.append((max(declared_dead_times) - killed_us) / INTERVAL_US)
        cluster.start(name, tuple(sorted(cluster.nodes)[:2]))
        cluster.run(10)
    exceeded = [intervals for intervals in durations if intervals > bound_intervals(node_count)]
    assert len(exceeded) <= kills // 100, sorted(durations)[-3:]
    record_property("intervals", sorted(durations))


@pytest.mark.parametrize(("node_count", "intervals"), [(3, 120), (9, 120), (50, 60), (200, 20)])
def test_messages_per_interval_stay_constant_in_the_number_of_nodes(node_count: int, intervals: int) -> None:
    cluster = SimulatedCluster(node_count)
    nodes = cluster.start_preconnected_group(node_count)
    cluster.run(intervals)
    sent = [node.sent_message_count / intervals for node in nodes]
    assert 2 <= sum(sent) / node_count <= 2.5
    assert max(sent) <= 4
    assert cluster.longest_message_bytes <= MAX_MESSAGE_BYTES
    assert not cluster.ever_changed_to(SUSPECT)
