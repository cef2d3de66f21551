"""What a day is: its weekday, whether it is in the khareef (21 June to 21 September), and after which changes
of a tariff. Each is a column, whose weight is learned with its own uncertainty."""

from collections.abc import Sequence
from datetime import date

import numpy as np

from molereach.shards.forecast.growth import Floats

KHAREEF = ((6, 21), (9, 21))  # first and last month and day
LEAST_SEEN_DAYS = 21  # of the khareef, and outside of it, before its weight is learned


def in_khareef(day: int) -> bool:
    when = date.fromordinal(day)
    return KHAREEF[0] <= (when.month, when.day) <= KHAREEF[1]


def khareef_column(days: Sequence[int]) -> Floats:
    return np.array([1.0 if in_khareef(day) else 0.0 for day in days])


def week_columns(days: Sequence[int]) -> Floats:
    """Six that sum to nothing over a week."""
    found = np.zeros((len(days), 6))
    for at, day in enumerate(days):
        if day % 7 == 6:
            found[at] = -1.0
        else:
            found[at, day % 7] = 1.0
    return found


def columns(days: Sequence[int], khareef: bool, changes: Sequence[int]) -> Floats:
    parts = [week_columns(days)]
    if khareef:
        parts.append(khareef_column(days)[:, None])
    parts += [np.array([1.0 if day >= change else 0.0 for day in days])[:, None] for change in changes]
    return np.hstack(parts)


def khareef_seen(days: Sequence[int], known: Floats) -> bool:
    """Whether enough of both was seen to learn how they differ."""
    inside = khareef_column(days)[known.astype(bool)]
    return bool(min(inside.sum(), len(inside) - inside.sum()) >= LEAST_SEEN_DAYS)
