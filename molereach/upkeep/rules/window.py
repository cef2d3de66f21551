"""Rule: a machine is unavailable only within the window of its work item."""

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.scene import Blocker, Scene


def check_window(scene: Scene, work: WorkItem) -> Blocker | None:
    """Blocks an item whose window has not begun, or can't be kept any more."""
    if scene.at_ms < work.not_before_ms:
        return Blocker("window", (), f"begins at {work.not_before_ms}")
    if scene.at_ms > work.latest_start_ms:
        return Blocker("window", (), f"could not be back by {work.not_after_ms}")
    return None
