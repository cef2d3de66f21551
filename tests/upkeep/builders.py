"""Fleets, works and scenes, made in a line."""

from collections.abc import Iterable, Mapping
from typing import Any

from molereach.upkeep.requests.work_item import MINUTE_MS, Kind, Work
from molereach.upkeep.rules.fleet_facts import Door, Facts, Fleet, Server, groups
from molereach.upkeep.rules.scene import Off, Scene, Taken
from molereach.upkeep.rules.settings import UpkeepSettings

NOON_MS = 1_796_731_200_000  # 2026-12-08 12:00 UTC
DAY_MS = 24 * 60 * MINUTE_MS
LOOSE = UpkeepSettings(
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
) -> Server:
    return Server(name, f"10.0.0.{name[1:]}:80", cell, zone, ready, warmth, load)


def servers(count: int, **more: Any) -> tuple[Server, ...]:  # noqa: ANN401
    return tuple(server(f"s{number}", **more) for number in range(count))


def door(number: int, ready: bool = True) -> Door:
    return Door(f"d{number}", f"10.1.0.{number}:80", "c1", f"z{number % 3}", ready, number)


def doors(count: int, down: Iterable[int] = ()) -> tuple[Door, ...]:
    return tuple(door(number, number not in set(down)) for number in range(count))


def work(id: str, machine: str = "s0", **more: Any) -> Work:  # noqa: ANN401
    given: dict[str, Any] = {
        "kind": Kind.DOOR if machine.startswith("d") else Kind.SERVER,
        "minutes": 30,
        "not_before_ms": 0,
        "not_after_ms": NOON_MS + 2 * DAY_MS,
        "reason": "new disk",
        **more,
    }
    return Work(id, machine, **given)


def scene(
    facts: Facts,
    settings: UpkeepSettings = LOOSE,
    off: Mapping[str, Off] | None = None,
    **more: Any,  # noqa: ANN401
) -> Scene:
    fleet = Fleet(facts)
    taken = {
        name: Taken(work(f"of-{name}", name), how, groups(known) if (known := fleet.get(name)) else ())
        for name, how in (off or {}).items()
    }
    return Scene(fleet, settings, **{"at_ms": NOON_MS, "taken": taken, **more})
