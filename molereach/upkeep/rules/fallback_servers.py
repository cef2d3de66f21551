"""A server that stands for front doors without a session is not taken out: another takes its place first."""

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.scene import Scene, Stop

STANDING = "standing"


def standing(scene: Scene, work: Work) -> Stop | None:
    if work.machine in scene.standing:
        return Stop(STANDING, (work.machine,), "another takes its place first")
    return None
