"""Deaths, stops, lost words, rings, leaders that change, views that differ: all reach all again in time."""

import pytest

from molereach.coordination.dissemination.core import DisseminationTree
from molereach.coordination.dissemination.messages import DownstreamUpdate
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import MessageReceived
from tests.coordination.dissemination.simulated_tree import BEAT, World

FAN = DisseminationSettings().fanout
HEALED = 10  # beats


def all_reach_all(world: World, beats: float = HEALED) -> None:
    began, position = world.now, world.propose()
    world.run(beats)
    assert not world.lacking(position)
    assert not world.ungranted(began)


def steady(world: World) -> None:
    """The tree is the one by rank."""
    for name in world.living:
        core = world.nodes[name].core
        assert core.tracker.name == core.state.tree.parent
        assert len(core.downstream.children.table) <= FAN


@pytest.mark.parametrize("count", [9, 50, 200])
def test_inner_proxy_fails_without_notice(count: int) -> None:
    world = World(count)
    world.start()
    dead = ("door-000", "door-002", "door-003")  # of the leader's children
    for name in dead:
        world.kill(name)
    before = world.parents()
    world.moves.clear()
    all_reach_all(world, 5)
    after = world.parents()
    for name, parent in before.items():
        assert after[name] not in dead
        assert parent in dead or not world.moves[name]  # those further down stay where they are
    world.view()
    world.run(40)
    steady(world)


@pytest.mark.parametrize("count", [3, 9, 50, 200])
def test_leader_fails_and_its_successor_is_learnt_over_seconds(count: int) -> None:
    world = World(count)
    world.start()
    world.kill("door-001")
    world.run(4)
    world.lead("door-002")
    world.view(within_us=6 * BEAT)
    world.run(1)
    all_reach_all(world)
    world.run(40)
    steady(world)


def test_half_of_the_tree_leaves_the_old_leader_without_notice() -> None:
    world = World(50)
    world.start()
    half = world.living[:25]  # the old leader's
    world.cut = {(a, b) for a in half for b in world.living[25:]}
    world.cut |= {(b, a) for a, b in world.cut}
    world.run(3)
    world.lead("door-030")
    world.view(world.living[25:])
    world.run(4)
    world.cut = set()
    world.run(5)
    all_reach_all(world)
    assert {world.nodes[name].core.state.leader for name in world.living} == {"door-030"}
    assert not any(world.nodes[name].core.state.is_leader for name in half)


def test_ring_of_proxies_dissolves() -> None:
    """Each listens to the next and cannot reach its parent by rank. A word needs more than half a beat to go
    round, so nothing but its mark keeps it from going round for ever."""
    world = World(50)
    world.start()
    ring = world.living[20:40]
    homes = {(name, world.parents()[name] or "") for name in ring}
    world.cut = homes | {(home, name) for name, home in homes}
    for at, name in enumerate(ring):
        core: DisseminationTree = world.nodes[name].core
        core.tracker.name = ring[at - 1]  # still fresh, as far as it knows
        world.feed(name, None)
    world.run(1.1)
    core = world.nodes[ring[0]].core
    ballot, number = core.tracker.last_heartbeat
    assert core.tracker.name == ring[-1]
    pulse = DownstreamUpdate(ballot, number + 1, world.leader, 3, 0)  # a late one
    world.feed(ring[0], MessageReceived(world.nodes[ring[-1]].core.local, pulse))
    world.run(1)
    all_reach_all(world)


def test_failed_connection_is_bypassed_and_used_again_later() -> None:
    world = World(50)
    world.start()
    child = "door-049"
    parent = world.parents()[child]
    assert parent
    world.cut = {(parent, child)}  # one way
    world.run(6)
    assert world.parents()[child] != parent
    all_reach_all(world, 4)
    world.cut = set()
    world.run(DisseminationSettings().max_preferred_parent_intervals + 4)
    steady(world)


def test_leader_that_stalled_sends_one_heartbeat_for_all_late_ticks() -> None:
    world = World(9)
    world.start()
    world.nodes["door-001"].stopped_until = world.now + 10 * BEAT
    world.run(10)
    world.said.clear()
    world.run(0.5)
    assert world.said["door-001", "DownstreamUpdate"] <= 2 * FAN
    all_reach_all(world)


def test_leader_replaced_during_a_stall_follows() -> None:
    world = World(50)
    world.start()
    world.nodes["door-001"].stopped_until = world.now + 10 * BEAT
    world.run(5)
    world.lead("door-004")
    world.view([name for name in world.living if name != "door-001"], within_us=2 * BEAT)
    world.run(5.5)
    all_reach_all(world)
    assert not world.nodes["door-001"].core.state.is_leader


def test_only_voters_know_the_leader_at_first() -> None:
    world = World(50)
    world.view()  # who lives, and no leader
    world.run(3)
    world.lead("door-003")
    world.view([f"door-{at:03}" for at in range(5)])
    world.run(0.1)
    all_reach_all(world)


def test_cluster_states_lag_behind_many_failures() -> None:
    world = World(50, 7)
    world.start()
    for name in world.random.sample([name for name in world.living if name != world.leader], 20):
        world.kill(name)
    all_reach_all(world)


def history(seed: int, count: int) -> None:
    """Random faults for 16 beats, and then none."""
    world = World(count, seed, delay_us=5_000, jitter_us=40_000)
    rnd = world.random
    world.start()
    world.loss = rnd.choice((0.0, 0.1, 0.3))
    for _ in range(8):
        match rnd.randrange(6):
            case 0 if len(world.living) > 3:
                name = rnd.choice(world.living[: count // 2 + 2])
                if name != world.leader:
                    world.kill(name)
            case 1 if len(world.living) > 3:
                world.kill(world.leader)
                world.run(rnd.randrange(4))
                world.lead(rnd.choice(world.living))
                world.nodes[world.leader].stopped_until = 0
                world.view(within_us=6 * BEAT)
            case 2:
                name = rnd.choice(world.living)
                world.nodes[name].stopped_until = world.now + rnd.randrange(1, 8) * BEAT
            case 3:
                some = rnd.sample(world.living, max(2, len(world.living) // 2))
                world.view(within_us=4 * BEAT, names=rnd.sample(world.living, 2), alive=some)
            case 4:
                a, b = rnd.sample(world.living, 2)
                world.cut.add((a, b))
            case 5:
                world.lead(rnd.choice(world.living))
                world.view(within_us=6 * BEAT)
        world.run(2)
        if rnd.random() < 0.7:
            world.propose(b"x" * rnd.choice((10, 9000)))
        most = 2 * FAN
        assert all(len(world.nodes[name].core.downstream.children.table) <= most for name in world.living)
    world.loss, world.cut = 0.0, set()
    for node in world.nodes.values():
        node.stopped_until = min(node.stopped_until, world.now)
    world.view()
    world.run(0.1)  # all have woken and know who lives
    all_reach_all(world)


def test_random_history_of_120_proxies() -> None:
    history(1, 120)


@pytest.mark.parametrize("group", range(10))
def test_random_histories(group: int) -> None:
    for seed in range(group * 10, group * 10 + 10):
        try:
            history(seed, 3 + seed * 7 % 28)
        except AssertionError as error:
            raise AssertionError(f"history {seed}: {error}") from error
