"""Without faults: the number of words, links and bytes, and how soon entries, asks and grants are there."""

import pytest

from molereach.coordination.dissemination.settings import DisseminationSettings
from tests.coordination.dissemination.simulated_tree import BEAT, World

FAN = DisseminationSettings().fanout


@pytest.mark.parametrize(("count", "depth"), [(3, 1), (9, 1), (50, 2), (200, 3)])
@pytest.mark.parametrize("delay_us", [500, 20_000])
def test_messages_connections_and_bytes_do_not_grow(count: int, depth: int, delay_us: int) -> None:
    world = World(count, delay_us=delay_us)
    world.start()
    world.said.clear()
    world.peers.clear()
    world.most_up_over = 0
    since = world.now
    beats = 20
    world.run(beats)
    for name in world.living:
        assert world.said[name, "UpstreamReport"] <= beats + 1
        assert world.said[name, "DownstreamUpdate"] <= FAN * (beats + 1)
        assert len(world.peers[name]) <= FAN + 1
        assert not world.said[name, "Redirect"]
    assert world.most_up_over <= 16
    # Every ask, and within two beats.
    for node in world.nodes.values():
        for number, asked in node.asked.items():
            if since <= asked < world.now - 2 * BEAT:
                assert node.granted[number] - asked <= 2 * BEAT
    # An entry needs no more than a delay for each step down.
    began, position = world.now, world.propose()
    world.run(1)
    assert not world.lacking(position)
    assert max(node.applied_at[position] for node in world.nodes.values()) - began <= depth * delay_us
    assert not world.fetches


def test_burst_of_entries_reaches_all_within_an_interval_of_the_last() -> None:
    world = World(50)
    world.start()
    for _ in range(30):
        world.propose(b"x" * 8000)  # more than what is kept for passing on
        world.run(0.02)
    world.run(1.5)
    assert not world.lacking(30)
    assert world.fetches  # by the log, as they are not at hand


def test_late_proxy_gets_entries_or_catches_up() -> None:
    world = World(9)
    world.start()
    away = "door-005"
    others = {(name, away) for name in world.nodes} | {(away, name) for name in world.nodes}
    for missed, fetches in ((2, 0), (40, 1)):
        world.cut = others
        for _ in range(missed):
            world.propose(b"x" * 2000)
        world.run(1.8)
        world.cut = set()
        world.run(2.5)
        assert not world.lacking(len(world.entries))
        assert world.fetches >= fetches
