"""An upper bound on how long the split of a shard takes, from the splits before it.

The copy rate is assumed to be lognormal; the bound is that of one future value, from the observed rates and a
prior that counts as `PRIOR_OBSERVATIONS` of them. Source: Hahn and Meeker, "Statistical Intervals" (1991),
section 4.7, prediction of one future value.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

MAX_OBSERVATIONS = 64
PRIOR_OBSERVATIONS = 4
PRIOR_BYTES_PER_DAY = 200e9
PRIOR_DEVIATION = 0.5  # of the natural logarithm of the rate
BOUND_DEVIATIONS = 2.33  # standard deviations: 99 of 100 stay below
FIXED_DAYS = 1.0  # for the plan, the proofs and the window in which keyed requests are repeated


@dataclass(frozen=True, slots=True)
class CompletedSplit:
    """How many bytes an earlier split copied, and in how many days."""

    bytes: float
    days: float


def duration_bound_days(
    bytes_to_copy: float, completed: Sequence[CompletedSplit], deviations: float = BOUND_DEVIATIONS
) -> float:
    """Days that 99 of 100 splits of this size don't exceed, by the default number of deviations."""
    usable = [each for each in completed[-MAX_OBSERVATIONS:] if each.bytes > 0 and each.days > 0]
    log_rates = [math.log(each.bytes / each.days) for each in usable]
    count = PRIOR_OBSERVATIONS + len(log_rates)
    mean = (PRIOR_OBSERVATIONS * math.log(PRIOR_BYTES_PER_DAY) + sum(log_rates)) / count
    squares = PRIOR_OBSERVATIONS * PRIOR_DEVIATION**2 + sum((rate - mean) ** 2 for rate in log_rates)
    deviation = math.sqrt(squares / count * (1 + 1 / count))
    return FIXED_DAYS + bytes_to_copy / math.exp(mean - deviations * deviation)
