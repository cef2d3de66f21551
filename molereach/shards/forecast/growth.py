"""Bytes written per day, from counts that are read once a day.

Days without a reading and days on which a counter restarted are unknown, not days without growth.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

MAX_HISTORY_DAYS = 800  # older readings are ignored
MIN_DAILY_BYTES = 1.0  # so that each day has a logarithm

Floats = NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class DailyGrowth:
    """The natural logarithm of each day's bytes, NaN for an unknown day."""

    first_day: int  # as `date.toordinal`
    log_bytes: Floats
    gaps: int
    restarts: int


def daily_growth(first_day: int, counts: Sequence[int | None]) -> DailyGrowth:
    """The growth by cumulative counts, one a day, None for a day without a reading.

    A count below the one before comes from a counter that restarted: the bytes of that day are unknown.
    """
    counts, first_day = counts[-MAX_HISTORY_DAYS:], first_day + max(0, len(counts) - MAX_HISTORY_DAYS)
    log_bytes = np.full(max(0, len(counts) - 1), np.nan)
    gaps = restarts = 0
    for day in range(1, len(counts)):
        previous, current = counts[day - 1], counts[day]
        if previous is None or current is None:
            gaps += 1
        elif current < previous:
            restarts += 1
        else:
            log_bytes[day - 1] = np.log(max(MIN_DAILY_BYTES, current - previous))
    return DailyGrowth(first_day + 1, log_bytes, gaps, restarts)
