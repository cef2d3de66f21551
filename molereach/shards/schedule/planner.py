"""Which splits begin now, in which order, and which come too late: one at a time in each building.

Backward scheduling: from the one that is full last to the first, each is put into the last room that is over
before its date and before the next one begins; so a building's splits go in the order of their dates, each as
late as it may, as a forecast nearer by is better and a split that was not needed is not begun. Source:
Jackson (1955), earliest due date first, which is late only where every order is.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import groupby

from molereach.shards.map.shard_map import Home
from molereach.shards.schedule.free_windows import Rooms, first_room, last_room

MOST_WANTED = 512
AHEAD_DAYS = 1.0  # what begins before the next look begins now


@dataclass(frozen=True, slots=True)
class Wanted:
    """A shard to be split: when it may be full, by the upper bound, and how long the split takes at most."""

    shard: int
    home: Home
    to: Home
    full_day: float
    days: float


@dataclass(frozen=True, slots=True)
class Slot:
    """When a split begins at the latest."""

    wanted: Wanted
    begin_day: float


@dataclass(frozen=True, slots=True)
class Late:
    """Said at once: the shard may be full on this day, and its split is over on that one at the soonest."""

    wanted: Wanted
    over_day: float | None  # None where no room is found


@dataclass(frozen=True, slots=True)
class Calendar:
    """By building, in order of the dates; `late` ones are among the slots as well, where there is room."""

    slots: tuple[Slot, ...]
    late: tuple[Late, ...]

    def due(self, now_day: float, busy: frozenset[Home]) -> tuple[Wanted, ...]:
        """Those that begin now: of each building the first, where no split of it is under way."""
        taken = {home.building for home in busy}
        found = []
        for slot in self.slots:
            building = slot.wanted.home.building
            if building not in taken and slot.begin_day <= now_day + AHEAD_DAYS:
                found.append(slot.wanted)
            taken.add(building)
        return tuple(found)


def order(wanted: Wanted) -> tuple[float, int]:
    """The same at every front door."""
    return wanted.full_day, wanted.shard


def calendar(wanted: Sequence[Wanted], now_day: float, rooms: Rooms) -> Calendar:
    """ValueError for more than can be."""
    if len(wanted) > MOST_WANTED:
        raise ValueError(f"wanted: more than {MOST_WANTED}")
    slots: list[Slot] = []
    late: list[Late] = []
    ordered = sorted(wanted, key=lambda each: (each.home.building, *order(each)))
    for _, group in groupby(ordered, key=lambda each: each.home.building):
        found, behind = _building(list(group), now_day, rooms)
        slots += found
        late += behind
    return Calendar(tuple(slots), tuple(late))


def _building(wanted: list[Wanted], now_day: float, rooms: Rooms) -> tuple[list[Slot], list[Late]]:
    latest: list[float | None] = [None] * len(wanted)
    until = float("inf")
    for at in range(len(wanted) - 1, -1, -1):
        each = wanted[at]
        latest[at] = last_room(rooms, (each.home, each.to), now_day, min(until, each.full_day), each.days)
        if latest[at] is None:
            break  # this and those before it go as soon as may be
        until = latest[at] or 0.0
    slots: list[Slot] = []
    late: list[Late] = []
    at_day = now_day
    for each, last in zip(wanted, latest, strict=True):
        soonest = first_room(rooms, (each.home, each.to), at_day, each.days)
        if soonest is None:
            late.append(Late(each, None))
            continue
        if soonest + each.days > each.full_day:
            late.append(Late(each, soonest + each.days))
        slots.append(Slot(each, soonest if last is None else max(soonest, last)))
        at_day = soonest + each.days
    return slots, late
