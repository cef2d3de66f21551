"""Where the growth stepped to another level for good, as by a change of a tariff, where nobody said so.

The week's pattern is taken out by medians; a step is the day at which the medians of three weeks before and
after differ most, by at least `LEAST_STEP` and `LEAST_RATIO` of the spread. Source: Page, "Continuous
Inspection Schemes" (1954), as a window on each side, which bears gaps and outliers.
"""

import numpy as np

from molereach.shards.forecast.growth import Floats

SIDE_DAYS = 21
LEAST_KNOWN_DAYS = 10  # on each side
LEAST_STEP = 0.25  # of a logarithm
LEAST_RATIO = 2.0  # of the spread of single days
MOST_CHANGES = 3


def found_changes(first_day: int, log: Floats) -> list[int]:
    """The days, in order, from which on the level is another."""
    flat = log.copy()
    for weekday in range(7):
        part = flat[weekday::7]
        if np.isfinite(part).sum() >= 2:
            flat[weekday::7] = part - np.nanmedian(part)
    steps = np.array([_step(flat, at) for at in range(len(flat))])
    changes: list[int] = []
    while len(changes) < MOST_CHANGES and len(steps) and steps.max() > 0:
        at = int(steps.argmax())
        changes.append(first_day + at)
        steps[max(0, at - 2 * SIDE_DAYS) : at + 2 * SIDE_DAYS] = 0
    return sorted(changes)


def _step(flat: Floats, at: int) -> float:
    """How large the step at this day is; 0 where it is none."""
    before, after = flat[max(0, at - SIDE_DAYS) : at], flat[at : at + SIDE_DAYS]
    before, after = before[np.isfinite(before)], after[np.isfinite(after)]
    if min(len(before), len(after)) < LEAST_KNOWN_DAYS:
        return 0.0
    low, high = float(np.median(before)), float(np.median(after))
    spread = float(np.median(np.abs(np.concatenate((before - low, after - high))))) * 1.4826
    step = abs(high - low)
    return step if step >= max(LEAST_STEP, LEAST_RATIO * spread) else 0.0
