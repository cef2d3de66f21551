"""Which step of a work item is possible at a time, by the guards of the state machine: what a leader
proposes.

The start of an item is not among them, because it follows the plan.
"""

from molereach.upkeep.permits.guards import GUARDS
from molereach.upkeep.permits.lifecycle import DRAINING_STATES, State, Step
from molereach.upkeep.permits.record import ItemRecord
from molereach.upkeep.permits.registry import WorkRegistry
from molereach.upkeep.requests.work_item import MachineKind
from molereach.upkeep.rules.capacity import check_capacity
from molereach.upkeep.rules.evaluation import find_blocker
from molereach.upkeep.rules.fleet_facts import ServerFacts
from molereach.upkeep.rules.minimum_servers import check_minimum_servers
from molereach.upkeep.rules.open_orders import check_orders
from molereach.upkeep.rules.proxy_sets import check_proxy_sets
from molereach.upkeep.rules.remaining_capacity import short_groups
from molereach.upkeep.rules.scene import Scene
from molereach.upkeep.rules.seasons import check_seasons
from molereach.upkeep.rules.voters import check_voters
from molereach.upkeep.rules.window import check_window

TIMED_STEPS: dict[State, tuple[Step, ...]] = {  # the first possible one is proposed
    State.REQUESTED: (Step.EXPIRE, Step.QUEUE),
    State.QUEUED: (Step.EXPIRE,),
    State.PERMITTED: (Step.MARK_OVERDUE,),
    State.RETURNED: (Step.RESUME_TRAFFIC, Step.MARK_OVERDUE),
    State.WARMING: (Step.COMPLETE,),
    State.OVERDUE: (Step.MARK_LOST,),
}
# A draining machine that one of these rules blocks is recalled.
RECALL_RULES = (
    check_window,
    check_seasons,
    check_orders,
    check_minimum_servers,
    check_capacity,
    check_proxy_sets,
    check_voters,
)


def next_step(registry: WorkRegistry, record: ItemRecord, at_ms: int) -> Step | None:
    """The next step that is possible for an item; None if there is none."""
    for step in TIMED_STEPS.get(record.state, ()):
        if not GUARDS[step](registry, record, at_ms):
            return step
    return None


def items_to_recall(registry: WorkRegistry, at_ms: int) -> tuple[ItemRecord, ...]:
    """The draining machines that are needed after all, the last started first; none while facts are stale."""
    if registry.stale_facts_blocker(at_ms):
        return ()
    scene, recalled = registry.scene(at_ms), []
    draining = [each for each in registry.records.values() if each.state in DRAINING_STATES]
    for each in sorted(draining, key=lambda one: -one.begun):
        without = scene.without(each.work)
        if find_blocker(without, each.work, RECALL_RULES):
            recalled.append(each)
            scene = without
    return tuple(recalled)


def items_to_expedite(registry: WorkRegistry, at_ms: int) -> tuple[ItemRecord, ...]:
    """The machines with a permit that are needed because of a shortage, and whose return is not urgent
    yet."""
    if registry.stale_facts_blocker(at_ms):
        return ()
    scene = registry.scene(at_ms)
    short = set(short_groups(scene))
    candidates = [
        each
        for each in registry.records.values()
        if each.state in (State.PERMITTED, State.OVERDUE) and not each.hurried
    ]
    return tuple(each for each in candidates if _affected_by_shortage(scene, each, short))


def _affected_by_shortage(scene: Scene, record: ItemRecord, short: set[tuple[str, str]]) -> bool:
    if record.work.kind is MachineKind.SERVER:
        return bool({("cell", record.cell), ("zone", record.zone)} & short)
    return find_blocker(scene.without(record.work), record.work, (check_proxy_sets, check_voters)) is not None


def returned_name(registry: WorkRegistry, record: ItemRecord, at_ms: int) -> str | None:
    """The name under which a machine is ready again; None if it has not returned.

    It counts as returned only if it was observed as not ready since its permit, or its permit has ended, as
    its absence may have been missed. Before that it may not have been shut down yet.
    """
    permit_ended = record.state is not State.PERMITTED and registry.fleet.facts.at_ms >= record.since_ms
    if registry.stale_facts_blocker(at_ms) or not (record.gone or permit_ended):
        return None
    # After a return without warming up, it must be warm to count as returned, or it would keep its slot.
    min_warmth = registry.settings.warm if record.name else 0
    for name in registry.return_names(record):
        machine = registry.fleet.get(name)
        too_cold = isinstance(machine, ServerFacts) and machine.warmth < min_warmth
        if machine is not None and machine.ready and not too_cold:
            return name
    return None
