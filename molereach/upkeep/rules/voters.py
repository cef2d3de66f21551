"""The council's panel keeps a majority beside one more loss, and a seat is moved before its machine drains.

A seat stays only where no front door could take it; those that drain count as lost. Source: Ongaro,
"Consensus: Bridging Theory and Practice" (2014), section 4: members that leave are replaced first.
"""

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.scene import Scene, Stop

SEAT = "seat"  # the rule that asks for a seat to be moved


def panel(scene: Scene, work: Work) -> Stop | None:
    fleet = scene.fleet
    if work.machine not in fleet.panel:
        return None
    if fleet.facts.spares:
        return Stop(SEAT, (work.machine,), "its seat of the panel is moved first")
    gone = sorted(name for name in fleet.panel if name != work.machine and _gone(scene, name))
    left = len(fleet.panel) - 1 - len(gone)
    if left - 1 < len(fleet.panel) // 2 + 1:
        return Stop("panel", tuple(gone), f"{left} seats of {len(fleet.panel)} bear no further loss")
    return None


def _gone(scene: Scene, name: str) -> bool:
    door = scene.fleet.doors.get(name)
    return door is None or not door.ready or scene.bears_nothing(name)
