"""Nothing is out on a day of a season. Days are those of the proleptic Gregorian calendar, in UTC, from the
entry's time by whole numbers alone (Hinnant, "chrono-Compatible Low-Level Date Algorithms"): any time has
one."""

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.scene import Scene, Stop
from molereach.upkeep.rules.settings import MonthDay, Season

DAY_MS = 86_400_000
_TO_EPOCH_DAYS = 719_468  # from 0000-03-01
_ERA_DAYS = 146_097  # 400 years


def month_day(at_ms: int) -> MonthDay:
    days = (at_ms // DAY_MS + _TO_EPOCH_DAYS) % _ERA_DAYS
    year = (days - days // 1460 + days // 36_524 - days // 146_096) // 365
    of_year = days - (365 * year + year // 4 - year // 100)
    shifted = (5 * of_year + 2) // 153  # months from March
    return (shifted + 2) % 12 + 1, of_year - (153 * shifted + 2) // 5 + 1


def within(day: MonthDay, season: Season) -> bool:
    if season.first <= season.last:
        return season.first <= day <= season.last
    return day >= season.first or day <= season.last


def open_ms(at_ms: int, kept: tuple[Season, ...]) -> int:
    """When it is next no day of a season; at the latest after a year, where every day is one."""
    for number in range(at_ms // DAY_MS, at_ms // DAY_MS + 367):
        if not any(within(month_day(number * DAY_MS), season) for season in kept):
            break
    return max(at_ms, number * DAY_MS)


def seasons(scene: Scene, work: Work) -> Stop | None:
    last = (scene.at_ms + work.took_ms) // DAY_MS  # a work takes days at most, so few are looked at
    for number in range(scene.at_ms // DAY_MS, last + 1) if scene.settings.seasons else ():
        day = month_day(number * DAY_MS)
        if any(within(day, season) for season in scene.settings.seasons):
            return Stop("seasons", (), f"nothing is out on {day[0]:02}-{day[1]:02}")
    return None
