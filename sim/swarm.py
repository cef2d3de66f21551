"""Random days: each draws which kinds of faults it has at all, then faults of these. A core.

Source: Groce, Zhang, Eide, Chen, Regehr, "Swarm Testing" (ISSTA 2012): leaving kinds out altogether finds
more than having a little of all in every day.
"""

from collections.abc import Callable
from random import Random

from msgspec.structs import replace

from rig import scenario as sc
from rig.timeline import choose_target

LEAST_DOORS, MAX_MEMBERS = 3, 10
LEAST_SERVERS, MAX_SERVERS = 4, 12
RATES = (12.0, 60.0)
MOST_FAULTS = 10
QUIET_S = 4.0  # at the end without a new fault
MOST_LASTS = 8.0

Draw = Callable[[Random, "sc.Scenario", float], sc.AnyFault]


def lasts(random: Random) -> float:
    return round(random.uniform(0.3, MOST_LASTS), 3)


KINDS: dict[str, Draw] = {
    "kill": lambda r, s, at: sc.Kill(at=at, door=sc.ANY, back_after=round(r.uniform(0.5, 6.0), 3)),
    "end": lambda r, s, at: sc.End(at=at, door=sc.ANY, back_after=round(r.uniform(0.5, 6.0), 3)),
    "stop": lambda r, s, at: sc.Stop(at=at, door=sc.ANY, lasts=round(r.uniform(0.05, 3.0), 3)),
    "reload": lambda r, s, at: sc.Reload(at=at, door=sc.ANY),
    "cut": lambda r, s, at: sc.Cut(at=at, door=sc.ANY, server=sc.ANY, lasts=lasts(r)),
    "silence": lambda r, s, at: sc.Silence(at=at, server=sc.ANY, lasts=lasts(r)),
    "vanish": lambda r, s, at: sc.Vanish(at=at, server=sc.ANY, lasts=lasts(r)),
    "reset": lambda r, s, at: sc.Reset(at=at, server=sc.ANY, share=round(r.random(), 2), lasts=lasts(r)),
    "spoil": lambda r, s, at: sc.Spoil(at=at, server=sc.ANY, share=round(r.random(), 2), lasts=lasts(r)),
    "slow": lambda r, s, at: sc.Slow(
        at=at, server=sc.ANY, times=round(r.uniform(1.0, 20.0), 1), lasts=lasts(r)
    ),
    "drain": lambda r, s, at: sc.Drain(at=at, server=sc.ANY, lasts=lasts(r)),
    "cold-deploy": lambda r, s, at: sc.ColdDeploy(
        at=at, servers=r.randint(1, min(4, s.servers)), every=round(r.uniform(0.5, 3.0), 3)
    ),
    "discovery-down": lambda r, s, at: sc.DiscoveryDown(at=at, lasts=lasts(r)),
    "discovery-late": lambda r, s, at: sc.DiscoveryLate(
        at=at, by=round(r.uniform(0.1, 2.0), 3), lasts=lasts(r)
    ),
    "discovery-moved": lambda r, s, at: sc.DiscoveryMoved(at=at, door=sc.ANY),
    "split": lambda r, s, at: sc.Split(at=at, groups=halves(r, s), lasts=lasts(r)),
    "mail": lambda r, s, at: sc.Mail(
        at=at,
        lasts=lasts(r),
        loss=round(r.random() * 0.6, 2),
        duplicate=round(r.random() * 0.3, 2),
        reorder=round(r.random() * 0.3, 2),
    ),
    "moved": lambda r, s, at: sc.Moved(at=at, door=sc.ANY, share=round(r.random(), 2), lasts=lasts(r)),
    "crowd": lambda r, s, at: sc.Crowd(at=at, door=sc.ANY, clients=r.randint(1, 200), lasts=lasts(r)),
    "hostile": lambda r, s, at: sc.Hostile(at=at, door=sc.ANY, clients=r.randint(1, 12)),
}


def halves(random: Random, scenario: sc.Scenario) -> tuple[tuple[str, ...], ...]:
    names = scenario.door_names()
    random.shuffle(names)
    cut = random.randint(1, len(names) - 1)
    return tuple(names[:cut]), tuple(names[cut:])


def draw(seed: int, seconds: float = 60.0) -> sc.Scenario:
    """The random day of a seed, with every fault's door, server and time settled."""
    random = Random(f"{seed}:swarm")
    day = sc.Scenario(
        f"swarm-{seed}",
        "a random day",
        seconds,
        random.randint(LEAST_DOORS, MAX_MEMBERS),
        random.randint(LEAST_SERVERS, MAX_SERVERS),
        sc.Load(
            round(random.uniform(*RATES), 1),
            random.randint(2, 48),
            round(random.random() * 0.5, 2),
            round(random.random() * 0.1, 2),
        ),
    )
    kinds = [name for name in KINDS if random.random() < 0.5] or ["kill"]
    last = max(1.0, seconds - QUIET_S)
    faults = [
        KINDS[random.choice(kinds)](random, day, round(random.uniform(0.5, last), 3))
        for _ in range(random.randint(1, MOST_FAULTS))
    ]
    return replace(
        day,
        fault=tuple(sorted((settled(day, fault, random) for fault in faults), key=lambda fault: fault.at)),
    )


def settled(day: sc.Scenario, fault: sc.AnyFault, random: Random) -> sc.AnyFault:
    """A fault whose door and server are named, so that leaving out another changes nothing about it."""
    changes = {
        what: choose_target(getattr(fault, what), names, random)
        for what, names in (("door", day.door_names()), ("server", day.server_names()))
        if hasattr(fault, what)
    }
    return replace(fault, **changes) if changes else fault


def shrink(
    day: sc.Scenario, fails: Callable[[sc.Scenario], bool], most_runs: int = 60
) -> tuple[sc.Scenario, int]:
    """A day with as few faults as still fails, and how many days it took.

    Source: Zeller, Hildebrandt, "Simplifying and Isolating Failure-Inducing Input" (2002): ddmin over faults.
    """
    faults, parts, runs = list(day.fault), 2, 0
    while len(faults) > 1 and runs < most_runs:
        size = -(-len(faults) // parts)
        for start in range(0, len(faults), size):
            fewer = faults[:start] + faults[start + size :]
            runs += 1
            if fails(replace(day, fault=tuple(fewer))):
                faults, parts = fewer, max(2, parts - 1)
                break
            if runs >= most_runs:
                break
        else:
            if size == 1:
                break
            parts = min(len(faults), parts * 2)
    if len(faults) == 1 and runs < most_runs:
        runs += 1
        if fails(replace(day, fault=())):
            faults = []
    return replace(day, fault=tuple(faults)), runs
