"""Each cell and zone keeps so many servers that are ready and not on their way.

Those that drain count as gone: they will be, and nobody looks again between the two.
"""

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.fleet_facts import groups
from molereach.upkeep.rules.remaining_capacity import least, left
from molereach.upkeep.rules.scene import Scene, Stop


def floor(scene: Scene, work: Work) -> Stop | None:
    server = scene.fleet.servers.get(work.machine)
    if server is None or not server.ready:
        return None
    for group in groups(server):
        then, most = left(scene, group, server.name), least(scene, group)
        if then.ready < most:
            return Stop("floor", then.away, f"{then.ready} of {most} servers in {group[0]} {group[1]}")
    return None
