"""Random histories: a seed determines which faults occur and when."""

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.log import Propose
from molereach.coordination.leases.messages import ReleaseLease
from tests.coordination.leases.world import MS, TERMS, Components, World

NAMES = ("a", "b", "c", "d")
HISTORY_US = 16 * SECOND_US
CLOCK_RATES = (1 - TERMS.drift, 1.0, 1 + TERMS.drift)  # slowest, exact and fastest


def inject_fault(world: World) -> None:
    """Inject one random fault and schedule the next one."""
    rng = world.rng
    proxy = world.proxies[rng.choice(NAMES)]
    match rng.randrange(12):
        case 0 | 1:
            world.elect(proxy)
        case 2 | 3 | 4 | 5:
            world.pause(proxy, rng.randrange(50 * MS, 5 * SECOND_US))
        case 6 | 7:
            proxy.isolated_until_us = world.now_us + rng.randrange(100 * MS, 4 * SECOND_US)
        case 8:
            world.start(proxy.instance.name)
        case 9:
            world.run_on(proxy, lambda: world.dispatch(proxy, ReleaseLease()))
        case _:
            append_forbidding_entry(world)
    world.schedule(rng.randrange(50 * MS, 1200 * MS), lambda: inject_fault(world))


def append_forbidding_entry(world: World) -> None:
    """Append an entry of another state machine, which every node must acknowledge."""
    number = len(world.sessions_open_at)
    world.append(Propose("other", f"forbid.{number}", b"", SECOND_US), world.proxies["a"].instance)


def run_history(seed: int, components: Components = Components(), fast: bool = False) -> World:  # noqa: B008
    """Run a history and return its world. With `fast`, rates are extreme and messages take under 1 ms."""
    world = World(seed, components, CLOCK_RATES[::2] if fast else (*CLOCK_RATES, 1 - TERMS.drift / 3))
    world.fast = fast
    for name in NAMES:
        world.start(name)
    world.elect(world.proxies["a"])
    world.schedule(2 * SECOND_US, lambda: inject_fault(world))
    world.run(HISTORY_US)
    return world
