"""One list under many views: its order, and the stand-ins of each backend, are looked up once for all.

Both follow from the list alone. The front door's own code looks them up; a change of the list forgets them.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterator, Sequence
from itertools import chain, islice

from molereach.subsetting.placement import RING_SIZE
from molereach.subsetting.ring import Ring
from molereach.subsetting.subset import EndpointIndex, Subset

Standins = tuple[dict[bytes, bytes], list[set[int]]]  # by name, and the groups of the one they stand in for


class SharedRing(Ring):
    __slots__ = ("back", "places")

    def __init__(self) -> None:
        super().__init__()
        self.back: list[tuple[int, bytes]] = []  # those up, from the ring's end; none: not looked up
        self.places: list[int] = []  # theirs, from the ring's start

    def forget(self) -> None:
        self.back, self.places = [], []

    def up_backwards_from(self, start: int) -> Iterator[tuple[int, bytes]]:
        if not self.back:
            self.back = list(super().up_backwards_from(RING_SIZE - 1))
            self.places = [place for place, _ in reversed(self.back)]
        first = len(self.places) - bisect_left(self.places, start + 1)
        return chain(islice(self.back, first, None), islice(self.back, first))


class SharedWhole(EndpointIndex):
    __slots__ = ("order", "standins")

    def __init__(self, kinds: Sequence[Callable[[bytes], int]]) -> None:
        super().__init__(kinds)
        self.order = self.ring = SharedRing()
        self.standins: dict[bytes, Standins] = {}  # by the record that they stand in for

    def put(self, place: int, record: bytes) -> bytes | None:
        self.forget()
        return super().put(place, record)

    def remove(self, place: int, name: bytes) -> bytes | None:
        self.forget()
        return super().remove(place, name)

    def forget(self) -> None:
        self.order.forget()
        self.standins.clear()


class SharingView(Subset):
    __slots__ = ()

    def add_substitutes(self, whole: EndpointIndex, place: int, record: bytes) -> None:
        if not whole.groups:
            return
        assert isinstance(whole, SharedWhole)
        known = whole.standins.get(record)
        if known is None:
            known = whole.standins[record] = self.look_up(whole, place, record)
        self.members.update(known[0])
        for held, groups in zip(self.scopes, known[1], strict=True):
            held |= groups

    def look_up(self, whole: EndpointIndex, place: int, record: bytes) -> Standins:
        alone = Subset(self.proxy_position, self.min_distance, self.min_size)
        alone.scopes = [set() for _ in whole.groups]
        alone.add_substitutes(whole, place, record)
        return alone.members, alone.scopes
