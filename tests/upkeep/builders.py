"""Short builders for fleets, work items and scenes."""

from collections.abc import Iterable, Mapping
from typing import Any

from molereach.upkeep.requests.work_item import MINUTE_MS, MachineKind, WorkItem
from molereach.upkeep.rules.fleet_facts import Fleet, FleetFacts, ProxyFacts, ServerFacts, groups_of
from molereach.upkeep.rules.scene import Absence, MachineInMaintenance, Scene
from molereach.upkeep.rules.settings import UpkeepSettings

NOON_MS = 1_796_731_200_000  # 2026-12-08 12:00 UTC
DAY_MS = 24 * 60 * MINUTE_MS
PERMISSIVE = UpkeepSettings(
    most_out=99,
    most_out_cell=99,
    most_out_zone=99,
    least_ready_cell=0,
    least_ready_zone=0,
    target=1000,
    least_in_set=0,
)


def server(
    name: str, cell: str = "c1", zone: str = "z1", ready: bool = True, warmth: int = 1000, load: int = 300
) -> ServerFacts:
    return ServerFacts(name, f"10.0.0.{name[1:]}:80", cell, zone, ready, warmth, load)


def servers(count: int, **fields: Any) -> tuple[ServerFacts, ...]:  # noqa: ANN401
    return tuple(server(f"s{number}", **fields) for number in range(count))


def proxy(number: int, ready: bool = True) -> ProxyFacts:
    return ProxyFacts(f"d{number}", f"10.1.0.{number}:80", "c1", f"z{number % 3}", ready, number)


def proxies(count: int, not_ready: Iterable[int] = ()) -> tuple[ProxyFacts, ...]:
    return tuple(proxy(number, number not in set(not_ready)) for number in range(count))


def work_item(id: str, machine: str = "s0", **fields: Any) -> WorkItem:  # noqa: ANN401
    defaults: dict[str, Any] = {
        "kind": MachineKind.DOOR if machine.startswith("d") else MachineKind.SERVER,
        "minutes": 30,
        "not_before_ms": 0,
        "not_after_ms": NOON_MS + 2 * DAY_MS,
        "reason": "new disk",
        **fields,
    }
    return WorkItem(id, machine, **defaults)


def scene(
    facts: FleetFacts,
    settings: UpkeepSettings = PERMISSIVE,
    absences: Mapping[str, Absence] | None = None,
    **fields: Any,  # noqa: ANN401
) -> Scene:
    fleet = Fleet(facts)
    in_maintenance = {
        name: MachineInMaintenance(
            work_item(f"of-{name}", name), absence, groups_of(machine) if (machine := fleet.get(name)) else ()
        )
        for name, absence in (absences or {}).items()
    }
    return Scene(fleet, settings, **{"at_ms": NOON_MS, "in_maintenance": in_maintenance, **fields})
