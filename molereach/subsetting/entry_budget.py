"""How many entries of long lists there may be at once, wherever they are held. A core.

What is there is counted, and not what was taken: a list or a staging counts for as long as anybody refers to
it, so that none has to be given back and no way out of a call can forget to.
"""

from typing import Protocol, TypeVar
from weakref import WeakSet

from molereach.subsetting.interface import RoomError

COPIES = 2  # of the longest list: the one in service, and one that comes or is let go of


class Holder(Protocol):
    @property
    def held(self) -> int:
        """Entries in it."""


One = TypeVar("One", bound=Holder)


class Room:
    """For `most` entries in all."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.holders: WeakSet[Holder] = WeakSet()

    def count(self, one: One) -> One:
        """It counts from now on."""
        self.holders.add(one)
        return one

    @property
    def held(self) -> int:
        return sum(holder.held for holder in self.holders)

    def need(self, more: int) -> None:
        """RoomError where so many more entries would be too many."""
        if (held := self.held) + more > self.most:
            raise RoomError(f"no room in memory beside {held} entries of lists, of {self.most} at most")
