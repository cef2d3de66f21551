"""Bytes written on each day, from counts read once a day: gaps, and counters that started anew, are unknown
days and not days without growth."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

MOST_DAYS = 800  # of history that is looked at
LEAST_BYTES = 1.0  # of a day, so that it has a logarithm

Floats = NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class Growth:
    """`log` is of the bytes of each day, NaN where they are not known."""

    first_day: int  # as `date.toordinal`
    log: Floats
    gaps: int
    restarts: int


def growth(first_day: int, counts: Sequence[int | None]) -> Growth:
    """Of cumulative counts, one a day, None where there was none.

    A count below the one before is of a counter that started anew: how much that day wrote is not known.
    """
    counts, first_day = counts[-MOST_DAYS:], first_day + max(0, len(counts) - MOST_DAYS)
    found = np.full(max(0, len(counts) - 1), np.nan)
    gaps = restarts = 0
    for day in range(1, len(counts)):
        before, now = counts[day - 1], counts[day]
        if before is None or now is None:
            gaps += 1
        elif now < before:
            restarts += 1
        else:
            found[day - 1] = np.log(max(LEAST_BYTES, now - before))
    return Growth(first_day + 1, found, gaps, restarts)
