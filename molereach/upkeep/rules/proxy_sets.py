"""Rule: the front door set of every customer keeps a number of available front doors.

A set is a run of `spread` front doors by number, starting anywhere and wrapping around. Every run counts,
even if no known customer has it, because a customer may appear at any time.
"""

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.scene import Blocker, Scene


def check_proxy_sets(scene: Scene, work: WorkItem) -> Blocker | None:
    """Blocks a front door if some set would keep too few others."""
    if work.machine not in scene.fleet.proxies:
        return None
    ring = scene.fleet.ring
    size = min(scene.settings.spread, len(ring))
    index = next(number for number, proxy in enumerate(ring) if proxy.name == work.machine)
    for first in range(index - size + 1, index + 1):
        members = [ring[(first + number) % len(ring)] for number in range(size)]
        unavailable = [
            proxy.name
            for proxy in members
            if proxy.name != work.machine and (not proxy.ready or scene.bears_no_load(proxy.name))
        ]
        remaining = size - 1 - len(unavailable)
        if remaining < scene.settings.least_in_set:
            number = ring[first % len(ring)].number
            return Blocker(
                "sets", tuple(sorted(unavailable)), f"the set from front door {number} would keep {remaining}"
            )
    return None
