"""The newest purges, for a front door that was away and gets a snapshot in place of the entries.

A purge is kept here until whatever it forbids is dead by age, by the entries' own time with a bound for
clocks that differ. That time may be wrong by more than the bound, so nothing rests on it: `floor` is the
position of the newest purge that was let go of, and who had not applied it keeps nothing of what it has.
"""

from collections import OrderedDict

from molereach.cache.purge.bodies import ClassName, Member
from molereach.cache.purge.records import Millis
from molereach.coordination.interface.identifiers import Position, WireStruct

MOST_AT_ONCE = 64  # let go of by one entry


class Past(WireStruct, frozen=True, array_like=True):
    """The newest purge of one scope."""

    member: Member
    class_name: ClassName
    position: Position
    at_ms: Millis


class Purged:
    """By scope, in the order of the log."""

    def __init__(self, keep_ms: int, most: int) -> None:
        self.keep_ms, self.most = keep_ms, most
        self.floor = 0
        self._newest: OrderedDict[tuple[str, str], Past] = OrderedDict()

    def __len__(self) -> int:
        return len(self._newest)

    def all(self) -> tuple[Past, ...]:
        return tuple(self._newest.values())

    def add(self, past: Past) -> None:
        key = past.member, past.class_name
        self._newest[key] = past
        self._newest.move_to_end(key)
        while len(self._newest) > self.most:
            self._let_go()

    def compact(self, at_ms: int) -> None:
        for _ in range(min(MOST_AT_ONCE, len(self._newest))):
            if at_ms - next(iter(self._newest.values())).at_ms <= self.keep_ms:
                return
            self._let_go()

    def _let_go(self) -> None:
        _, past = self._newest.popitem(last=False)
        self.floor = past.position  # they go in the order of the log

    def restore(self, floor: int, pasts: tuple[Past, ...]) -> None:
        self.floor = floor
        self._newest = OrderedDict(((past.member, past.class_name), past) for past in pasts)
