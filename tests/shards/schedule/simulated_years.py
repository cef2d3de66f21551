"""Drawn years of a shard's life: looked at, forecast, split; and beside it a fixed mark of 80%."""

from dataclasses import dataclass

import numpy as np

from molereach.shards.forecast.model import Fit
from molereach.shards.forecast.size_forecast import outlook
from molereach.shards.map.shard_map import Home
from molereach.shards.schedule.deadline import full
from molereach.shards.schedule.duration import PRIOR_BYTES_A_DAY, PRIOR_SPREAD, takes_days
from molereach.shards.schedule.planner import Wanted, calendar
from tests.shards.forecast.generated_series import FIRST_DAY, drawn_days, past_of

HISTORY, YEAR, HORIZON = 400, 320, 75
MARK = 0.8
NEEDLESS_DAYS = 60  # a split was needless where the shard would not have been full so long after it began
HERE, THERE = Home("b", "c1"), Home("b", "c2")


class TwoInTen:
    """Upkeep has the cells two days in ten."""

    def next_free(self, home: Home, from_day: float) -> tuple[float, float]:
        since = from_day % 10
        start = from_day if since < 8 else from_day - since + 10
        return start, start - start % 10 + 8


@dataclass
class Year:
    full_before: bool = False
    needless: bool = False
    begun: int | None = None
    looks: int = 0


def ends(year: Year, begun: int, days: float, sizes: np.ndarray, capacity: float) -> Year:
    """What came of a split that began on a day, counted from the first of the series."""
    over = min(len(sizes) - 1, int(np.ceil(begun + days)))
    year.begun = begun
    year.full_before = bool(sizes[over] >= capacity)
    year.needless = bool(sizes[min(len(sizes) - 1, begun + NEEDLESS_DAYS)] < capacity)
    return year


def drawn(seed: int) -> tuple[np.ndarray, np.ndarray, float, float]:
    """Daily bytes, sizes, the capacity, and how many days the split takes in truth."""
    draw = np.random.default_rng(seed + 70_000)
    daily = drawn_days(seed, HISTORY + YEAR + NEEDLESS_DAYS + 30)
    sizes = np.cumsum(daily)
    capacity = float(sizes[HISTORY] + draw.uniform(0.12, 1.2) * (sizes[HISTORY + YEAR] - sizes[HISTORY]))
    rate = PRIOR_BYTES_A_DAY * float(np.exp(draw.normal(0, PRIOR_SPREAD)))
    return daily, sizes, capacity, 1 + min(6.0, capacity / 2 / rate)


def by_forecast(seed: int, by_bound: bool = True) -> Year:
    daily, sizes, capacity, days = drawn(seed)
    year, fit, day = Year(), None, HISTORY
    while day < HISTORY + YEAR:
        if sizes[day] >= capacity:
            year.full_before = True
            return year
        found = outlook(past_of(daily, seed, day + 1), HORIZON, seed, fit)
        fit: Fit | None = found.fit
        year.looks += 1
        when = full(found, capacity)
        deadline = when.deadline_day if by_bound else when.likely
        if deadline is None:
            day += 14
            continue
        most_days = min(7.5, takes_days(capacity / 2, []))
        wanted = Wanted(1, HERE, THERE, deadline - FIRST_DAY, most_days)
        slots = calendar([wanted], day, TwoInTen()).slots
        begin = slots[0].begin_day
        if begin <= day + 1:
            return ends(year, max(day, int(np.ceil(begin))), days, sizes, capacity)
        day += max(1, int((begin - day) * 0.6))
    return year


def by_mark(seed: int) -> Year:
    _, sizes, capacity, days = drawn(seed)
    for day in range(HISTORY, HISTORY + YEAR):
        if sizes[day] >= MARK * capacity:
            return ends(Year(), day, days, sizes, capacity)
    return Year()
