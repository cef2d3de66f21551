"""An order of discovery or of the tool goes before: a machine that is under one is left alone."""

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.scene import Scene, Stop


def orders(scene: Scene, work: Work) -> Stop | None:
    if work.machine in scene.fleet.ordered:
        return Stop("orders", (work.machine,), "an order stands")
    if work.machine not in scene.fleet.kinds:
        return Stop("orders", (work.machine,), "it is not listed any more")
    return None
