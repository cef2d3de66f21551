"""Rule: a machine under an order of discovery or of the operator's tool gets no maintenance, as the order
takes precedence."""

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.scene import Blocker, Scene


def check_orders(scene: Scene, work: WorkItem) -> Blocker | None:
    """Blocks an item whose machine has an order, or is no longer listed."""
    if work.machine in scene.fleet.ordered:
        return Blocker("orders", (work.machine,), "an order stands")
    if work.machine not in scene.fleet.kinds:
        return Blocker("orders", (work.machine,), "it is not listed any more")
    return None
