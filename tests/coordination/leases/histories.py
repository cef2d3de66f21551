"""Random histories: what goes wrong, and when, drawn from a seed."""

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.log import Propose
from molereach.coordination.leases.messages import ReleaseLease
from tests.coordination.leases.world import MS, TERMS, Cores, World

NAMES = ("a", "b", "c", "d")
LENGTH_US = 16 * SECOND_US
BOUND = (1 - TERMS.drift, 1.0, 1 + TERMS.drift)  # of rates; what lies between is drawn too


def trouble(world: World) -> None:
    """One thing goes wrong, and the next is planned."""
    chance = world.chance
    proxy = world.proxies[chance.choice(NAMES)]
    match chance.randrange(12):
        case 0 | 1:
            world.elect(proxy)
        case 2 | 3 | 4 | 5:
            world.stop(proxy, chance.randrange(50 * MS, 5 * SECOND_US))
        case 6 | 7:
            proxy.cut_until = world.now + chance.randrange(100 * MS, 4 * SECOND_US)
        case 8:
            world.start(proxy.instance.name)
        case 9:
            world.to(proxy, lambda: world.cores_handle(proxy, ReleaseLease()))
        case _:
            forbid(world)
    world.after(chance.randrange(50 * MS, 1200 * MS), lambda: trouble(world))


def forbid(world: World) -> None:
    """An entry of some other machine, which is to be accounted for."""
    number = len(world.open_at)
    world.append(Propose("other", f"forbid.{number}", b"", SECOND_US), world.proxies["a"].instance)


def history(seed: int, cores: Cores = Cores(), quick: bool = False) -> World:  # noqa: B008
    """Run one; its world at the end. With `quick` clocks are at the bound, and words take next to no time."""
    world = World(seed, cores, BOUND[::2] if quick else (*BOUND, 1 - TERMS.drift / 3))
    world.quick = quick
    for name in NAMES:
        world.start(name)
    world.elect(world.proxies["a"])
    world.after(2 * SECOND_US, lambda: trouble(world))
    world.run(LENGTH_US)
    return world
