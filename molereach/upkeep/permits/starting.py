"""Which work items the plan starts now, what blocks each, and which fallback servers are needed first."""

from collections.abc import Iterator

from molereach.upkeep.permits.lifecycle import UNROUTABLE_STATES, State
from molereach.upkeep.permits.record import ItemRecord
from molereach.upkeep.permits.registry import WorkRegistry
from molereach.upkeep.rules.scene import Blocker
from molereach.upkeep.scheduling.fallback_selection import select_fallback_servers
from molereach.upkeep.scheduling.plan import Plan


def due_items(registry: WorkRegistry, plan: Plan, at_ms: int) -> Iterator[tuple[ItemRecord, Blocker | None]]:
    """The items whose planned start has come. The rules are evaluated again, as the plan may be out of
    date."""
    scene, urgent = registry.scene(at_ms), registry.urgent_items(at_ms)
    for planned in plan.planned:
        record = registry.records.get(planned.work.id)
        if planned.starts_ms <= at_ms and record is not None and record.state is State.QUEUED:
            yield record, registry.start_blocker(record, at_ms, urgent, scene)


def missing_fallback_servers(registry: WorkRegistry) -> tuple[str, ...] | None:
    """The new fallback servers, if one is no longer listed or a cell has too few; None for no change."""
    if not registry.fleet.servers:
        return None
    wanted, listed = _select(registry, ""), registry.fallback_servers & registry.fleet.servers.keys()
    return None if listed == registry.fallback_servers and len(listed) >= len(wanted) else wanted


def fallback_servers_without(registry: WorkRegistry, machine: str) -> tuple[str, ...]:
    """The new fallback servers without this machine; empty if no other can replace it."""
    wanted = _select(registry, machine)
    return wanted if machine not in wanted else ()


def _select(registry: WorkRegistry, avoided: str) -> tuple[str, ...]:
    records = registry.records.values()
    with_open_items = {each.work.machine for each in records}
    unroutable = {name for each in records if each.state in UNROUTABLE_STATES for name in each.names}
    return select_fallback_servers(
        registry.fleet,
        registry.settings.standing,
        registry.fallback_servers,
        with_open_items,
        unroutable,
        avoided,
    )
