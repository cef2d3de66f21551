"""Simulated years of one shard: forecast, scheduled and split, or split at a fixed threshold of 80%."""

from dataclasses import dataclass

import numpy as np

from molereach.shards.forecast.model import FittedParameters
from molereach.shards.forecast.size_forecast import forecast_sizes
from molereach.shards.map.shard_map import CellId
from molereach.shards.schedule.deadline import full_dates
from molereach.shards.schedule.duration import PRIOR_BYTES_PER_DAY, PRIOR_DEVIATION, duration_bound_days
from molereach.shards.schedule.planner import PendingSplit, plan_splits
from tests.shards.forecast.generated_series import FIRST_DAY, generate_daily_bytes, history_until

HISTORY, YEAR, HORIZON = 400, 320, 75
THRESHOLD = 0.8
NEEDLESS_DAYS = 60  # a split was needless if the shard would not have been full this long after its start
SOURCE, TARGET = CellId("b", "c1"), CellId("b", "c2")


class TwoInTen:
    """Upkeep occupies the cells for 2 days in 10."""

    def next_free(self, cell: CellId, from_day: float) -> tuple[float, float]:
        day_of_cycle = from_day % 10
        start = from_day if day_of_cycle < 8 else from_day - day_of_cycle + 10
        return start, start - start % 10 + 8


@dataclass
class Year:
    """How a simulated year went."""

    full_before_split: bool = False
    needless: bool = False
    split_day: int | None = None
    forecasts: int = 0


def after_split(year: Year, split_day: int, days: float, sizes: np.ndarray, capacity: float) -> Year:
    """The result of a split that started on a day of the series and took `days`."""
    end = min(len(sizes) - 1, int(np.ceil(split_day + days)))
    year.split_day = split_day
    year.full_before_split = bool(sizes[end] >= capacity)
    year.needless = bool(sizes[min(len(sizes) - 1, split_day + NEEDLESS_DAYS)] < capacity)
    return year


def generate_year(seed: int) -> tuple[np.ndarray, np.ndarray, float, float]:
    """Daily bytes, sizes, the capacity, and how many days the split really takes."""
    generator = np.random.default_rng(seed + 70_000)
    daily = generate_daily_bytes(seed, HISTORY + YEAR + NEEDLESS_DAYS + 30)
    sizes = np.cumsum(daily)
    capacity = float(sizes[HISTORY] + generator.uniform(0.12, 1.2) * (sizes[HISTORY + YEAR] - sizes[HISTORY]))
    rate = PRIOR_BYTES_PER_DAY * float(np.exp(generator.normal(0, PRIOR_DEVIATION)))
    return daily, sizes, capacity, 1 + min(6.0, capacity / 2 / rate)


def year_by_forecast(seed: int, by_bound: bool = True) -> Year:
    """A year in which the split is scheduled by forecasts."""
    daily, sizes, capacity, days = generate_year(seed)
    year, fitted, day = Year(), None, HISTORY
    while day < HISTORY + YEAR:
        if sizes[day] >= capacity:
            year.full_before_split = True
            return year
        forecast = forecast_sizes(history_until(daily, seed, day + 1), HORIZON, seed, fitted)
        fitted: FittedParameters | None = forecast.fitted
        year.forecasts += 1
        dates = full_dates(forecast, capacity)
        deadline = dates.deadline_day if by_bound else dates.likely
        if deadline is None:
            day += 14
            continue
        max_days = min(7.5, duration_bound_days(capacity / 2, []))
        split = PendingSplit(1, SOURCE, TARGET, deadline - FIRST_DAY, max_days)
        scheduled = plan_splits([split], day, TwoInTen()).scheduled
        start = scheduled[0].start_day
        if start <= day + 1:
            return after_split(year, max(day, int(np.ceil(start))), days, sizes, capacity)
        day += max(1, int((start - day) * 0.6))
    return year


def year_by_threshold(seed: int) -> Year:
    """A year in which the shard is split once it reaches the threshold."""
    _, sizes, capacity, days = generate_year(seed)
    for day in range(HISTORY, HISTORY + YEAR):
        if sizes[day] >= THRESHOLD * capacity:
            return after_split(Year(), day, days, sizes, capacity)
    return Year()
