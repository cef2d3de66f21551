"""Each cell and zone keeps room for the load that is measured there.

With W the warmth and L the load of a server: what all that are ready bear, the sum of W x L, is to be at most
`target` of the capacity that is left, the sum of W over those that are ready and not away. A server that has
just come back counts by its measured warmth, so the next waits until it is warm enough.
"""

from molereach.upkeep.requests.work import Kind, Work
from molereach.upkeep.rules.facts import WHOLE, groups
from molereach.upkeep.rules.scene import Scene, Stop


def room(scene: Scene, work: Work) -> Stop | None:
    server = scene.fleet.servers.get(work.machine)
    if work.kind is not Kind.SERVER or server is None:
        return None
    for group in groups(server):
        total = scene.fleet.sums[group]
        away = [other for name in scene.taken if scene.bears_nothing(name) and name != server.name
                and (other := scene.fleet.servers.get(name)) and other.ready and group in groups(other)]
        left = total.capacity - sum(other.warmth for other in away) - server.warmth * server.ready
        if total.demand > left * scene.settings.target:
            names = tuple(sorted(other.name for other in away))
            load = total.demand // WHOLE
            return Stop("room", names, f"load {load} on capacity {left} in {group[0]} {group[1]}")
    return None
