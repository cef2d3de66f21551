"""Rule: no maintenance on the days of a season.

Days are those of the proleptic Gregorian calendar in UTC. They are computed from the time of the entry by
integer arithmetic (Hinnant, "chrono-Compatible Low-Level Date Algorithms"), so that every time has a day.
"""

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.scene import Blocker, Scene
from molereach.upkeep.rules.settings import MonthDay, Season

DAY_MS = 86_400_000
_TO_EPOCH_DAYS = 719_468  # from 0000-03-01 to 1970-01-01
_ERA_DAYS = 146_097  # 400 years


def month_day(at_ms: int) -> MonthDay:
    """The month and day of a Unix time."""
    days = (at_ms // DAY_MS + _TO_EPOCH_DAYS) % _ERA_DAYS
    year = (days - days // 1460 + days // 36_524 - days // 146_096) // 365
    day_of_year = days - (365 * year + year // 4 - year // 100)
    month_from_march = (5 * day_of_year + 2) // 153  # 0 for March
    return (month_from_march + 2) % 12 + 1, day_of_year - (153 * month_from_march + 2) // 5 + 1


def is_in_season(day: MonthDay, season: Season) -> bool:
    """Whether a day is in a season."""
    if season.first <= season.last:
        return season.first <= day <= season.last
    return day >= season.first or day <= season.last


def next_open_ms(at_ms: int, seasons: tuple[Season, ...]) -> int:
    """The first time from `at_ms` on that is in no season; at most a year later, if every day is in one."""
    for number in range(at_ms // DAY_MS, at_ms // DAY_MS + 367):
        if not any(is_in_season(month_day(number * DAY_MS), season) for season in seasons):
            break
    return max(at_ms, number * DAY_MS)


def check_seasons(scene: Scene, work: WorkItem) -> Blocker | None:
    """Blocks an item that would reach into a season."""
    last_day = (
        scene.at_ms + work.duration_ms
    ) // DAY_MS  # an item takes at most 7 days, so the loop is short
    for number in range(scene.at_ms // DAY_MS, last_day + 1) if scene.settings.seasons else ():
        day = month_day(number * DAY_MS)
        if any(is_in_season(day, season) for season in scene.settings.seasons):
            return Blocker("seasons", (), f"nothing is out on {day[0]:02}-{day[1]:02}")
    return None
