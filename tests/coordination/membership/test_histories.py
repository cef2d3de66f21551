"""Random histories from seeds: losses, stalls, kills, returns, cuts, leaves; what holds in all of them."""

import pytest

from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance
from molereach.coordination.membership.words import MOST_MESSAGE_BYTES, Status
from tests.coordination.membership.world import BEAT, SETTINGS, Node, World

ALIVE, SUSPECT, DEAD, LEFT = Status
STEPS = 12
LEAST = 3  # doors that live: with two, a bad link between them has no way round
MOST_WRONG_BEATS = 40  # for which a door that lives, runs and can be reached is dead for somebody


class History:
    """One world, what was done to it, and how long each verdict on a door that lives has stood."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.chance = self.world.chance
        self.nodes = self.world.group(self.chance.randint(3, 8), 20)
        self.names = [node.name for node in self.nodes]
        self.ended: set[NodeInstance] = set()  # killed, or left
        self.left: set[NodeInstance] = set()
        self.wrong: dict[tuple[str, str], int] = {}  # beats; who believes it, and of whom
        self.longest = 0

    def some(self) -> Node:
        return self.chance.choice(sorted(self.world.nodes.values(), key=lambda node: node.name))

    def bad_link(self) -> None:
        one, two = self.chance.sample(self.names, 2)
        self.world.bad = {(one, two), *([(two, one)] if self.chance.random() < 0.5 else [])}

    def kill(self) -> None:
        if len(self.world.nodes) > LEAST:
            node = self.some()
            self.ended.add(node.core.me)
            self.world.kill(node.name)

    def leave(self) -> None:
        if len(self.world.nodes) > LEAST:
            node = self.some()
            self.world.leave(node.name)
            self.world.run(0.2)
            self.ended.add(node.core.me)
            self.left.add(node.core.me)
            self.world.kill(node.name)

    def start(self) -> None:
        gone = [name for name in self.names if name not in self.world.nodes]
        if gone:
            self.nodes.append(self.world.start(self.chance.choice(gone), tuple(self.names)))

    def stall(self) -> None:
        self.world.stop(self.some().name, round(self.chance.random() ** 3 * 60 * BEAT))

    def cut(self) -> None:
        self.world.side = {name: self.chance.randint(0, 1) for name in self.names}

    def heal(self) -> None:
        self.world.side, self.world.bad = {}, set()

    def lose(self) -> None:
        self.world.loss = self.chance.choice([0.0, 0.1, 0.3])

    def run(self, beats: int) -> None:
        for _ in range(beats):
            self.world.run(1)
            self.check()

    def check(self) -> None:
        world = self.world
        assert world.longest <= MOST_MESSAGE_BYTES
        for node in world.nodes.values():
            assert not node.displaced  # the newest run of a name is never told to end
            assert node.core.me in node.core.alive() and len(node.core.alive()) <= MAX_MEMBERS
            assert 0 <= node.core.doubt <= SETTINGS.most_doubt
            if world.now >= node.stopped_until:
                assert node.core.wake_us >= world.now
            for other in world.nodes.values():
                held = node.core.status(other.name) is DEAD and not world.side
                stopped = max(node.stopped_until, other.stopped_until) >= world.now
                now = self.wrong.get((node.name, other.name), 0) + 1 if held and not stopped else 0
                self.wrong[node.name, other.name] = now
                self.longest = max(self.longest, now)

    def end(self) -> None:
        """All faults are over: all come to agree, and what was said on the way was consistent."""
        world = self.world
        self.heal()
        world.loss = 0.0
        world.run(max([0, *(node.stopped_until - world.now for node in world.nodes.values())]) / BEAT + 1)
        world.settle(120)
        assert self.longest <= MOST_WRONG_BEATS
        for node in self.nodes:
            last: dict[NodeInstance, Status] = {}
            for _, change in node.changes:
                assert last.get(change.life, change.previous) is change.previous or change.previous is None
                assert last.get(change.life) is not LEFT or change.status is LEFT
                last[change.life] = change.status
            assert all(
                status in (DEAD, LEFT)
                for life, status in last.items()
                if life in self.ended and node.name in world.nodes and world.nodes[node.name] is node
            )


@pytest.mark.parametrize("seed", range(15))
def test_with_single_bad_links_nobody_that_lives_is_ever_dead(seed: int) -> None:
    history = History(seed)
    for _ in range(STEPS):
        history.bad_link()
        history.chance.choice([history.kill, history.start, history.leave, lambda: None])()
        history.run(history.chance.randint(1, 15))
    dead = {change.life for node in history.nodes for _, change in node.changes if change.status is DEAD}
    assert dead <= history.ended
    history.end()


@pytest.mark.parametrize("seed", range(100, 120))
def test_whatever_happens_all_agree_when_it_is_over(seed: int) -> None:
    history = History(seed)
    for _ in range(STEPS):
        history.chance.choice(
            [
                history.bad_link,
                history.kill,
                history.start,
                history.start,
                history.leave,
                history.stall,
                history.cut,
                history.heal,
                history.lose,
            ]
        )()
        history.run(history.chance.randint(1, 15))
    history.end()
