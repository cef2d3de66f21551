"""What a cell or zone has left beside what is away, and what it is short of: the sums of `floor` and
`room`."""

from dataclasses import dataclass

from molereach.upkeep.rules.fleet_facts import Sum, groups
from molereach.upkeep.rules.scene import Scene

Group = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Left:
    """Of one cell or zone: servers that are ready, their capacity, and who is away that would be ready."""

    ready: int
    capacity: int
    demand: int
    away: tuple[str, ...]


def left(scene: Scene, group: Group, besides: str = "") -> Left:
    """With `besides`, as if that server were away too; it is not among those named."""
    total = scene.fleet.sums.get(group, Sum())
    names = {name for name in scene.taken if scene.bears_nothing(name)} | {besides}
    away = [
        other
        for name in names
        if (other := scene.fleet.servers.get(name)) is not None and other.ready and group in groups(other)
    ]
    return Left(
        total.ready - len(away),
        total.capacity - sum(other.warmth for other in away),
        total.demand,
        tuple(sorted(other.name for other in away if other.name != besides)),
    )


def least(scene: Scene, group: Group) -> int:
    return scene.settings.least_ready_cell if group[0] == "cell" else scene.settings.least_ready_zone


def short(scene: Scene) -> tuple[Group, ...]:
    """The cells and zones that have too little now, with all that is away: after a loss nobody planned."""
    found = []
    for group in sorted(scene.fleet.sums):
        now = left(scene, group)
        if now.ready < least(scene, group) or now.demand > now.capacity * scene.settings.target:
            found.append(group)
    return tuple(found)
