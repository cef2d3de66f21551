"""Random histories of the small world: works, troubles, then calm until all is over."""

import random

from molereach.upkeep.permits.bodies import Ask, encode
from molereach.upkeep.requests.work_item import Work
from tests.upkeep.builders import work
from tests.upkeep.world import NAMES, SERVERS, World
from tests.upkeep.world_parts import REAL, BrokenError, Cores


def ask(world: World, asked: Work) -> None:
    """At a front door that may be any."""
    door = world.doors[world.chance.choice(NAMES)]
    world.append("upkeep", encode(Ask(asked)), door.life)


def works(chance: random.Random) -> list[Work]:
    found = []
    for number in range(chance.randint(2, 5)):
        machine = SERVERS[number % len(SERVERS)]
        other = chance.choice([name for name in SERVERS if name != machine])
        found.append(
            work(
                f"w{number}",
                machine,
                minutes=1,
                not_with=(other,) if chance.random() < 0.3 else (),
                after=(SERVERS[number - 1],) if number and chance.random() < 0.2 else (),
            )
        )
    return found


MOST_CALM_STEPS = 400


def history(seed: int, cores: Cores = REAL, steps: int = 90) -> World:
    """Run one; its world at the end, where all works are over."""
    world = World(seed, cores)
    asked = works(world.chance)
    for _ in range(4):
        world.step()
    for number in range(steps):
        world.step()
        if asked and world.truth.book.fleet.servers and number % 3 == 0:
            for _ in range(world.chance.choice((1, 1, 2))):  # at times asked twice
                ask(world, asked[0])
            asked = asked[1:]
        if world.chance.random() < 0.25:
            world.trouble()
    world.calm()
    for _ in range(MOST_CALM_STEPS):
        if world.finished:
            return world
        world.step()
    left = [(each.work.id, each.state.value) for each in world.truth.book.records.values()]
    stops = {id: str(stop) for door in world.doors.values() for id, stop in door.driver.stops.items()}
    missed = {id: each for door in world.doors.values() for id, each in door.driver.missed.items()}
    raise BrokenError(f"not over: {left}, {stops}, {missed}")
