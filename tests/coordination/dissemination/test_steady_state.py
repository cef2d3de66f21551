"""Without faults: bounds on messages, connections and bytes, and on the delay of entries and grants."""

import pytest

from molereach.coordination.dissemination.settings import DisseminationSettings
from tests.coordination.dissemination.simulated_tree import INTERVAL_US, SimulatedTree

FANOUT = DisseminationSettings().fanout


@pytest.mark.parametrize(("count", "depth"), [(3, 1), (9, 1), (50, 2), (200, 3)])
@pytest.mark.parametrize("delay_us", [500, 20_000])
def test_messages_connections_and_bytes_do_not_grow(count: int, depth: int, delay_us: int) -> None:
    simulation = SimulatedTree(count, delay_us=delay_us)
    simulation.start()
    simulation.sent_messages.clear()
    simulation.connected_names.clear()
    simulation.max_report_excess_bytes = 0
    since_us = simulation.now_us
    intervals = 20
    simulation.run(intervals)
    for name in simulation.live_names:
        assert simulation.sent_messages[name, "UpstreamReport"] <= intervals + 1
        assert simulation.sent_messages[name, "DownstreamUpdate"] <= FANOUT * (intervals + 1)
        assert len(simulation.connected_names[name]) <= FANOUT + 1
        assert not simulation.sent_messages[name, "Redirect"]
    assert simulation.max_report_excess_bytes <= 16
    # Every request is granted within two intervals.
    for node in simulation.nodes.values():
        for number, requested_us in node.requested_us.items():
            if since_us <= requested_us < simulation.now_us - 2 * INTERVAL_US:
                assert node.granted_us[number] - requested_us <= 2 * INTERVAL_US
    # An entry takes at most one network delay per level of the tree.
    started_us, position = simulation.now_us, simulation.propose()
    simulation.run(1)
    assert not simulation.names_behind(position)
    assert (
        max(node.applied_us[position] for node in simulation.nodes.values()) - started_us <= depth * delay_us
    )
    assert not simulation.fetch_count


def test_burst_of_entries_reaches_all_within_an_interval_of_the_last() -> None:
    simulation = SimulatedTree(50)
    simulation.start()
    for _ in range(30):
        simulation.propose(b"x" * 8000)  # more than is kept for forwarding
        simulation.run(0.02)
    simulation.run(1.5)
    assert not simulation.names_behind(30)
    assert simulation.fetch_count  # entries no longer kept are fetched by the log


def test_late_proxy_gets_entries_or_catches_up() -> None:
    simulation = SimulatedTree(9)
    simulation.start()
    disconnected = "door-005"
    connections = {(name, disconnected) for name in simulation.nodes} | {
        (disconnected, name) for name in simulation.nodes
    }
    for missed_entries, fetch_count in ((2, 0), (40, 1)):
        simulation.failed_connections = connections
        for _ in range(missed_entries):
            simulation.propose(b"x" * 2000)
        simulation.run(1.8)
        simulation.failed_connections = set()
        simulation.run(2.5)
        assert not simulation.names_behind(len(simulation.entries))
        assert simulation.fetch_count >= fetch_count
