"""What remains in a cell or zone without the servers in maintenance; the sums behind the rules
`minimum_servers` and `capacity`."""

from dataclasses import dataclass

from molereach.upkeep.rules.fleet_facts import GroupTotals, groups_of
from molereach.upkeep.rules.scene import Scene

Group = tuple[str, str]


@dataclass(frozen=True, slots=True)
class RemainingCapacity:
    """What remains in one cell or zone. `away` names the servers that would be ready but for their
    maintenance."""

    ready: int
    capacity: int
    demand: int
    away: tuple[str, ...]


def remaining_capacity(scene: Scene, group: Group, also_away: str = "") -> RemainingCapacity:
    """What remains in a group; with `also_away`, as if that server were unavailable too. It is not in
    `away`."""
    total = scene.fleet.group_totals.get(group, GroupTotals())
    names = {name for name in scene.in_maintenance if scene.bears_no_load(name)} | {also_away}
    away = [
        server
        for name in names
        if (server := scene.fleet.servers.get(name)) is not None
        and server.ready
        and group in groups_of(server)
    ]
    return RemainingCapacity(
        total.ready - len(away),
        total.capacity - sum(server.warmth for server in away),
        total.demand,
        tuple(sorted(server.name for server in away if server.name != also_away)),
    )


def required_servers(scene: Scene, group: Group) -> int:
    """The number of ready servers that a group must keep."""
    return scene.settings.least_ready_cell if group[0] == "cell" else scene.settings.least_ready_zone


def short_groups(scene: Scene) -> tuple[Group, ...]:
    """The cells and zones that have too few servers or too little capacity now, after unplanned losses."""
    found = []
    for group in sorted(scene.fleet.group_totals):
        remaining = remaining_capacity(scene, group)
        if (
            remaining.ready < required_servers(scene, group)
            or remaining.demand > remaining.capacity * scene.settings.target
        ):
            found.append(group)
    return tuple(found)
