"""What a work is judged by: the facts, the time, and what else is away or about to be."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.fleet_facts import Fleet
from molereach.upkeep.rules.settings import UpkeepSettings


class Off(Enum):
    """How a machine counts that is on its way."""

    AWAY = "away"  # draining, empty, out, back and cold, overdue: it bears nothing, and takes a place
    WARMING = "warming"  # it is sent requests again, bears what its warmth allows, and takes a place
    LOST = "lost"  # it bears nothing, and its place is free


@dataclass(frozen=True, slots=True)
class Taken:
    """A machine that is on its way, and the work for which it is."""

    work: Work
    off: Off
    groups: tuple[tuple[str, str], ...] = ()  # its cell and zone when it began: it may not be listed any more
    begun_ms: int = 0


@dataclass(frozen=True, slots=True)
class Scene:
    """One moment, true or planned. `taken` is by the names that machines have by now, and may have two for
    one work; `waiting` are machines with open works that are not on their way."""

    fleet: Fleet
    settings: UpkeepSettings
    at_ms: int
    taken: Mapping[str, Taken]
    waiting: Collection[str] = ()
    standing: Collection[str] = ()

    def bears_nothing(self, name: str) -> bool:
        taken = self.taken.get(name)
        return taken is not None and taken.off is not Off.WARMING

    def places(self) -> dict[str, Taken]:
        """Who takes a place, once for each work, by the machine that the work was asked for."""
        return {each.work.machine: each for each in self.taken.values() if each.off is not Off.LOST}

    def without(self, work: Work) -> "Scene":
        """The same, as if this work had not begun."""
        others = {name: each for name, each in self.taken.items() if each.work.id != work.id}
        return replace(self, taken=others)


@dataclass(frozen=True, slots=True)
class Stop:
    """Why a work cannot go now: the rule, the machines that stop it, and one plain line."""

    rule: str
    machines: tuple[str, ...]
    why: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.why}" + (f" ({', '.join(self.machines)})" if self.machines else "")


Rule = Callable[[Scene, Work], Stop | None]
