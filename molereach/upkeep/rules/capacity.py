"""Rule: each cell and zone keeps enough capacity for its measured load.

With W the warmth and L the load of a server: the total demand, the sum of W x L over all ready servers, may
be at most `target` of the remaining capacity, the sum of W over those that are ready and not in maintenance.
A server that has just returned counts with its measured warmth, so the next one waits until it is warm
enough.
"""

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.fleet_facts import PERMILLE, groups_of
from molereach.upkeep.rules.remaining_capacity import remaining_capacity
from molereach.upkeep.rules.scene import Blocker, Scene


def check_capacity(scene: Scene, work: WorkItem) -> Blocker | None:
    """Blocks a server whose cell or zone would have too little capacity without it."""
    server = scene.fleet.servers.get(work.machine)
    if server is None or not server.ready:
        return None
    for group in groups_of(server):
        remaining = remaining_capacity(scene, group, server.name)
        if remaining.demand > remaining.capacity * scene.settings.target:
            load = remaining.demand // PERMILLE
            reason = f"load {load} on capacity {remaining.capacity} in {group[0]} {group[1]}"
            return Blocker("room", remaining.away, reason)
    return None
