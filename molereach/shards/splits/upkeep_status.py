"""What splits and upkeep ask each other, so that they never use the same cell at once."""

from typing import Protocol

from molereach.shards.map.shard_map import CellId


class UpkeepStatus(Protocol):
    """The state of upkeep on the same log; asked inside `apply`, so it must depend on log entries alone.

    Upkeep in turn asks `ShardsMachine.split_in_progress` before it takes a machine of a cell out of service.
    Each asks at the entry that starts its own work, and entries are totally ordered: whichever starts first
    has the cell.
    """

    def occupied(self, cell: CellId, at_ms: int) -> str:
        """Why the cell is not free now, in one line: upkeep or draining there. Empty if it is free."""


class NoUpkeep:
    """The status at a site without upkeep."""

    def occupied(self, cell: CellId, at_ms: int) -> str:
        """No cell is ever occupied."""
        return ""
