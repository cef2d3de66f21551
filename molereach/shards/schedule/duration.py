"""How long the split of a shard takes, with its error, from the splits before it.

The rate at which bytes are copied is taken to be lognormal; the bound is of one more draw, by as many as were
seen, with what is assumed counted as `PRIOR_SEEN` of them. Source: Hahn and Meeker, "Statistical Intervals"
(1991), section 4.7, prediction of one future value.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

MOST_SEEN = 64
PRIOR_SEEN = 4
PRIOR_BYTES_A_DAY = 200e9
PRIOR_SPREAD = 0.5  # of the logarithm
SURE = 2.33  # standard deviations: 99 of 100
FIXED_DAYS = 1.0  # for the plan, the proofs and the window of keyed requests


@dataclass(frozen=True, slots=True)
class Took:
    """A split that is over: how many bytes were copied, and in how many days."""

    bytes: float
    days: float


def takes_days(bytes_to_copy: float, seen: Sequence[Took], sure: float = SURE) -> float:
    """So many days at most, in 99 of 100."""
    whole = [each for each in seen[-MOST_SEEN:] if each.bytes > 0 and each.days > 0]
    rates = [math.log(each.bytes / each.days) for each in whole]
    number = PRIOR_SEEN + len(rates)
    middle = (PRIOR_SEEN * math.log(PRIOR_BYTES_A_DAY) + sum(rates)) / number
    squares = PRIOR_SEEN * PRIOR_SPREAD**2 + sum((rate - middle) ** 2 for rate in rates)
    spread = math.sqrt(squares / number * (1 + 1 / number))
    return FIXED_DAYS + bytes_to_copy / math.exp(middle - sure * spread)
