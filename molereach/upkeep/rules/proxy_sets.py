"""Every customer's set keeps so many front doors.

A set is a run of `spread` front doors by number from any first one, around the end: a customer may come at
any moment, so each run counts whether or not one is known that has it.
"""

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.scene import Scene, Stop


def sets(scene: Scene, work: Work) -> Stop | None:
    if work.machine not in scene.fleet.doors:
        return None
    ring = scene.fleet.ring
    size = min(scene.settings.spread, len(ring))
    place = next(number for number, door in enumerate(ring) if door.name == work.machine)
    for first in range(place - size + 1, place + 1):
        run = [ring[(first + number) % len(ring)] for number in range(size)]
        gone = [
            door.name
            for door in run
            if door.name != work.machine and (not door.ready or scene.bears_nothing(door.name))
        ]
        left = size - 1 - len(gone)
        if left < scene.settings.least_in_set:
            number = ring[first % len(ring)].number
            return Stop("sets", tuple(sorted(gone)), f"the set from front door {number} would keep {left}")
    return None
