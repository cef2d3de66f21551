"""Prevents starvation: no work item waits forever behind later ones.

An item becomes urgent once later ones have started before it too often, or its window is about to close. From
then on an item that would delay it may not start: one with which, together with everything that has started
since, the urgent item would be blocked. Maintenance that had started before ends by itself. An item that is
blocked for another reason, such as a season, delays nobody. The items that an urgent one waits for inherit
its urgency, as in priority inheritance (Sha, Rajkumar and Lehoczky, "Priority Inheritance Protocols", IEEE
Transactions on Computers 39, 1990).
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.evaluation import RULES, find_blocker
from molereach.upkeep.rules.fleet_facts import groups_of
from molereach.upkeep.rules.scene import Absence, Blocker, MachineInMaintenance, Rule, Scene
from molereach.upkeep.rules.settings import UpkeepSettings

MAX_URGENT_ITEMS = 8  # considered at once; the others follow when these have started
AGEING_RULE = "ageing"


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """A work item that has not started."""

    work: WorkItem
    requested_position: int  # log position of its request
    passed_since_ms: int = 0  # since when it has been overtaken too often; 0 if it has not


@dataclass(frozen=True, slots=True)
class UrgentItem:
    """A work item that may not be overtaken, since when, and its rank; a lower rank goes first."""

    waiting: WaitingItem
    since_ms: int
    rank: tuple[int, int]


def urgent_from_ms(item: WaitingItem, settings: UpkeepSettings) -> int:
    """The time at which an item becomes urgent."""
    closing_ms = item.work.latest_start_ms - settings.closing_ms
    return min(closing_ms, item.passed_since_ms) if item.passed_since_ms else closing_ms


def urgent_items(
    waiting: Sequence[WaitingItem], at_ms: int, settings: UpkeepSettings
) -> tuple[UrgentItem, ...]:
    """The first urgent items by rank, `MAX_URGENT_ITEMS` at most."""
    since: dict[str, tuple[int, tuple[int, int]]] = {}
    for each in waiting:
        since_ms = urgent_from_ms(each, settings)
        if since_ms <= at_ms:
            since[each.work.id] = since_ms, (each.work.latest_start_ms, each.requested_position)
    if not since:
        return ()
    _inherit_urgency(waiting, since)
    items = [UrgentItem(each, *since[each.work.id]) for each in waiting if each.work.id in since]
    return tuple(
        sorted(items, key=lambda urgent: (urgent.rank, urgent.waiting.requested_position))[:MAX_URGENT_ITEMS]
    )


def _inherit_urgency(waiting: Sequence[WaitingItem], since: dict[str, tuple[int, tuple[int, int]]]) -> None:
    """Passes time and rank on to the items that an urgent one waits for. Ends because the items have no
    cycles."""
    pending = [each for each in waiting if each.work.id in since]
    while pending:
        item = pending.pop()
        time, rank = since[item.work.id]
        for each in waiting:
            current = since.get(each.work.id)
            if _waits_for(item, each) and (current is None or (time, rank) < current):
                since[each.work.id] = time, rank
                pending.append(each)


def _waits_for(item: WaitingItem, other: WaitingItem) -> bool:
    if other.work.machine == item.work.machine:
        return other.requested_position < item.requested_position
    return other.work.machine in item.work.after


def find_delayed_item(
    scene: Scene, work: WorkItem, candidates: Iterable[UrgentItem], rules: tuple[Rule, ...] = RULES
) -> Blocker | None:
    """Which urgent item would be delayed if this item started now; None if none would be."""
    for urgent in candidates:
        if urgent.waiting.work.id == work.id:
            return None  # the remaining ones rank lower
        lost = {name: each for name, each in scene.in_maintenance.items() if each.absence is Absence.LOST}
        if find_blocker(replace(scene, in_maintenance=lost), urgent.waiting.work, rules) is not None:
            continue  # it is blocked anyway
        since = {
            name: each for name, each in scene.in_maintenance.items() if each.begun_ms >= urgent.since_ms
        }
        machine = scene.fleet.get(work.machine)
        maintained = MachineInMaintenance(work, Absence.AWAY, groups_of(machine) if machine else ())
        simulated = replace(scene, in_maintenance={**lost, **since, work.machine: maintained})
        if find_blocker(simulated, urgent.waiting.work, rules) is not None:
            return Blocker(
                AGEING_RULE, (urgent.waiting.work.machine,), f"would hold up {urgent.waiting.work.id}"
            )
    return None
