"""Operator settings of maintenance. They must be the same at all front doors, because the state machine
decides by them."""

from dataclasses import dataclass

from molereach.upkeep.requests.work_item import MINUTE_MS
from molereach.upkeep.rules.fleet_facts import PERMILLE

MonthDay = tuple[int, int]
DAYS_IN_MONTH = (31, 29, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31)


@dataclass(frozen=True, slots=True)
class Season:
    """A range of days in UTC, both ends included. It wraps around the end of the year if `last` is before
    `first`."""

    first: MonthDay
    last: MonthDay

    def __post_init__(self) -> None:
        for name, (month, day) in (("first", self.first), ("last", self.last)):
            if not 1 <= month <= 12 or not 1 <= day <= DAYS_IN_MONTH[month - 1]:
                raise ValueError(f"seasons.{name}: no such day: {month:02}-{day:02}")


@dataclass(frozen=True, slots=True)
class UpkeepSettings:
    """The settings. Raises ValueError that names the key if a value is invalid."""

    most_out: int = 4  # machines in maintenance at once
    most_out_cell: int = 2
    most_out_zone: int = 3
    least_ready_cell: int = 2  # ready servers
    least_ready_zone: int = 2
    target: int = 700  # in thousandths: the highest acceptable mean load
    spread: int = 3  # front doors in the set of a customer
    least_in_set: int = 2
    seasons: tuple[Season, ...] = ()
    standing: int = 250  # thousandths of each cell's servers that are fallback servers
    fresh_ms: int = 30_000  # no decision is based on older facts
    drain_ms: int = 2 * MINUTE_MS  # expected duration of draining
    warming_ms: int = 5 * MINUTE_MS
    warm: int = 300  # thousandths of warmth from which a server is sent requests
    done: int = 900  # thousandths of warmth at which its maintenance is complete
    closing_ms: int = 60 * MINUTE_MS  # a work item is urgent this long before its latest start
    most_passed: int = 8  # later items that start before a blocked one until it is urgent
    slack_ms: int = 10 * MINUTE_MS  # delay after which a machine is overdue
    lost_ms: int = 120 * MINUTE_MS  # overdue time after which a machine is lost
    alone_ms: int = 10 * MINUTE_MS  # how long a proxy without a session keeps its servers
    flight_ms: int = 60_000  # maximum duration of a request

    def __post_init__(self) -> None:
        for key in ("most_out", "most_out_cell", "most_out_zone", "spread", "most_passed", "fresh_ms"):
            if getattr(self, key) < 1:
                raise ValueError(f"{key}: not 1 or more")
        for key in ("target", "standing", "warm", "done"):
            if not 0 < getattr(self, key) <= PERMILLE:
                raise ValueError(f"{key}: not 1 to {PERMILLE}")
        if not 0 <= self.least_in_set <= self.spread:
            raise ValueError("least_in_set: not 0 to spread")
        if self.warm > self.done:
            raise ValueError("warm: above done")

    @property
    def expired_session_wait_ms(self) -> int:
        """How long after the end of a session every request that its proxy may have sent has certainly ended.

        Includes 1% for the drift of clocks.
        """
        return (self.alone_ms + self.flight_ms) * 101 // 100

    @property
    def overhead_ms(self) -> int:
        """The expected time that a work item takes beside the maintenance itself."""
        return self.drain_ms + self.warming_ms
