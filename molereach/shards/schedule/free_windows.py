"""When both cells of a split are free of upkeep: the rooms that are left."""

from typing import Protocol

from molereach.shards.map.shard_map import Home


class Rooms(Protocol):
    """Of upkeep's plan: when it has a cell, as far as it is planned."""

    def next_free(self, home: Home, from_day: float) -> tuple[float, float]:
        """The first time from `from_day` on at which the cell is free, and until when. A time that has no end
        goes to infinity."""


class AlwaysFree:
    """Where there is no upkeep."""

    def next_free(self, home: Home, from_day: float) -> tuple[float, float]:
        return from_day, float("inf")


MOST_LOOKS = 256  # into the plan of upkeep, for one room


def first_room(rooms: Rooms, homes: tuple[Home, ...], from_day: float, days: float) -> float | None:
    """The first time from then on at which all cells are free for so long; None where none is found."""
    at = from_day
    for _ in range(MOST_LOOKS):
        spans = [rooms.next_free(home, at) for home in homes]
        start, end = max(span[0] for span in spans), min(span[1] for span in spans)
        if start + days <= end:
            return start
        if max(start, end) <= at:  # a plan that says neither when it is free nor when it is not
            return None
        at = max(start, end)
    return None


def last_room(
    rooms: Rooms, homes: tuple[Home, ...], from_day: float, until_day: float, days: float
) -> float | None:
    """The last time at which all cells are free for so long, and it is over by `until_day`."""
    best, at = None, from_day
    for _ in range(MOST_LOOKS):
        start = first_room(rooms, homes, at, days)
        if start is None or start + days > until_day:
            return best
        ends = min(rooms.next_free(home, start)[1] for home in homes)
        best = min(ends, until_day) - days
        if ends >= until_day:
            return best
        at = ends
    return best
