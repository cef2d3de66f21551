"""Letting go of what purges forbid, in steps: a bounded piece of it in each turn of the loop.

The marks forbid it already; this frees the memory, so that `clear` is said of what is truly gone.
"""

from collections import deque
from dataclasses import dataclass

from molereach.cache.readings.marks import ALL_CLASSES
from molereach.cache.readings.reading import Reading
from molereach.cache.readings.store import Store

LISTED_A_STEP = 8  # readings that are only looked at; a step lets go of one


@dataclass(slots=True)
class Sweep:
    """What one purge forbids; `left` once it was listed."""

    position: int
    member: str
    class_name: str
    left: list[Reading] | None = None


class Sweeps:
    """Purges whose readings are not all let go of yet, in the order of the log."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self._sweeps: deque[Sweep] = deque()

    @property
    def first(self) -> int | None:
        """The position of the oldest, None for none."""
        return self._sweeps[0].position if self._sweeps else None

    def add(self, position: int, member: str, class_name: str) -> None:
        if self.store.size_of(member):
            self._sweeps.append(Sweep(position, member, class_name))

    def run(self, steps: int) -> None:
        """Go on for so many steps, and at most one list (`MOST_READINGS`) more."""
        while self._sweeps and steps > 0:
            sweep = self._sweeps[0]
            if sweep.left is None:
                steps -= self._list(sweep)
            left = sweep.left or []
            count = min(max(0, steps), len(left))
            for _ in range(count):
                self.store.drop(left.pop())
            if not left:
                self._sweeps.popleft()
            steps -= 1 + count

    def _list(self, sweep: Sweep) -> int:
        """List it; the steps that this took. What was sent since the purge is not part of it."""
        readings = self.store.of(sweep.member)
        sweep.left = [
            reading
            for reading in readings
            if reading.applied < sweep.position and sweep.class_name in (ALL_CLASSES, reading.class_name)
        ]
        return len(readings) // LISTED_A_STEP
