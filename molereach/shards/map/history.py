"""The current map and its latest changes, from which readers of an older version are updated."""

from collections import deque

from molereach.shards.map.delta import Delta, delta_between
from molereach.shards.map.shard_map import ShardMap, map_error

MAX_DELTAS = 64  # a reader that is further behind gets the complete map


class MapHistory:
    """The current map, with the deltas that led to it. Versions only grow."""

    def __init__(self, initial: ShardMap) -> None:
        if error := map_error(initial):
            raise ValueError(error)
        self.map = initial
        self._deltas: deque[Delta] = deque(maxlen=MAX_DELTAS)

    def append(self, later: ShardMap) -> None:
        """Make a later version current; ValueError if it is not valid or not later."""
        if error := map_error(later):
            raise ValueError(error)
        self._deltas.append(delta_between(self.map, later))
        self.map = later

    def changes_since(self, version: int) -> tuple[Delta, ...] | ShardMap:
        """What updates `version` to the current map: deltas in order, or the complete map."""
        if version == self.map.version:
            return ()
        deltas = tuple(delta for delta in self._deltas if delta.since >= version)
        if not deltas or deltas[0].since != version:
            return self.map
        return deltas
