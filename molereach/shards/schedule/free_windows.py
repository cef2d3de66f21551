"""Time windows in which both cells of a split are free of upkeep."""

from typing import Protocol

from molereach.shards.map.shard_map import CellId


class CellAvailability(Protocol):
    """The plan of upkeep, as far as it goes: when it leaves a cell free."""

    def next_free(self, cell: CellId, from_day: float) -> tuple[float, float]:
        """The first time from `from_day` on at which the cell is free, and the end of that window.

        The end is infinity if nothing is planned after it.
        """


class AlwaysFree:
    """The plan of a site without upkeep."""

    def next_free(self, cell: CellId, from_day: float) -> tuple[float, float]:
        """Free from now on, without an end."""
        return from_day, float("inf")


MAX_LOOKUPS = 256  # in the plan of upkeep, for one window


def first_window(
    availability: CellAvailability, cells: tuple[CellId, ...], from_day: float, days: float
) -> float | None:
    """The earliest start, not before `from_day`, with all cells free for `days`; None if none is found."""
    day = from_day
    for _ in range(MAX_LOOKUPS):
        windows = [availability.next_free(cell, day) for cell in cells]
        start, end = max(window[0] for window in windows), min(window[1] for window in windows)
        if start + days <= end:
            return start
        if max(start, end) <= day:  # an inconsistent plan: the window ends where it starts
            return None
        day = max(start, end)
    return None


def last_window(
    availability: CellAvailability, cells: tuple[CellId, ...], from_day: float, until_day: float, days: float
) -> float | None:
    """The latest start with all cells free for `days` that end by `until_day`; None if none is found."""
    latest, day = None, from_day
    for _ in range(MAX_LOOKUPS):
        start = first_window(availability, cells, day, days)
        if start is None or start + days > until_day:
            return latest
        end = min(availability.next_free(cell, start)[1] for cell in cells)
        latest = min(end, until_day) - days
        if end >= until_day:
            return latest
        day = end
    return latest
