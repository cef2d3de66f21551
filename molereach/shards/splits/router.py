"""A front door's part in splits: where each attempt may go, and when nothing of it goes to the old side.

It goes by the map as the log has it here. An old one does no harm: the old cell turns the range away from its
closing on, before any front door may know the new map. For the window of keyed requests after a hand-over was
applied here, repeats go to the old side: what ran there ran before the closing, so before this window began.
`clear` of the hand-over is said when the window is over.
"""

from collections import deque
from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.log import Applied, Restored
from molereach.policy.interface.settings import Idempotency
from molereach.shards.map.shard_lookup import Lookup
from molereach.shards.map.shard_map import Piece
from molereach.shards.splits.machine import Shards
from molereach.shards.splits.record import Record
from molereach.shards.splits.routing_interface import Place
from molereach.shards.splits.states import State


@dataclass(frozen=True, slots=True)
class Learn:
    """Action: a server knows a later map than this front door: ask the council for what was settled."""

    version: int


@dataclass(slots=True)
class _Pin:
    """A range that was handed over: repeats of keyed requests go to its old side until `until_us`."""

    split: Record
    until_us: int


Event = Applied | Restored | Tick


class DoorShards:
    """A core; `consulted.Shards` for the decisions. ValueError, from `place`, for what is no member."""

    def __init__(self, shards: Shards) -> None:
        self._shards = shards
        self._lookup: Lookup | None = None
        self._pins: dict[str, _Pin] = {}
        self._applied = 0
        self._learn: deque[Learn] = deque(maxlen=1)
        self._follow(0)

    # --- events ---

    def handle(self, now_us: int, event: Event) -> list[Learn]:
        match event:
            case Applied():
                self._applied = max(self._applied, event.entry.position)
                if event.entry.machine == self._shards.name:
                    self._follow(now_us)
            case Restored():
                self._applied = max(self._applied, event.position)
                self._follow(now_us)
        self._lapse(now_us)
        said = list(self._learn)
        self._learn.clear()
        return said

    def _follow(self, now_us: int) -> None:
        found = self._shards.map
        if found and (self._lookup is None or self._lookup.version != found.version):
            self._lookup = Lookup(found)
        opened = self._shards.book.open
        for split in opened.values():
            if split.state is State.HANDED and split.id not in self._pins:
                self._pins[split.id] = _Pin(split, now_us + self._shards.settings.window_ms * 1000)
        self._pins = {id: pin for id, pin in self._pins.items() if id in opened}  # what is cleared is over

    def _lapse(self, now_us: int) -> None:
        for pin in self._pins.values():
            if now_us >= pin.until_us:
                pin.until_us = 0

    @property
    def clear(self) -> int:
        """Up to where nothing is under way here that the log forbids; never above what is applied."""
        return min([self._applied, *(pin.split.position - 1 for pin in self._pins.values() if pin.until_us)])

    @property
    def wake_us(self) -> int:
        return min((pin.until_us for pin in self._pins.values() if pin.until_us), default=NEVER_US)

    # --- what the decisions ask ---

    def place(
        self,
        now_us: int,
        member: int,
        effect: Idempotency,
        is_repeat: bool = False,
        tried: Place | None = None,
    ) -> Place | None:
        if self._lookup is None:
            return None
        piece = self._lookup.at(member)
        pin = self._pin(now_us, member)
        match effect:
            case Idempotency.IDEMPOTENT:
                return self._at(piece)
            case Idempotency.NON_IDEMPOTENT:
                return self.unsafe(piece, tried)
            case Idempotency.IDEMPOTENT_WITH_KEY:
                return self.keyed(piece, pin, is_repeat, tried)

    def unsafe(self, piece: Piece, tried: Place | None) -> Place | None:
        here = self._at(piece)
        return here if tried is None or self._same(here, tried) else None

    def keyed(self, piece: Piece, pin: Record | None, is_repeat: bool, tried: Place | None) -> Place | None:
        here = self._at(piece)
        if tried is not None:
            return here if self._same(here, tried) else tried
        if is_repeat and pin is not None:
            return Place(pin.home.building, pin.home.cell, pin.shard, here.version)
        return here

    def _pin(self, now_us: int, member: int) -> Record | None:
        """The hand-over of the member's range that is in its window: one at most, as its cells are taken."""
        return next(
            (pin.split for pin in self._pins.values() if pin.split.moves(member) and now_us < pin.until_us),
            None,
        )

    def _at(self, piece: Piece) -> Place:
        assert self._lookup is not None  # as `place` has asked
        return Place(piece.home.building, piece.home.cell, piece.shard, self._lookup.version)

    @staticmethod
    def _same(here: Place, tried: Place) -> bool:
        return (here.building, here.cell) == (tried.building, tried.cell)

    def turned_away(self, now_us: int, place: Place, version: int) -> None:
        if self._lookup is None or version > self._lookup.version:
            self._learn.append(Learn(version))
