"""A machine is away within its work's window."""

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.scene import Scene, Stop


def window(scene: Scene, work: Work) -> Stop | None:
    if scene.at_ms < work.not_before_ms:
        return Stop("window", (), f"begins at {work.not_before_ms}")
    if scene.at_ms > work.latest_ms:
        return Stop("window", (), f"could not be back by {work.not_after_ms}")
    return None
