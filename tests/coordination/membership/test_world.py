"""Many cores in a virtual world: one bad link, one slow process, stalls, cuts, kills, returns, leaves."""

import math
from typing import Any

import pytest

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.membership.words import MOST_MESSAGE_BYTES, Status
from tests.coordination.membership.world import BEAT, World

ALIVE, SUSPECT, DEAD, LEFT = Status


def bound_beats(doors: int) -> float:
    """From the design note: within so many beats all that live hold a killed door for dead."""
    return 5 + 4 * max(1.0, math.log10(doors)) + 2 * math.log2(doors)


# --- nobody that lives is dead ---


@pytest.mark.parametrize("doors", [3, 5, 9])
@pytest.mark.parametrize("both", [True, False])
def test_one_bad_link_makes_nobody_suspect(doors: int, both: bool) -> None:
    world = World(doors)
    nodes = world.group(doors)
    world.bad = {("d000", "d001")} | ({("d001", "d000")} if both else set())
    world.run(300)
    assert not world.ever(SUSPECT) and not world.ever(DEAD)
    assert max(node.doubts for node in nodes) == 0


@pytest.mark.parametrize("slow_us", [SECOND_US // 4, SECOND_US // 2, SECOND_US])
@pytest.mark.parametrize("doors", [3, 9])
def test_one_slow_process_makes_nobody_dead(doors: int, slow_us: int) -> None:
    for seed in range(2):
        world = World(seed)
        nodes = world.group(doors)
        nodes[1].slow_us = slow_us
        world.run(150)
        assert not world.ever(DEAD)
        others = [node.ever(SUSPECT) for node in nodes if node is not nodes[1]]
        assert set().union(*others) <= {"d001"}  # nor does it make others suspect of one another


def test_a_stalled_door_accuses_nobody_and_is_back_soon() -> None:
    for seed in range(4):
        world = World(seed)
        nodes = world.group(9)
        world.run(world.chance.random())
        world.stop("d004", 30 * SECOND_US)
        world.run(60)
        assert all(node.core.status("d004") is DEAD for node in nodes if node is not nodes[4])
        world.run(12)
        assert world.agreed()
        assert nodes[4].ever(SUSPECT) | nodes[4].ever(DEAD) <= {"d004"} and nodes[4].doubts == 8
        world.run(100)
        assert nodes[4].core.doubt == 0 and world.agreed()


def test_short_stalls_one_after_the_other_make_nobody_dead() -> None:
    for seed in range(5):
        world = World(seed)
        world.group(5)
        for _ in range(30):
            world.stop(world.chance.choice(sorted(world.nodes)), round(world.chance.random() * 2 * BEAT))
            world.run(4)
        assert not world.ever(DEAD)


# --- what is dead, and what comes back ---


def test_both_sides_of_a_cut_find_each_other_again() -> None:
    for doors, first in ((2, 1), (5, 2), (9, 4)):
        world = World(doors)
        nodes = world.group(doors)
        world.side = {node.name: number < first for number, node in enumerate(nodes)}
        world.run(120)
        seen = [len(node.core.alive()) for node in nodes]
        assert seen == [first] * first + [doors - first] * (doors - first)
        world.side = {}
        world.settle(40)
        world.run(100)
        assert world.agreed()


def test_two_groups_that_never_met_find_each_other_by_a_seed() -> None:
    world = World(1)
    world.side = {"b1": 1, "b2": 1}
    world.start("a1", ("b1",))
    world.start("a2", ("a1",))
    world.start("b1")
    world.start("b2", ("b1",))
    world.run(40)
    assert [len(node.core.alive()) for node in world.nodes.values()] == [2, 2, 2, 2]
    world.side = {}
    world.settle(40)


def test_joining_by_several_seeds_of_which_most_are_dead() -> None:
    for seed in range(10):
        world = World(seed)
        nodes = world.group(3)
        world.start("new", ("x1", "x2", "x3", "x4", "x5", "d001"))
        assert world.settle(20) <= 20
        assert not any(node.ever(DEAD) for node in nodes)


def test_many_that_start_at_once_soon_know_one_another() -> None:
    world = World(1)
    names = [f"d{number:03}" for number in range(50)]
    for name in names:
        world.start(name, tuple(names[:3]))
    assert world.settle(6)


def test_a_seed_that_starts_later_is_found() -> None:
    world = World(1)
    world.start("a", ("b",))
    world.run(20)
    world.start("b")
    world.settle(4)


def test_a_killed_door_that_returns_takes_its_place_at_once() -> None:
    for gone in (1, 5, 40):  # beats: not yet suspect, suspect, dead
        world = World(gone)
        nodes = world.group(5)
        before = nodes[2].core.me
        world.kill("d002")
        world.run(gone)
        after = world.start("d002", ("d000", "d001"))
        world.settle(8)
        world.run(100)
        assert world.agreed()
        for node in nodes:
            if node is not nodes[2]:
                assert node.dead_at(before) and node.core.status("d002") is ALIVE
                assert not [
                    change
                    for _, change in node.changes
                    if change.life == after.core.me and change.status is not ALIVE
                ]


def test_leaving_is_no_death() -> None:
    for seed, loss in ((1, 0.0), (2, 0.3)):
        world = World(seed)
        nodes = world.group(9)
        world.loss = loss
        world.leave("d005")
        world.run(0.2)  # what it said is on its way
        world.kill("d005")
        world.run(30)
        for node in nodes:
            if node is not nodes[5]:
                assert node.core.status("d005") is LEFT
                assert "d005" not in node.ever(DEAD)


def test_the_same_name_twice_leaves_the_higher_run() -> None:
    for higher in (True, False):
        world = World(1)
        nodes = world.group(5)
        first, old = nodes[3], nodes[3].core.me
        world.twins = [first]
        other = world.start("d003", ("d000",), number=old.number + (1 if higher else -1))
        world.run(20)
        kept, ended = (other, first) if higher else (first, other)
        assert ended.displaced and not kept.displaced
        world.nodes["d003"], world.twins = kept, []
        world.settle(60)


# --- the bounds that were stated ---


@pytest.mark.parametrize(("doors", "kills"), [(3, 20), (9, 100), (50, 5)])
def test_a_killed_door_is_dead_everywhere_in_time(doors: int, kills: int, record_property: Any) -> None:  # noqa: ANN401
    world = World(doors)
    world.acquainted(doors)
    took = []
    for _ in range(kills):
        name = world.chance.choice(sorted(world.nodes))
        world.run(world.chance.random())
        life, at = world.nodes[name].core.me, world.now
        world.kill(name)
        world.run(math.ceil(bound_beats(doors)))
        ends = [node.dead_at(life) or 1 << 60 for node in world.nodes.values()]
        took.append((max(ends) - at) / BEAT)
        world.start(name, tuple(sorted(world.nodes)[:2]))
        world.run(10)
    late = [beats for beats in took if beats > bound_beats(doors)]
    assert len(late) <= kills // 100, sorted(took)[-3:]
    record_property("beats", sorted(took))


@pytest.mark.parametrize(("doors", "beats"), [(3, 120), (9, 120), (50, 60), (200, 20)])
def test_words_for_each_beat_stay_constant_in_the_number_of_doors(doors: int, beats: int) -> None:
    world = World(doors)
    nodes = world.acquainted(doors)
    world.run(beats)
    sent = [node.sent / beats for node in nodes]
    assert 2 <= sum(sent) / doors <= 2.5
    assert max(sent) <= 4
    assert world.longest <= MOST_MESSAGE_BYTES
    assert not world.ever(SUSPECT)
