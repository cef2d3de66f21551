"""The newest purge of each scope, for a front door that restores a snapshot in place of the entries.

A purge is kept until all that it invalidates has expired, by the entries' own time with a bound on how far
clocks differ. Clocks may differ by more than that, so safety does not rest on it: `floor` is the position of
the newest purge that was dropped, and a front door that had not applied that one discards all its readings.
"""

from collections import OrderedDict

from molereach.cache.purge.bodies import ClassName, Member
from molereach.cache.purge.records import Millis
from molereach.coordination.interface.identifiers import Position, WireStruct

MAX_DROPPED_PER_ENTRY = 64


class PastPurge(WireStruct, frozen=True, array_like=True):
    """The newest purge of one scope."""

    member: Member
    class_name: ClassName
    position: Position
    at_ms: Millis


class Purged:
    """The newest purge of each scope (member and class), in the order of the log; whether it is complete does
    not matter."""

    def __init__(self, retention_ms: int, max_entries: int) -> None:
        self.retention_ms, self.max_entries = retention_ms, max_entries
        self.floor = 0
        self._newest: OrderedDict[tuple[str, str], PastPurge] = OrderedDict()

    def __len__(self) -> int:
        return len(self._newest)

    def entries(self) -> tuple[PastPurge, ...]:
        """All that are kept, in the order of the log."""
        return tuple(self._newest.values())

    def add(self, past: PastPurge) -> None:
        """Add a purge in place of the earlier one of its scope."""
        key = past.member, past.class_name
        self._newest[key] = past
        self._newest.move_to_end(key)
        while len(self._newest) > self.max_entries:
            self._drop_oldest()

    def drop_expired(self, at_ms: int) -> None:
        """Drop purges that are too old at this time, at most `MAX_DROPPED_PER_ENTRY`."""
        for _ in range(min(MAX_DROPPED_PER_ENTRY, len(self._newest))):
            if at_ms - next(iter(self._newest.values())).at_ms <= self.retention_ms:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, past = self._newest.popitem(last=False)
        self.floor = past.position  # increases, as they are dropped in the order of the log

    def restore(self, floor: int, entries: tuple[PastPurge, ...]) -> None:
        """Take over the state of a snapshot."""
        self.floor = floor
        self._newest = OrderedDict(((past.member, past.class_name), past) for past in entries)
