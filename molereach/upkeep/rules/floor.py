"""Each cell and zone keeps so many servers that are ready and not on their way.

Those that drain count as gone: they will be, and nobody looks again between the two.
"""

from molereach.upkeep.requests.work import Kind, Work
from molereach.upkeep.rules.facts import groups
from molereach.upkeep.rules.scene import Scene, Stop


def floor(scene: Scene, work: Work) -> Stop | None:
    server = scene.fleet.servers.get(work.machine)
    if work.kind is not Kind.SERVER or server is None:
        return None
    leasts = scene.settings.least_ready_cell, scene.settings.least_ready_zone
    for group, least in zip(groups(server), leasts, strict=True):
        away = [name for name in scene.taken if scene.bears_nothing(name) and name != server.name
                and (other := scene.fleet.servers.get(name)) and other.ready and group in groups(other)]
        left = scene.fleet.sums[group].ready - len(away) - server.ready
        if left < least:
            return Stop("floor", tuple(sorted(away)), f"{left} servers of {least} in {group[0]} {group[1]}")
    return None
