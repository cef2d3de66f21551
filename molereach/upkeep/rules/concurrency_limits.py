"""At most so many machines on their way at once: in all, of one cell, of one zone. One work takes one place,
also where its machine has come back under a second name, or is not listed while it is out."""

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.fleet_facts import groups
from molereach.upkeep.rules.scene import Scene, Stop


def limits(scene: Scene, work: Work) -> Stop | None:
    settings, places = scene.settings, scene.places()
    if len(places) >= settings.most_out:
        return Stop("limits", tuple(sorted(places)), f"{settings.most_out} at once")
    machine = scene.fleet.get(work.machine)
    if machine is None:
        return Stop("limits", (work.machine,), "it is not listed any more")
    for group, most in zip(groups(machine), (settings.most_out_cell, settings.most_out_zone), strict=True):
        beside = [name for name, each in places.items() if group in each.groups]
        if len(beside) >= most:
            return Stop("limits", tuple(sorted(beside)), f"{most} at once in {group[0]} {group[1]}")
    return None
