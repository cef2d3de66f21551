"""Random scenarios: each first draws a subset of fault kinds, then faults of these kinds. Does no I/O.

Source: Groce, Zhang, Eide, Chen, Regehr, "Swarm Testing" (ISSTA 2012): leaving features out of a test finds
more faults than a little of every feature in each test.
"""

from collections.abc import Callable
from random import Random

from msgspec.structs import replace

from rig import scenario as sc
from rig.timeline import choose_target

MIN_DOORS, MAX_DOORS = 3, 10
MIN_SERVERS, MAX_SERVERS = 4, 12
REQUEST_RATES = (12.0, 60.0)
MAX_FAULTS = 10
QUIET_S = 4.0  # no new fault this long before the end
MAX_DURATION_S = 8.0

DrawFault = Callable[[Random, "sc.Scenario", float], sc.AnyFault]


def draw_duration(random: Random) -> float:
    """Draw how many seconds a fault lasts."""
    return round(random.uniform(0.3, MAX_DURATION_S), 3)


FAULT_KINDS: dict[str, DrawFault] = {
    "kill": lambda r, s, at: sc.Kill(at=at, door=sc.ANY, back_after=round(r.uniform(0.5, 6.0), 3)),
    "end": lambda r, s, at: sc.End(at=at, door=sc.ANY, back_after=round(r.uniform(0.5, 6.0), 3)),
    "stop": lambda r, s, at: sc.Stop(at=at, door=sc.ANY, lasts=round(r.uniform(0.05, 3.0), 3)),
    "reload": lambda r, s, at: sc.Reload(at=at, door=sc.ANY),
    "cut": lambda r, s, at: sc.Cut(at=at, door=sc.ANY, server=sc.ANY, lasts=draw_duration(r)),
    "silence": lambda r, s, at: sc.Silence(at=at, server=sc.ANY, lasts=draw_duration(r)),
    "vanish": lambda r, s, at: sc.Vanish(at=at, server=sc.ANY, lasts=draw_duration(r)),
    "reset": lambda r, s, at: sc.Reset(
        at=at, server=sc.ANY, share=round(r.random(), 2), lasts=draw_duration(r)
    ),
    "spoil": lambda r, s, at: sc.Spoil(
        at=at, server=sc.ANY, share=round(r.random(), 2), lasts=draw_duration(r)
    ),
    "slow": lambda r, s, at: sc.Slow(
        at=at, server=sc.ANY, times=round(r.uniform(1.0, 20.0), 1), lasts=draw_duration(r)
    ),
    "drain": lambda r, s, at: sc.Drain(at=at, server=sc.ANY, lasts=draw_duration(r)),
    "cold-deploy": lambda r, s, at: sc.ColdDeploy(
        at=at, servers=r.randint(1, min(4, s.servers)), every=round(r.uniform(0.5, 3.0), 3)
    ),
    "discovery-down": lambda r, s, at: sc.DiscoveryDown(at=at, lasts=draw_duration(r)),
    "discovery-late": lambda r, s, at: sc.DiscoveryLate(
        at=at, by=round(r.uniform(0.1, 2.0), 3), lasts=draw_duration(r)
    ),
    "discovery-moved": lambda r, s, at: sc.DiscoveryMoved(at=at, door=sc.ANY),
    "split": lambda r, s, at: sc.Split(at=at, groups=draw_split(r, s), lasts=draw_duration(r)),
    "mail": lambda r, s, at: sc.Mail(
        at=at,
        lasts=draw_duration(r),
        loss=round(r.random() * 0.6, 2),
        duplicate=round(r.random() * 0.3, 2),
        reorder=round(r.random() * 0.3, 2),
    ),
    "moved": lambda r, s, at: sc.Moved(
        at=at, door=sc.ANY, share=round(r.random(), 2), lasts=draw_duration(r)
    ),
    "crowd": lambda r, s, at: sc.Crowd(at=at, door=sc.ANY, clients=r.randint(1, 200), lasts=draw_duration(r)),
    "hostile": lambda r, s, at: sc.Hostile(at=at, door=sc.ANY, clients=r.randint(1, 12)),
}


def draw_split(random: Random, scenario: sc.Scenario) -> tuple[tuple[str, ...], ...]:
    """Split the front doors into two random groups."""
    names = scenario.door_names()
    random.shuffle(names)
    split_at = random.randint(1, len(names) - 1)
    return tuple(names[:split_at]), tuple(names[split_at:])


def draw_scenario(seed: int, seconds: float = 60.0) -> sc.Scenario:
    """The random scenario of a seed; every fault has a definite front door, server and time."""
    random = Random(f"{seed}:swarm")
    scenario = sc.Scenario(
        f"swarm-{seed}",
        "a random day",
        seconds,
        random.randint(MIN_DOORS, MAX_DOORS),
        random.randint(MIN_SERVERS, MAX_SERVERS),
        sc.Load(
            round(random.uniform(*REQUEST_RATES), 1),
            random.randint(2, 48),
            round(random.random() * 0.5, 2),
            round(random.random() * 0.1, 2),
        ),
    )
    kinds = [name for name in FAULT_KINDS if random.random() < 0.5] or ["kill"]
    last_fault_s = max(1.0, seconds - QUIET_S)
    faults = [
        FAULT_KINDS[random.choice(kinds)](random, scenario, round(random.uniform(0.5, last_fault_s), 3))
        for _ in range(random.randint(1, MAX_FAULTS))
    ]
    return replace(
        scenario,
        fault=tuple(
            sorted((resolve_targets(scenario, fault, random) for fault in faults), key=lambda fault: fault.at)
        ),
    )


def resolve_targets(scenario: sc.Scenario, fault: sc.AnyFault, random: Random) -> sc.AnyFault:
    """A fault with definite targets, so that removing another fault does not change it."""
    targets = {
        field: choose_target(getattr(fault, field), names, random)
        for field, names in (("door", scenario.door_names()), ("server", scenario.server_names()))
        if hasattr(fault, field)
    }
    return replace(fault, **targets) if targets else fault


def shrink(
    scenario: sc.Scenario, fails: Callable[[sc.Scenario], bool], max_runs: int = 60
) -> tuple[sc.Scenario, int]:
    """Reduce the faults of a failing scenario; the smaller scenario and the number of runs.

    Source: Zeller, Hildebrandt, "Simplifying and Isolating Failure-Inducing Input" (2002): ddmin over faults.
    """
    faults, chunks, runs = list(scenario.fault), 2, 0
    while len(faults) > 1 and runs < max_runs:
        size = -(-len(faults) // chunks)
        for start in range(0, len(faults), size):
            fewer = faults[:start] + faults[start + size :]
            runs += 1
            if fails(replace(scenario, fault=tuple(fewer))):
                faults, chunks = fewer, max(2, chunks - 1)
                break
            if runs >= max_runs:
                break
        else:
            if size == 1:
                break
            chunks = min(len(faults), chunks * 2)
    if len(faults) == 1 and runs < max_runs:
        runs += 1
        if fails(replace(scenario, fault=())):
            faults = []
    return replace(scenario, fault=tuple(faults)), runs
