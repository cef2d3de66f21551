"""What an operator sets for works. The same at all front doors, as the state machine judges by it."""

from dataclasses import dataclass

from molereach.upkeep.requests.work_item import MINUTE_MS
from molereach.upkeep.rules.fleet_facts import WHOLE

MonthDay = tuple[int, int]
MOST_DAYS = (31, 29, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31)


@dataclass(frozen=True, slots=True)
class Season:
    """Days, the first and the last included, in UTC; over the year's end where the last comes first."""

    first: MonthDay
    last: MonthDay

    def __post_init__(self) -> None:
        for name, (month, day) in (("first", self.first), ("last", self.last)):
            if not 1 <= month <= 12 or not 1 <= day <= MOST_DAYS[month - 1]:
                raise ValueError(f"seasons.{name}: no such day: {month:02}-{day:02}")


@dataclass(frozen=True, slots=True)
class UpkeepSettings:
    """ValueError, with the key, where they cannot be."""

    most_out: int = 4  # machines away at once, in all
    most_out_cell: int = 2
    most_out_zone: int = 3
    least_ready_cell: int = 2  # servers
    least_ready_zone: int = 2
    target: int = 700  # of WHOLE: the mean load that is still well
    spread: int = 3  # front doors in a customer's set
    least_in_set: int = 2
    seasons: tuple[Season, ...] = ()
    standing: int = 250  # of WHOLE of each cell's servers, for front doors that are long without a session
    fresh_ms: int = 30_000  # older facts decide nothing
    drain_ms: int = 2 * MINUTE_MS  # how long draining is planned to take
    warming_ms: int = 5 * MINUTE_MS
    warm: int = 300  # of WHOLE: warm enough to be sent requests again
    done: int = 900
    closing_ms: int = 60 * MINUTE_MS  # before a window closes, its work presses
    most_passed: int = 8  # later works before one that could not go
    slack_ms: int = 10 * MINUTE_MS  # beyond its minutes, until it is overdue
    lost_ms: int = 120 * MINUTE_MS  # overdue, until it is lost
    alone_ms: int = 10 * MINUTE_MS  # for which a front door keeps to its servers without a session
    flight_ms: int = 60_000  # the longest that a request is under way

    def __post_init__(self) -> None:
        for key in ("most_out", "most_out_cell", "most_out_zone", "spread", "most_passed", "fresh_ms"):
            if getattr(self, key) < 1:
                raise ValueError(f"{key}: not 1 or more")
        for key in ("target", "standing", "warm", "done"):
            if not 0 < getattr(self, key) <= WHOLE:
                raise ValueError(f"{key}: not 1 to {WHOLE}")
        if not 0 <= self.least_in_set <= self.spread:
            raise ValueError("least_in_set: not 0 to spread")
        if self.warm > self.done:
            raise ValueError("warm: above done")

    @property
    def over_wait_ms(self) -> int:
        """From a session's end on, until what its front door may have sent is surely answered; clocks that
        run wrong by a hundredth are allowed for."""
        return (self.alone_ms + self.flight_ms) * 101 // 100

    @property
    def away_ms(self) -> int:
        """What a work is planned to take beside its own minutes."""
        return self.drain_ms + self.warming_ms
