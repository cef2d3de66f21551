"""Each cell and zone keeps room for the load that is measured there.

With W the warmth and L the load of a server: what all that are ready bear, the sum of W x L, is to be at most
`target` of the capacity that is left, the sum of W over those that are ready and not away. A server that has
just come back counts by its measured warmth, so the next waits until it is warm enough.
"""

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.fleet_facts import WHOLE, groups
from molereach.upkeep.rules.remaining_capacity import left
from molereach.upkeep.rules.scene import Scene, Stop


def room(scene: Scene, work: Work) -> Stop | None:
    server = scene.fleet.servers.get(work.machine)
    if server is None or not server.ready:
        return None
    for group in groups(server):
        then = left(scene, group, server.name)
        if then.demand > then.capacity * scene.settings.target:
            load = then.demand // WHOLE
            why = f"load {load} on capacity {then.capacity} in {group[0]} {group[1]}"
            return Stop("room", then.away, why)
    return None
