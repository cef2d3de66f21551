"""One work on a machine at a time, and none beside a machine that may not be out with it, whichever said
so."""

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.scene import Off, Scene, Stop


def apart(scene: Scene, work: Work) -> Stop | None:
    taken = scene.taken.get(work.machine)
    if taken is not None:
        return Stop("apart", (work.machine,), f"it is taken for {taken.work.id}")
    beside = {
        each.work.machine
        for each in scene.taken.values()
        if each.off is not Off.LOST
        and (
            each.work.machine in work.not_with
            or work.machine in each.work.not_with
            or each.work.machine == work.machine
        )
    }
    return Stop("apart", tuple(sorted(beside)), "may not be out with it") if beside else None
