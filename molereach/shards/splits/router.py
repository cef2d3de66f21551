"""A front door's side of splits: where each attempt may go, and when none goes to a source cell any more.

Attempts go by the shard map that this front door has applied from the log. An old map does no harm: the
source cell rejects requests for the range from when it closes the range, before any front door can know the
new map.

After this front door has applied a hand-over, it sends repeats of keyed requests to the source cell for
`window_ms`, the longest time for which keyed requests are remembered. What the source cell executed, it
executed before it closed the range, so before this window began. Once the window is over, `clear_position`
passes the entry of the hand-over.
"""

from collections import deque
from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.log import Applied, Restored
from molereach.policy.interface.settings import Idempotency
from molereach.shards.map.shard_lookup import ShardLookup
from molereach.shards.map.shard_map import ShardRange
from molereach.shards.splits.machine import ShardsMachine
from molereach.shards.splits.record import SplitRecord
from molereach.shards.splits.routing_interface import Placement
from molereach.shards.splits.states import State


@dataclass(frozen=True, slots=True)
class FetchMap:
    """Action: a backend knows a later map than this front door; fetch the entries that are missing here."""

    map_version: int


@dataclass(slots=True)
class _RepeatWindow:
    """A split that was handed over: repeats of keyed requests for its range go to the source cell until
    `until_us`."""

    split: SplitRecord
    until_us: int  # 0 once it has passed


Event = Applied | Restored | Tick


class ShardRouter:
    """Implements `ShardRouting` for request policy, without I/O: handles events and returns actions."""

    def __init__(self, machine: ShardsMachine) -> None:
        self._machine = machine
        self._lookup: ShardLookup | None = None
        self._repeat_windows: dict[str, _RepeatWindow] = {}  # by the ID of the split
        self._applied = 0
        # Only the latest: a new one replaces one that was not returned yet.
        self._fetches: deque[FetchMap] = deque(maxlen=1)
        self._follow_machine(0)

    # --- events ---

    def handle(self, now_us: int, event: Event) -> list[FetchMap]:
        """Apply one event; the actions to carry out."""
        match event:
            case Applied():
                self._applied = max(self._applied, event.entry.position)
                if event.entry.machine == self._machine.name:
                    self._follow_machine(now_us)
            case Restored():
                self._applied = max(self._applied, event.position)
                self._follow_machine(now_us)
        self._end_repeat_windows(now_us)
        actions = list(self._fetches)
        self._fetches.clear()
        return actions

    def _follow_machine(self, now_us: int) -> None:
        """Take over the current map, and start and drop repeat windows by the open splits."""
        shard_map = self._machine.map
        if shard_map and (self._lookup is None or self._lookup.version != shard_map.version):
            self._lookup = ShardLookup(shard_map)
        open_splits = self._machine.registry.open
        for split in open_splits.values():
            if split.state is State.HANDED_OVER and split.id not in self._repeat_windows:
                self._repeat_windows[split.id] = _RepeatWindow(
                    split, now_us + self._machine.settings.window_ms * 1000
                )
        self._repeat_windows = {
            id: window for id, window in self._repeat_windows.items() if id in open_splits
        }  # a split that is cleared is not open any more, and needs no window

    def _end_repeat_windows(self, now_us: int) -> None:
        for window in self._repeat_windows.values():
            if now_us >= window.until_us:
                window.until_us = 0

    @property
    def clear_position(self) -> int:
        """The applied position up to which this front door sends nothing that the log forbids.

        While a repeat window lasts, it is before the hand-over. Attempts in flight are not tracked.
        """
        return min(
            [
                self._applied,
                *(window.split.position - 1 for window in self._repeat_windows.values() if window.until_us),
            ]
        )

    @property
    def wake_us(self) -> int:
        """When the next repeat window ends; `NEVER_US` if there is none."""
        return min(
            (window.until_us for window in self._repeat_windows.values() if window.until_us),
            default=NEVER_US,
        )

    # --- what request policy asks ---

    def place(
        self,
        now_us: int,
        member: int,
        idempotency: Idempotency,
        is_repeat: bool = False,
        previous: Placement | None = None,
    ) -> Placement | None:
        """Where this attempt may go, as `ShardRouting` defines it; None also without a map.

        `member` is the ID of the member whose data the request is about; it lies in the range of one shard.
        """
        if self._lookup is None:
            return None
        shard_range = self._lookup.range_of(member)
        recent_split = self._split_in_repeat_window(now_us, member)
        match idempotency:
            case Idempotency.IDEMPOTENT:
                return self._by_map(shard_range)
            case Idempotency.NON_IDEMPOTENT:
                return self.place_non_idempotent(shard_range, previous)
            case Idempotency.IDEMPOTENT_WITH_KEY:
                return self.place_keyed(shard_range, recent_split, is_repeat, previous)

    def place_non_idempotent(self, shard_range: ShardRange, previous: Placement | None) -> Placement | None:
        """The cell by the map; None if an earlier attempt went to another cell."""
        by_map = self._by_map(shard_range)
        return by_map if previous is None or self._same_cell(by_map, previous) else None

    def place_keyed(
        self,
        shard_range: ShardRange,
        recent_split: SplitRecord | None,
        is_repeat: bool,
        previous: Placement | None,
    ) -> Placement | None:
        """The cell of an earlier attempt; for a repeat, the source cell of a recent split; else the map's."""
        by_map = self._by_map(shard_range)
        if previous is not None:
            return by_map if self._same_cell(by_map, previous) else previous
        if is_repeat and recent_split is not None:
            return Placement(
                recent_split.source.building, recent_split.source.name, recent_split.shard, by_map.map_version
            )
        return by_map

    def _split_in_repeat_window(self, now_us: int, member: int) -> SplitRecord | None:
        """The split that handed over the member's range, while its repeat window lasts.

        There is at most one, as no other split may involve the same cells at the same time.
        """
        return next(
            (
                window.split
                for window in self._repeat_windows.values()
                if window.split.in_range(member) and now_us < window.until_us
            ),
            None,
        )

    def _by_map(self, shard_range: ShardRange) -> Placement:
        assert self._lookup is not None  # checked by `place`
        return Placement(
            shard_range.cell.building, shard_range.cell.name, shard_range.shard, self._lookup.version
        )

    @staticmethod
    def _same_cell(one: Placement, other: Placement) -> bool:
        return (one.building, one.cell) == (other.building, other.cell)

    def on_rejected(self, now_us: int, placement: Placement, map_version: int) -> None:
        """A backend of `placement` rejected an attempt and knows the map at `map_version`."""
        if self._lookup is None or map_version > self._lookup.version:
            self._fetches.append(FetchMap(map_version))
