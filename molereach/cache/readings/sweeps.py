"""Removal of the readings that purges invalidate, in bounded steps, some in each turn of the loop.

The marks already prevent their use; a sweep frees the memory, so that the clear position only covers purges
whose readings have been removed.
"""

from collections import deque
from dataclasses import dataclass

from molereach.cache.readings.marks import ALL_CLASSES
from molereach.cache.readings.reading import Reading
from molereach.cache.readings.store import Store

READINGS_SCANNED_PER_STEP = 8  # a step that removes handles one reading


@dataclass(slots=True)
class Sweep:
    """The readings that one purge invalidates; `remaining` is None until they have been collected."""

    position: int
    member: str
    class_name: str
    remaining: list[Reading] | None = None


class Sweeps:
    """The purges whose readings have not all been removed yet, in the order of the log."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self._sweeps: deque[Sweep] = deque()

    @property
    def first_position(self) -> int | None:
        """The position of the oldest purge; None if there is none."""
        return self._sweeps[0].position if self._sweeps else None

    def add(self, position: int, member: str, class_name: str) -> None:
        """Begin a sweep, unless the member has no readings."""
        if self.store.member_size(member):
            self._sweeps.append(Sweep(position, member, class_name))

    def run(self, steps: int) -> None:
        """Run this many steps, and at most one scan of `MAX_READINGS_PER_MEMBER` readings more."""
        while self._sweeps and steps > 0:
            sweep = self._sweeps[0]
            if sweep.remaining is None:
                steps -= self._collect(sweep)
            remaining = sweep.remaining or []
            count = min(max(0, steps), len(remaining))
            for _ in range(count):
                self.store.remove(remaining.pop())
            if not remaining:
                self._sweeps.popleft()
            steps -= 1 + count

    def _collect(self, sweep: Sweep) -> int:
        """Collect the readings, without those requested after the purge; returns the steps taken."""
        readings = self.store.readings_of(sweep.member)
        sweep.remaining = [
            reading
            for reading in readings
            if reading.applied_position < sweep.position
            and sweep.class_name in (ALL_CLASSES, reading.class_name)
        ]
        return len(readings) // READINGS_SCANNED_PER_STEP
