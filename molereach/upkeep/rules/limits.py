"""At most so many machines on their way at once: in all, of one cell, of one zone. One work takes one place,
also where its machine has come back under a second name."""

from molereach.upkeep.requests.work import Work
from molereach.upkeep.rules.facts import groups
from molereach.upkeep.rules.scene import Off, Scene, Stop


def limits(scene: Scene, work: Work) -> Stop | None:
    settings = scene.settings
    away = {each.work.machine for each in scene.taken.values() if each.off is not Off.LOST}
    if len(away) >= settings.most_out:
        return Stop("limits", tuple(sorted(away)), f"{settings.most_out} at once")
    machine = scene.fleet.get(work.machine)
    if machine is None:
        return Stop("limits", (work.machine,), "it is not listed any more")
    for group, most in zip(groups(machine), (settings.most_out_cell, settings.most_out_zone), strict=True):
        beside = [name for name in away if (other := scene.fleet.get(name)) and group in groups(other)]
        if len(beside) >= most:
            return Stop("limits", tuple(sorted(beside)), f"{most} at once in {group[0]} {group[1]}")
    return None
