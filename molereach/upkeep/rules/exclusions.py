"""Rule: a machine has one maintenance at a time, and none beside a machine that its own or the other's item
excludes."""

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.scene import Absence, Blocker, Scene


def check_exclusions(scene: Scene, work: WorkItem) -> Blocker | None:
    """Blocks an item whose machine is in maintenance already, or is excluded by one that is."""
    current = scene.in_maintenance.get(work.machine)
    if current is not None:
        return Blocker("apart", (work.machine,), f"it is taken for {current.work.id}")
    conflicting = {
        each.work.machine
        for each in scene.in_maintenance.values()
        if each.absence is not Absence.LOST
        and (
            each.work.machine in work.not_with
            or work.machine in each.work.not_with
            or each.work.machine == work.machine
        )
    }
    return Blocker("apart", tuple(sorted(conflicting)), "may not be out with it") if conflicting else None
