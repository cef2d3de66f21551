"""Random histories: a seed determines which faults occur and when."""

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.log import Propose
from molereach.coordination.leases.messages import ReleaseLease
from tests.coordination.leases.simulation import MS, TERMS, Components, Simulation

NAMES = ("a", "b", "c", "d")
HISTORY_US = 16 * SECOND_US
CLOCK_RATES = (1 - TERMS.drift, 1.0, 1 + TERMS.drift)  # slowest, exact and fastest


def inject_fault(simulation: Simulation) -> None:
    """Inject one random fault and schedule the next one."""
    rng = simulation.rng
    proxy = simulation.proxies[rng.choice(NAMES)]
    match rng.randrange(12):
        case 0 | 1:
            simulation.elect(proxy)
        case 2 | 3 | 4 | 5:
            simulation.pause(proxy, rng.randrange(50 * MS, 5 * SECOND_US))
        case 6 | 7:
            proxy.isolated_until_us = simulation.now_us + rng.randrange(100 * MS, 4 * SECOND_US)
        case 8:
            simulation.start(proxy.instance.name)
        case 9:
            simulation.run_on(proxy, lambda: simulation.dispatch(proxy, ReleaseLease()))
        case _:
            append_forbidding_entry(simulation)
    simulation.schedule(rng.randrange(50 * MS, 1200 * MS), lambda: inject_fault(simulation))


def append_forbidding_entry(simulation: Simulation) -> None:
    """Append an entry of another state machine, which every node must acknowledge."""
    number = len(simulation.sessions_open_at)
    simulation.append(Propose("other", f"forbid.{number}", b"", SECOND_US), simulation.proxies["a"].instance)


def run_history(seed: int, components: Components = Components(), fast: bool = False) -> Simulation:  # noqa: B008
    """Run one history. With `fast`, clock rates are extreme and messages take under 1 ms."""
    simulation = Simulation(
        seed, components, CLOCK_RATES[::2] if fast else (*CLOCK_RATES, 1 - TERMS.drift / 3)
    )
    simulation.fast = fast
    for name in NAMES:
        simulation.start(name)
    simulation.elect(simulation.proxies["a"])
    simulation.schedule(2 * SECOND_US, lambda: inject_fault(simulation))
    simulation.run(HISTORY_US)
    return simulation
