"""Whole front doors without chance of fault, and with one fault at a time."""

from molereach.council.interface import Over
from tests.council.log.world import S, World


def test_it_settles_at_all_seats_and_learners() -> None:
    world = World(1, size=3, learners=2)
    world.start_all()
    world.beat()
    assert world.run(5 * S, lambda: world.leader() is not None)
    world.run(S)
    for number, name in enumerate(world.nodes):
        world.propose(name, f"p{number}")
    assert world.run(2 * S, world.level)
    assert [word.over for words in world.words.values() for word in words] == [Over.SETTLED] * 5
    assert len(world.entries) == 5
