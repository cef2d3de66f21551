"""Rule: the number of machines in maintenance at once is limited in total, by cell and by zone.

An item occupies one slot, even if its machine has returned under a second name or is not listed meanwhile.
"""

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.fleet_facts import groups_of
from molereach.upkeep.rules.scene import Blocker, Scene


def check_concurrency(scene: Scene, work: WorkItem) -> Blocker | None:
    """Blocks an item while a limit is reached."""
    settings, slots = scene.settings, scene.occupied_slots()
    if len(slots) >= settings.most_out:
        return Blocker("limits", tuple(sorted(slots)), f"{settings.most_out} at once")
    machine = scene.fleet.get(work.machine)
    if machine is None:
        return Blocker("limits", (work.machine,), "it is not listed any more")
    for group, limit in zip(
        groups_of(machine), (settings.most_out_cell, settings.most_out_zone), strict=True
    ):
        occupying = [name for name, each in slots.items() if group in each.groups]
        if len(occupying) >= limit:
            return Blocker("limits", tuple(sorted(occupying)), f"{limit} at once in {group[0]} {group[1]}")
    return None
