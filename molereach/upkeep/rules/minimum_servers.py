"""Rule: each cell and zone keeps a number of servers that are ready and not in maintenance.

Draining servers count as unavailable: the rules are not evaluated again between draining and shutdown.
"""

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.fleet_facts import groups_of
from molereach.upkeep.rules.remaining_capacity import remaining_capacity, required_servers
from molereach.upkeep.rules.scene import Blocker, Scene


def check_minimum_servers(scene: Scene, work: WorkItem) -> Blocker | None:
    """Blocks a server whose cell or zone would keep too few ready servers."""
    server = scene.fleet.servers.get(work.machine)
    if server is None or not server.ready:
        return None
    for group in groups_of(server):
        remaining, required = remaining_capacity(scene, group, server.name), required_servers(scene, group)
        if remaining.ready < required:
            return Blocker(
                "floor", remaining.away, f"{remaining.ready} of {required} servers in {group[0]} {group[1]}"
            )
    return None
