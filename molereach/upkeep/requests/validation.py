"""Validates a work item against the known machines and the other items; reports the first fault."""

from collections.abc import Collection, Mapping

from molereach.upkeep.requests.cycles import find_cycle
from molereach.upkeep.requests.work_item import InvalidField, MachineKind, WorkItem, check_fields

MAX_OPEN_ITEMS = 256  # not finished, over all machines
MAX_OPEN_ITEMS_PER_MACHINE = 4


def check_request(
    work: WorkItem,
    open_items: Collection[WorkItem],
    known_items: Mapping[str, WorkItem],
    machines: Mapping[str, MachineKind],
    at_ms: int,
) -> InvalidField | None:
    """Returns the first invalid field, or None for a valid request.

    `known_items` holds all remembered items by id, finished ones included. A repeated request is valid.
    """
    if invalid := check_fields(work):
        return invalid
    if work.id in known_items:
        return None if known_items[work.id] == work else InvalidField("id", "is used for something else")
    if work.machine not in machines:
        return InvalidField("machine", f"{work.machine} is not known")
    if machines[work.machine] is not work.kind:
        return InvalidField("kind", f"{work.machine} is a {machines[work.machine].value}")
    for field, names in (("after", work.after), ("not_with", work.not_with)):
        if unknown := sorted(name for name in names if name not in machines):
            return InvalidField(field, f"{unknown[0]} is not known")
    if work.successor in machines:
        return InvalidField("successor", f"{work.successor} is another machine")
    if work.latest_start_ms < at_ms:
        return InvalidField("not_after_ms", "the window has passed")
    if cycle := find_cycle(work, open_items):
        return InvalidField("after", "a cycle: " + " after ".join((work.machine, *cycle)))
    return _check_limits(work, open_items)


def _check_limits(work: WorkItem, open_items: Collection[WorkItem]) -> InvalidField | None:
    if len(open_items) >= MAX_OPEN_ITEMS:
        return InvalidField("id", f"more than {MAX_OPEN_ITEMS} works are open")
    if sum(each.machine == work.machine for each in open_items) >= MAX_OPEN_ITEMS_PER_MACHINE:
        return InvalidField(
            "machine", f"more than {MAX_OPEN_ITEMS_PER_MACHINE} works of {work.machine} are open"
        )
    return None
