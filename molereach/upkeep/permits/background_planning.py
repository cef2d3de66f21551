"""The plan as it is made beside all else: one slice at a time, and anew when something has changed."""

from molereach.upkeep.permits.lifecycle import WAITING, State
from molereach.upkeep.permits.record import Record
from molereach.upkeep.permits.registry import Book
from molereach.upkeep.scheduling.plan import Plan, Planner


class Planning:
    """`plan` is the last that was made; it may be of a while ago."""

    def __init__(self, book: Book) -> None:
        self.plan: Plan | None = None
        self._book = book
        self._planner: Planner | None = None
        self._stale = True

    @property
    def busy(self) -> bool:
        return self._planner is not None

    def changed(self) -> None:
        self._stale = True

    def forget(self) -> None:
        self.plan, self._planner, self._stale = None, None, True

    def go_on(self, at_ms: int) -> None:
        if self._planner is None and self._stale:
            ends_ms = {
                name: self._ends_ms(each, at_ms)
                for each in self._book.records.values()
                if each.state not in WAITING
                for name in each.names
            }
            self._planner = Planner(self._book.scene(at_ms), self._book.waiting(), ends_ms)
            self._stale = False  # to make it ready is one turn's work
        elif self._planner and self._planner.run():
            self.plan, self._planner = self._planner.plan, None

    def _ends_ms(self, record: Record, at_ms: int) -> int:
        """When a machine that is on its way is thought to be warm again."""
        settings = self._book.settings
        if record.state is State.BACK or record.state is State.WARM:
            return max(at_ms + 1, record.since_ms + settings.warming_ms)
        due_ms = record.until_ms or record.begun_ms + settings.drain_ms + record.work.took_ms
        return max(at_ms + 1, due_ms + settings.warming_ms)
