"""Regressors of the growth model: the weekday, the khareef (the monsoon season, 21 June to 21 September) and
tariff changes. Each is a column, whose coefficient is estimated with its own uncertainty."""

from collections.abc import Sequence
from datetime import date

import numpy as np

from molereach.shards.forecast.growth import Floats

KHAREEF = ((6, 21), (9, 21))  # first and last month and day
MIN_KNOWN_DAYS = 21  # inside the khareef and outside of it, before its coefficient is estimated


def in_khareef(day: int) -> bool:
    """Whether a day, as `date.toordinal` counts it, is in the khareef."""
    calendar_date = date.fromordinal(day)
    return KHAREEF[0] <= (calendar_date.month, calendar_date.day) <= KHAREEF[1]


def khareef_column(days: Sequence[int]) -> Floats:
    """1 for each day in the khareef, else 0."""
    return np.array([1.0 if in_khareef(day) else 0.0 for day in days])


def week_columns(days: Sequence[int]) -> Floats:
    """Six columns for the weekdays, each with the sum 0 over a week."""
    columns = np.zeros((len(days), 6))
    for row, day in enumerate(days):
        if day % 7 == 6:
            columns[row] = -1.0
        else:
            columns[row, day % 7] = 1.0
    return columns


def effect_columns(days: Sequence[int], khareef: bool, changes: Sequence[int]) -> Floats:
    """All regressors: the week, the khareef if it is asked for, and a step from the day of each change on."""
    columns = [week_columns(days)]
    if khareef:
        columns.append(khareef_column(days)[:, None])
    columns += [np.array([1.0 if day >= change else 0.0 for day in days])[:, None] for change in changes]
    return np.hstack(columns)


def khareef_observed(days: Sequence[int], known: Floats) -> bool:
    """Whether enough days inside and outside the khareef are known to estimate its effect."""
    inside = khareef_column(days)[known.astype(bool)]
    return bool(min(inside.sum(), len(inside) - inside.sum()) >= MIN_KNOWN_DAYS)
