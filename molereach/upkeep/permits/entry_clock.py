"""What the time of an entry would be about now: that of the last one, taken on by this front door's own
clock."""

from molereach.upkeep.permits.clearance_accounting import MS_US
from molereach.upkeep.permits.time_marks import Mark


class EntryClock:
    """Times of entries in Unix milliseconds, own ones in microseconds."""

    def __init__(self) -> None:
        self._at_ms, self._applied_us = 0, 0

    def at_ms(self, now_us: int) -> int:
        return self._at_ms + (now_us - self._applied_us) // MS_US

    def applied(self, now_us: int, at_ms: int) -> None:
        self._at_ms, self._applied_us = at_ms, now_us

    def restored(self, now_us: int, marks: tuple[Mark, ...]) -> None:
        """By a snapshot: the last mark is all that is known of the time, and it does not go back."""
        self.applied(now_us, max(self.at_ms(now_us), marks[-1].at_ms if marks else 0))
