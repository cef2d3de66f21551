"""Expands the faults of a scenario to timed steps. The same scenario and seed give the same steps."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import product
from random import Random

from rig import scenario as sc

US_PER_S = 1_000_000


class Verb(Enum):
    """What a step does; `rig.world.faults` carries it out."""

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
    """One action at a time from the start of the load."""

    at_us: int
    verb: Verb
    door: str = ""
    server: str = ""
    amount: float = 0.0
    groups: tuple[tuple[str, ...], ...] = ()
    mail: tuple[float, float, float] = (0.0, 0.0, 0.0)  # loss, duplicate, reorder


def to_us(seconds: float) -> int:
    """Converts seconds to microseconds."""
    return round(seconds * US_PER_S)


def expand(scenario: sc.Scenario, random: Random) -> list[Step]:
    """All steps of all faults, in order of time."""
    steps: list[Step] = []
    for fault in scenario.fault:
        doors = choose_targets(fault, getattr(fault, "door", ""), scenario.door_names(), random)
        servers = choose_targets(fault, getattr(fault, "server", ""), scenario.server_names(), random)
        pairs = list(product(doors, servers))
        for number, (door, server) in enumerate(pairs):
            at_us = to_us(
                fault.at + random.uniform(0.0, fault.jitter) + turn_delay_s(fault, number, len(pairs))
            )
            steps += fault_steps(fault, at_us, door, server, scenario, random)
    return sorted(steps, key=lambda step: step.at_us)


def turn_delay_s(fault: sc.Fault, number: int, count: int) -> float:
    """The delay of the `number`th of `count` targets of a fault after the first."""
    step = number * fault.steps // count
    return step * fault.over / fault.steps


def choose_targets(fault: sc.Fault, name: str, names: list[str], random: Random) -> list[str]:
    """The targets of a fault, in order of time; an empty name if the fault has no such target."""
    if not name:
        return [""]
    candidates = sc.matching_targets(name, names)
    if fault.part and len(candidates) > 1:
        return random.sample(candidates, max(1, round(fault.part * len(candidates))))
    return candidates if name in sc.ZONES else [choose_target(name, names, random)]


def choose_target(name: str, names: list[str], random: Random) -> str:
    """The named target, or a random one for `any`."""
    return random.choice(names) if name == sc.ANY else name


INTERVAL_FAULTS = {  # faults with a start and an end: the verbs of both
    sc.Stop: (Verb.STOP, Verb.CONTINUE),
    sc.Cut: (Verb.CUT, Verb.JOIN),
    sc.Silence: (Verb.SILENCE, Verb.SPEAK),
    sc.Vanish: (Verb.VANISH, Verb.RETURN),
    sc.Drain: (Verb.DRAIN, Verb.UNDRAIN),
    sc.DiscoveryDown: (Verb.DISCOVERY_DOWN, Verb.DISCOVERY_UP),
}
INSTANT_FAULTS = {sc.Reload: Verb.RELOAD, sc.DiscoveryMoved: Verb.DISCOVERY_MOVE}


def replacement_steps(at_us: int, server: str, drains: float) -> Iterator[Step]:
    """The steps that drain and replace a server."""
    yield Step(at_us, Verb.DRAIN, server=server)
    yield Step(at_us + to_us(drains), Verb.REPLACE, server=server)


def fault_steps(
    fault: sc.AnyFault, at_us: int, door: str, server: str, scenario: sc.Scenario, random: Random
) -> Iterator[Step]:
    """The steps of one fault that starts at `at_us`."""
    end_us = at_us + to_us(getattr(fault, "lasts", 0.0))
    if type(fault) in INTERVAL_FAULTS:
        first, last = INTERVAL_FAULTS[type(fault)]
        yield Step(at_us, first, door, server)
        yield Step(end_us, last, door, server)
        return
    if type(fault) in INSTANT_FAULTS:
        yield Step(at_us, INSTANT_FAULTS[type(fault)], door)
        return
    match fault:
        case sc.Kill() | sc.End():
            yield Step(at_us, Verb.KILL if isinstance(fault, sc.Kill) else Verb.END, door)
            if fault.back_after:
                yield Step(at_us + to_us(fault.back_after), Verb.START, door)
        case sc.Reset() | sc.Spoil():
            verb = Verb.RESET if isinstance(fault, sc.Reset) else Verb.SPOIL
            yield Step(at_us, verb, server=server, amount=fault.share)
            yield Step(end_us, verb, server=server, amount=0.0)
        case sc.Slow():
            yield Step(at_us, Verb.SLOW, server=server, amount=fault.times)
            yield Step(end_us, Verb.SLOW, server=server, amount=1.0)
        case sc.ColdDeploy():
            for number, name in enumerate(random.sample(scenario.server_names(), fault.servers)):
                yield from replacement_steps(at_us + to_us(number * fault.every), name, fault.drains)
        case sc.Replace():
            yield from replacement_steps(at_us, server, fault.drains)
        case sc.DiscoveryLate():
            yield Step(at_us, Verb.DISCOVERY_LATE, amount=fault.by)
            yield Step(end_us, Verb.DISCOVERY_LATE, amount=0.0)
        case sc.Split():
            yield Step(at_us, Verb.SPLIT, groups=fault.groups)
            yield Step(end_us, Verb.HEAL)
        case sc.Mail():
            yield Step(at_us, Verb.MAIL, mail=(fault.loss, fault.duplicate, fault.reorder))
            yield Step(end_us, Verb.MAIL)
        case sc.Moved():
            yield Step(at_us, Verb.GATHER, door, amount=fault.share)
            yield Step(end_us, Verb.GATHER)
        case sc.Crowd():
            yield Step(at_us, Verb.CROWD, door, amount=fault.clients)
            yield Step(end_us, Verb.CROWD, door)
        case sc.Hostile():
            yield Step(at_us, Verb.HOSTILE, door, amount=fault.clients)
