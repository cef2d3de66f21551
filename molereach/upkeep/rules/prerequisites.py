"""Rule: the machines that a work item names in `after` have no open items."""

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.scene import Absence, Blocker, Scene


def check_prerequisites(scene: Scene, work: WorkItem) -> Blocker | None:
    """Blocks an item until the items of all machines in `after` have ended or are lost."""
    unfinished = [name for name in work.after if name in scene.waiting or _in_maintenance(scene, name)]
    return Blocker("first", tuple(sorted(unfinished)), "must come first") if unfinished else None


def _in_maintenance(scene: Scene, name: str) -> bool:
    return any(
        each.work.machine == name and each.absence is not Absence.LOST
        for each in scene.in_maintenance.values()
    )
