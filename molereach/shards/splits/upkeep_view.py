"""What splits and upkeep ask of each other, so that they never take one cell at once."""

from typing import Protocol

from molereach.shards.map.shard_map import Home


class Rooms(Protocol):
    """Of upkeep, on the same log: asked inside `apply`, so it must go by entries alone, up to this one.

    `Shards.at_work` is what upkeep asks in turn before it takes a machine of a cell out. Both are asked at
    the entry that begins, and entries are in one order: whichever begins first has the cell.
    """

    def taken(self, home: Home, at_ms: int) -> str:
        """Why the cell is not free now, in one line: work that is out or draining there. Empty if it is."""


class NoUpkeep:
    """Where there is none."""

    def taken(self, home: Home, at_ms: int) -> str:
        return ""
