"""A scenario's faults as steps in time. The same scenario and seed give the same timeline; a core."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import product
from random import Random

from rig import scenario as sc

S = 1_000_000


class Verb(Enum):
    """What a step does; the world's shell knows how."""

    KILL = "kill"
    START = "start"
    END = "end"
    STOP = "stop"
    CONTINUE = "continue"
    RELOAD = "reload"
    CUT = "cut"
    JOIN = "join"
    SILENCE = "silence"
    SPEAK = "speak"
    VANISH = "vanish"
    RETURN = "return"
    RESET = "reset"
    SPOIL = "spoil"
    SLOW = "slow"
    DRAIN = "drain"
    UNDRAIN = "undrain"
    REPLACE = "replace"
    DISCOVERY_DOWN = "discovery down"
    DISCOVERY_UP = "discovery up"
    DISCOVERY_LATE = "discovery late"
    DISCOVERY_MOVE = "discovery moves"
    SPLIT = "split"
    HEAL = "heal"
    MAIL = "mail"
    GATHER = "gather"
    CROWD = "crowd"
    HOSTILE = "hostile"


@dataclass(frozen=True, slots=True)
class Step:
    """One thing to do at a time from the load's start."""

    at_us: int
    verb: Verb
    door: str = ""
    server: str = ""
    amount: float = 0.0
    groups: tuple[tuple[str, ...], ...] = ()
    mail: tuple[float, float, float] = (0.0, 0.0, 0.0)  # loss, duplicate, reorder


def us(seconds: float) -> int:
    return round(seconds * S)


def expand(scenario: sc.Scenario, random: Random) -> list[Step]:
    """All steps, in order of time."""
    steps: list[Step] = []
    for fault in scenario.fault:
        doors = picked(fault, getattr(fault, "door", ""), scenario.door_names(), random)
        servers = picked(fault, getattr(fault, "server", ""), scenario.server_names(), random)
        pairs = list(product(doors, servers))
        for number, (door, server) in enumerate(pairs):
            at = us(fault.at + random.uniform(0.0, fault.jitter) + after_s(fault, number, len(pairs)))
            steps += steps_of(fault, at, door, server, scenario, random)
    return sorted(steps, key=lambda step: step.at_us)


def after_s(fault: sc.Fault, number: int, count: int) -> float:
    """How long after a fault's first step the `number`th of `count` that it befalls has its turn."""
    step = number * fault.steps // count
    return step * fault.over / fault.steps


def picked(fault: sc.Fault, name: str, names: list[str], random: Random) -> list[str]:
    """Whom a fault befalls, in the order of their turns; nobody where it names none."""
    if not name:
        return [""]
    several = sc.meant(name, names)
    if fault.part and len(several) > 1:
        return random.sample(several, max(1, round(fault.part * len(several))))
    return several if name in sc.ZONES else [pick(name, names, random)]


def pick(name: str, names: list[str], random: Random) -> str:
    return random.choice(names) if name == sc.ANY else name


SPANS = {  # faults that begin and end: the two verbs
    sc.Stop: (Verb.STOP, Verb.CONTINUE),
    sc.Cut: (Verb.CUT, Verb.JOIN),
    sc.Silence: (Verb.SILENCE, Verb.SPEAK),
    sc.Vanish: (Verb.VANISH, Verb.RETURN),
    sc.Drain: (Verb.DRAIN, Verb.UNDRAIN),
    sc.DiscoveryDown: (Verb.DISCOVERY_DOWN, Verb.DISCOVERY_UP),
}
POINTS = {sc.Reload: Verb.RELOAD, sc.DiscoveryMoved: Verb.DISCOVERY_MOVE}


def replaced(at: int, server: str, drains: float) -> Iterator[Step]:
    yield Step(at, Verb.DRAIN, server=server)
    yield Step(at + us(drains), Verb.REPLACE, server=server)


def steps_of(
    fault: sc.AnyFault, at: int, door: str, server: str, scenario: sc.Scenario, random: Random
) -> Iterator[Step]:
    """The steps of one fault that begins at `at`."""
    end = at + us(getattr(fault, "lasts", 0.0))
    if type(fault) in SPANS:
        first, last = SPANS[type(fault)]
        yield Step(at, first, door, server)
        yield Step(end, last, door, server)
        return
    if type(fault) in POINTS:
        yield Step(at, POINTS[type(fault)], door)
        return
    match fault:
        case sc.Kill() | sc.End():
            yield Step(at, Verb.KILL if isinstance(fault, sc.Kill) else Verb.END, door)
            if fault.back_after:
                yield Step(at + us(fault.back_after), Verb.START, door)
        case sc.Reset() | sc.Spoil():
            verb = Verb.RESET if isinstance(fault, sc.Reset) else Verb.SPOIL
            yield Step(at, verb, server=server, amount=fault.share)
            yield Step(end, verb, server=server, amount=0.0)
        case sc.Slow():
            yield Step(at, Verb.SLOW, server=server, amount=fault.times)
            yield Step(end, Verb.SLOW, server=server, amount=1.0)
        case sc.ColdDeploy():
            for number, name in enumerate(random.sample(scenario.server_names(), fault.servers)):
                yield from replaced(at + us(number * fault.every), name, fault.drains)
        case sc.Replace():
            yield from replaced(at, server, fault.drains)
        case sc.DiscoveryLate():
            yield Step(at, Verb.DISCOVERY_LATE, amount=fault.by)
            yield Step(end, Verb.DISCOVERY_LATE, amount=0.0)
        case sc.Split():
            yield Step(at, Verb.SPLIT, groups=fault.groups)
            yield Step(end, Verb.HEAL)
        case sc.Mail():
            yield Step(at, Verb.MAIL, mail=(fault.loss, fault.duplicate, fault.reorder))
            yield Step(end, Verb.MAIL)
        case sc.Moved():
            yield Step(at, Verb.GATHER, door, amount=fault.share)
            yield Step(end, Verb.GATHER)
        case sc.Crowd():
            yield Step(at, Verb.CROWD, door, amount=fault.clients)
            yield Step(end, Verb.CROWD, door)
        case sc.Hostile():
            yield Step(at, Verb.HOSTILE, door, amount=fault.clients)
