"""The scene: the input by which the rules judge a work item."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.fleet_facts import Fleet
from molereach.upkeep.rules.settings import UpkeepSettings


class Absence(Enum):
    """How a machine in maintenance counts against capacity and concurrency limits."""

    AWAY = "away"  # draining, drained, permitted, cold or overdue: no load, but a slot
    WARMING = "warming"  # sent requests again: load as its warmth allows, and a slot
    LOST = "lost"  # no load, and no slot


@dataclass(frozen=True, slots=True)
class MachineInMaintenance:
    """A machine whose maintenance has started, and the work item."""

    work: WorkItem
    absence: Absence
    groups: tuple[tuple[str, str], ...] = ()  # cell and zone at its start: it may no longer be listed
    begun_ms: int = 0


@dataclass(frozen=True, slots=True)
class Scene:
    """The state of the fleet and of maintenance at one moment, real or simulated.

    `in_maintenance` is by the names that machines have now; an item whose machine returned under another name
    has two entries. `waiting` names the machines with open items that have not started; `fallback_servers`
    are those that proxies without a session may still use.
    """

    fleet: Fleet
    settings: UpkeepSettings
    at_ms: int
    in_maintenance: Mapping[str, MachineInMaintenance]
    waiting: Collection[str] = ()
    fallback_servers: Collection[str] = ()

    def bears_no_load(self, name: str) -> bool:
        """Whether a machine serves nothing because of maintenance."""
        machine = self.in_maintenance.get(name)
        return machine is not None and machine.absence is not Absence.WARMING

    def occupied_slots(self) -> dict[str, MachineInMaintenance]:
        """The machines that count against the concurrency limits: one for each item, by the name it was
        requested for."""
        return {
            each.work.machine: each
            for each in self.in_maintenance.values()
            if each.absence is not Absence.LOST
        }

    def without(self, work: WorkItem) -> "Scene":
        """The same scene as if this work item had not started."""
        others = {name: each for name, each in self.in_maintenance.items() if each.work.id != work.id}
        return replace(self, in_maintenance=others)


@dataclass(frozen=True, slots=True)
class Blocker:
    """Why a work item can't start now: the rule, the machines that prevent it, and a reason in one line.

    Its text becomes the outcome of a rejected entry.
    """

    rule: str
    machines: tuple[str, ...]
    reason: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.reason}" + (f" ({', '.join(self.machines)})" if self.machines else "")


Rule = Callable[[Scene, WorkItem], Blocker | None]
