"""The conditions of each step beside the transition table: each guard returns what is missing in one line, or
an empty string.

All times are those of the entries.
"""

from collections.abc import Callable

from molereach.upkeep.permits.lifecycle import State, Step
from molereach.upkeep.permits.record import ItemRecord
from molereach.upkeep.permits.registry import WorkRegistry
from molereach.upkeep.rules.fleet_facts import ServerFacts

MAX_WARMING_PERIODS = 6  # of `warming_ms`, after which maintenance is complete even if the server is not warm
Guard = Callable[[WorkRegistry, ItemRecord, int], str]


def check_queue(registry: WorkRegistry, record: ItemRecord, at_ms: int) -> str:
    """Requires that the item's window has begun, and that no earlier item of its machine is open."""
    if at_ms < record.work.not_before_ms:
        return f"its window begins at {record.work.not_before_ms}"
    return "an earlier work of its machine goes first" if registry.has_earlier_item(record) else ""


def check_drain(registry: WorkRegistry, record: ItemRecord, at_ms: int) -> str:
    """Requires that nothing blocks the start of the item."""
    return str(registry.start_blocker(record, at_ms) or "")


def check_permit(registry: WorkRegistry, record: ItemRecord, at_ms: int) -> str:
    """Requires that the machine may be unavailable now."""
    return str(registry.permit_blocker(record, at_ms) or "")


def check_expire(registry: WorkRegistry, record: ItemRecord, at_ms: int) -> str:
    """Requires that the item can no longer end within its window."""
    return "" if at_ms > record.work.latest_start_ms else "its window is open"


def check_overdue(registry: WorkRegistry, record: ItemRecord, at_ms: int) -> str:
    """Requires that the machine has not returned, or not warmed up, in time."""
    settings = registry.settings
    due_ms = record.until_ms if record.state is State.PERMITTED else record.since_ms + settings.warming_ms
    return "" if at_ms > due_ms + settings.slack_ms else "it is in time"


def check_lost(registry: WorkRegistry, record: ItemRecord, at_ms: int) -> str:
    """Requires that the machine has been overdue for `lost_ms`."""
    return "" if at_ms > record.since_ms + registry.settings.lost_ms else "it may yet come"


def check_resume_traffic(registry: WorkRegistry, record: ItemRecord, at_ms: int) -> str:
    """Requires that the machine is warm enough to be sent requests."""
    return _check_warmth(registry, record, at_ms, registry.settings.warm)


def check_complete(registry: WorkRegistry, record: ItemRecord, at_ms: int) -> str:
    """Requires that the machine is fully warm, or has had time enough to warm up."""
    if at_ms > record.since_ms + MAX_WARMING_PERIODS * registry.settings.warming_ms:
        return ""
    return _check_warmth(registry, record, at_ms, registry.settings.done)


def _check_warmth(registry: WorkRegistry, record: ItemRecord, at_ms: int, min_warmth: int) -> str:
    """Checks warmth by facts that are recent and were measured after the item entered its state."""
    if blocker := registry.stale_facts_blocker(at_ms):
        return str(blocker)
    if registry.fleet.facts.at_ms < record.since_ms:
        return "nothing was measured since"
    machine = registry.fleet.get(record.current_name)
    if machine is None or not machine.ready:
        return f"{record.current_name} is not ready"
    if isinstance(machine, ServerFacts) and machine.warmth < min_warmth:
        return f"{record.current_name} is {machine.warmth} warm of {min_warmth}"
    return ""


GUARDS: dict[Step, Guard] = {
    Step.QUEUE: check_queue,
    Step.DRAIN: check_drain,
    Step.GRANT_PERMIT: check_permit,
    Step.EXPIRE: check_expire,
    Step.MARK_OVERDUE: check_overdue,
    Step.MARK_LOST: check_lost,
    Step.RESUME_TRAFFIC: check_resume_traffic,
    Step.COMPLETE: check_complete,
}
