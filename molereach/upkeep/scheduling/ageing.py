"""Nothing waits for ever behind later work.

A work presses from when later ones have gone before it so often, or its window is about to close. Another
that would hold it up then waits: one beside which, and beside what has begun since, the pressing one could
not go. What had begun before ends by its own time. A work that stops for a reason of its own, such as a
season, holds up nobody. What a pressing work waits for presses with it, as in priority inheritance (Sha,
Rajkumar and Lehoczky, "Priority Inheritance Protocols", IEEE Transactions on Computers 39, 1990).
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.evaluation import RULES, judge
from molereach.upkeep.rules.fleet_facts import groups
from molereach.upkeep.rules.scene import Off, Rule, Scene, Stop, Taken
from molereach.upkeep.rules.settings import UpkeepSettings

MOST_PRESSING = 8  # looked at, those first in rank: the others press once these have gone
AGEING = "ageing"


@dataclass(frozen=True, slots=True)
class Waiting:
    """A work that has not begun."""

    work: Work
    asked: int  # the position at which it was settled
    passed_ms: int = 0  # since when it has been passed too often; 0 for not


@dataclass(frozen=True, slots=True)
class Pressing:
    """A work that may not be passed, since when, and its rank."""

    waiting: Waiting
    since_ms: int
    rank: tuple[int, int]


def presses_from(each: Waiting, settings: UpkeepSettings) -> int:
    closing_ms = each.work.latest_ms - settings.closing_ms
    return min(closing_ms, each.passed_ms) if each.passed_ms else closing_ms


def pressing(waiting: Sequence[Waiting], at_ms: int, settings: UpkeepSettings) -> tuple[Pressing, ...]:
    """Those that press now, the first in rank first."""
    since: dict[str, tuple[int, tuple[int, int]]] = {}
    for each in waiting:
        since_ms = presses_from(each, settings)
        if since_ms <= at_ms:
            since[each.work.id] = since_ms, (each.work.latest_ms, each.asked)
    if not since:
        return ()
    _inherit(waiting, since)
    found = [Pressing(each, *since[each.work.id]) for each in waiting if each.work.id in since]
    return tuple(sorted(found, key=lambda one: (one.rank, one.waiting.asked))[:MOST_PRESSING])


def _inherit(waiting: Sequence[Waiting], since: dict[str, tuple[int, tuple[int, int]]]) -> None:
    """What a pressing work waits for takes over its time and rank; a chain ends, as there are no cycles."""
    todo = [each for each in waiting if each.work.id in since]
    while todo:
        later = todo.pop()
        time, rank = since[later.work.id]
        for each in waiting:
            own = since.get(each.work.id)
            if _waits_for(later, each) and (own is None or (time, rank) < own):
                since[each.work.id] = time, rank
                todo.append(each)


def _waits_for(later: Waiting, each: Waiting) -> bool:
    if each.work.machine == later.work.machine:
        return each.asked < later.asked
    return each.work.machine in later.work.after


def held_up(
    scene: Scene, work: Work, first: Iterable[Pressing], rules: tuple[Rule, ...] = RULES
) -> Stop | None:
    """Whom this work would hold up if it began now; None for nobody."""
    for one in first:
        if one.waiting.work.id == work.id:
            return None  # those after it are lower in rank
        lost = {name: each for name, each in scene.taken.items() if each.off is Off.LOST}
        if judge(replace(scene, taken=lost), one.waiting.work, rules) is not None:
            continue  # for a reason of its own
        since = {name: each for name, each in scene.taken.items() if each.begun_ms >= one.since_ms}
        machine = scene.fleet.get(work.machine)
        mine = Taken(work, Off.AWAY, groups(machine) if machine else ())
        then = replace(scene, taken={**lost, **since, work.machine: mine})
        if judge(then, one.waiting.work, rules) is not None:
            return Stop(AGEING, (one.waiting.work.machine,), f"would hold up {one.waiting.work.id}")
    return None
