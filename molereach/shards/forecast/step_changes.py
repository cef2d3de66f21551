"""Detection of lasting steps in a shard's growth, such as a tariff change that nobody announced.

The weekly pattern is removed by medians. A step is the day at which the medians of the 3 weeks before and
after differ most, by at least `MIN_STEP` and by `MIN_STEP_RATIO` times the deviation of single days. Source:
Page, "Continuous Inspection Schemes" (1954), here with one window on each side, which tolerates gaps and
outliers.
"""

import numpy as np

from molereach.shards.forecast.growth import Floats

WINDOW_DAYS = 21  # on each side of a step
MIN_KNOWN_DAYS = 10  # in each window
MIN_STEP = 0.25  # of the natural logarithm
MIN_STEP_RATIO = 2.0  # to the standard deviation of single days
MAX_STEP_CHANGES = 3


def find_step_changes(first_day: int, log_bytes: Floats) -> list[int]:
    """The first day of each new level of growth, in order."""
    deseasonalized = log_bytes.copy()
    for weekday in range(7):
        values = deseasonalized[weekday::7]
        if np.isfinite(values).sum() >= 2:
            deseasonalized[weekday::7] = values - np.nanmedian(values)
    steps = np.array([_step_size(deseasonalized, index) for index in range(len(deseasonalized))])
    changes: list[int] = []
    while len(changes) < MAX_STEP_CHANGES and len(steps) and steps.max() > 0:
        index = int(steps.argmax())
        changes.append(first_day + index)
        steps[max(0, index - 2 * WINDOW_DAYS) : index + 2 * WINDOW_DAYS] = 0
    return sorted(changes)


def _step_size(values: Floats, index: int) -> float:
    """The size of the step at this day; 0 if there is none."""
    before, after = values[max(0, index - WINDOW_DAYS) : index], values[index : index + WINDOW_DAYS]
    before, after = before[np.isfinite(before)], after[np.isfinite(after)]
    if min(len(before), len(after)) < MIN_KNOWN_DAYS:
        return 0.0
    median_before, median_after = float(np.median(before)), float(np.median(after))
    deviation = (
        float(np.median(np.abs(np.concatenate((before - median_before, after - median_after))))) * 1.4826
    )
    step = abs(median_after - median_before)
    return step if step >= max(MIN_STEP, MIN_STEP_RATIO * deviation) else 0.0
