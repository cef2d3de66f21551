"""Random histories of the simulated world: requests and faults, then no faults until all items are
finished."""

import random

from molereach.upkeep.permits.bodies import RequestMaintenance, encode
from molereach.upkeep.requests.work_item import WorkItem
from tests.upkeep.builders import work_item
from tests.upkeep.world import PROXY_NAMES, SERVER_NAMES, World
from tests.upkeep.world_parts import REAL_COMPONENTS, Components, InvariantViolatedError


def request(world: World, item: WorkItem) -> None:
    """Requests maintenance at a random front door."""
    proxy = world.proxies[world.rng.choice(PROXY_NAMES)]
    world.append("upkeep", encode(RequestMaintenance(item)), proxy.instance)


def random_items(rng: random.Random) -> list[WorkItem]:
    items = []
    for number in range(rng.randint(2, 5)):
        machine = SERVER_NAMES[number % len(SERVER_NAMES)]
        other = rng.choice([name for name in SERVER_NAMES if name != machine])
        items.append(
            work_item(
                f"w{number}",
                machine,
                minutes=1,
                not_with=(other,) if rng.random() < 0.3 else (),
                after=(SERVER_NAMES[number - 1],) if number and rng.random() < 0.2 else (),
            )
        )
    return items


MAX_CALM_STEPS = 400


def run_history(seed: int, components: Components = REAL_COMPONENTS, steps: int = 90) -> World:
    """Runs one history, and returns its world when all items are finished."""
    world = World(seed, components)
    pending = random_items(world.rng)
    for _ in range(4):
        world.step()
    for number in range(steps):
        world.step()
        if pending and world.reference.registry.fleet.servers and number % 3 == 0:
            for _ in range(world.rng.choice((1, 1, 2))):  # some are requested twice
                request(world, pending[0])
            pending = pending[1:]
        if world.rng.random() < 0.25:
            world.inject_fault()
    world.stop_faults()
    for _ in range(MAX_CALM_STEPS):
        if world.finished:
            return world
        world.step()
    unfinished = [(each.work.id, each.state.value) for each in world.reference.registry.records.values()]
    blockers = {
        id: str(blocker) for proxy in world.proxies.values() for id, blocker in proxy.driver.blockers.items()
    }
    missing = {
        id: each for proxy in world.proxies.values() for id, each in proxy.driver.missing_clearances.items()
    }
    raise InvariantViolatedError(f"unfinished items: {unfinished}, {blockers}, {missing}")
