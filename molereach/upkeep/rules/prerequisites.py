"""Machines that must come first have no open work any more."""

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.scene import Off, Scene, Stop


def first(scene: Scene, work: Work) -> Stop | None:
    before = [name for name in work.after if name in scene.waiting or _on_its_way(scene, name)]
    return Stop("first", tuple(sorted(before)), "must come first") if before else None


def _on_its_way(scene: Scene, name: str) -> bool:
    return any(each.work.machine == name and each.off is not Off.LOST for each in scene.taken.values())
