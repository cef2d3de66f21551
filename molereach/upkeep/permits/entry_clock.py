"""Estimates the time that an entry would have now: that of the last one, advanced by the local clock."""

from molereach.upkeep.permits.clearance_accounting import MS_US
from molereach.upkeep.permits.time_marks import TimeMark


class EntryClock:
    """Times of entries are Unix milliseconds, local ones microseconds."""

    def __init__(self) -> None:
        self._at_ms, self._applied_us = 0, 0

    def at_ms(self, now_us: int) -> int:
        """The estimated time of an entry proposed now."""
        return self._at_ms + (now_us - self._applied_us) // MS_US

    def applied(self, now_us: int, at_ms: int) -> None:
        """Sets the time from an applied entry."""
        self._at_ms, self._applied_us = at_ms, now_us

    def restored(self, now_us: int, marks: tuple[TimeMark, ...]) -> None:
        """Sets the time from a snapshot, whose last mark is all that is known of it. It does not go back."""
        self.applied(now_us, max(self.at_ms(now_us), marks[-1].at_ms if marks else 0))
