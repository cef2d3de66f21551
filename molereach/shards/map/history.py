"""The map as it is now, and the last changes to it: for who has an older version."""

from collections import deque

from molereach.shards.map.delta import Delta, between
from molereach.shards.map.shard_map import ShardMap, unsound

MOST_DELTAS = 64  # that are kept; who is further behind is given the whole map


class History:
    """Versions only grow."""

    def __init__(self, found: ShardMap) -> None:
        if said := unsound(found):
            raise ValueError(said)
        self.map = found
        self._deltas: deque[Delta] = deque(maxlen=MOST_DELTAS)

    def put(self, found: ShardMap) -> None:
        """Take a later version; ValueError where it is not sound or not later."""
        if said := unsound(found):
            raise ValueError(said)
        self._deltas.append(between(self.map, found))
        self.map = found

    def news(self, version: int) -> tuple[Delta, ...] | ShardMap:
        """What leads from `version` to the map as it is: deltas in order, or the whole map."""
        if version == self.map.version:
            return ()
        found = tuple(delta for delta in self._deltas if delta.since >= version)
        if not found or found[0].since != version:
            return self.map
        return found
