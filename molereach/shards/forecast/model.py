"""The structural time series of a shard's growth, and paths drawn from it.

Source: Harvey, "Forecasting, Structural Time Series Models and the Kalman Filter" (1989); statsmodels'
`UnobservedComponents`. The logarithm of a day's bytes is a level that drifts and wanders, with the effects as
states of their own; days that are not known are left out by the filter itself.
"""

import warnings
from dataclasses import dataclass

import numpy as np
from statsmodels.tsa.statespace.structural import UnobservedComponents  # type: ignore[import-untyped]

from molereach.shards.forecast.growth import Floats

PATHS = 400
MOST_ITERATIONS = 60
LEAST_TREND_DAYS = 90  # known, before a trend is taken to go on
MOST_LOG = 60.0  # a path does not go beyond what a number holds


@dataclass(frozen=True, slots=True)
class Fit:
    """What was learned: the variances of single days and of the level."""

    params: tuple[float, ...]


def paths(log: Floats, now: Floats, later: Floats, seed: int, fit: Fit | None = None) -> tuple[Floats, Fit]:
    """Logarithms of each later day's bytes, by path; `now` and `later` are the effects' columns."""
    known = int(np.isfinite(log).sum())
    trend = "lldtrend" if known >= LEAST_TREND_DAYS else "llevel"
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")  # of a fit that stopped early: the interval is judged, not the fit
        model = UnobservedComponents(log, trend, exog=now, mle_regression=False)
        if fit is None:
            result = model.fit(disp=False, maxiter=MOST_ITERATIONS, method="lbfgs")
        else:
            result = model.smooth(np.array(fit.params))
        drawn = result.simulate(
            len(later), anchor="end", repetitions=PATHS, exog=later, rng=np.random.default_rng(seed)
        )
    found = np.asarray(drawn, dtype=np.float64).reshape(len(later), PATHS)
    return np.clip(found, -MOST_LOG, MOST_LOG), Fit(tuple(float(each) for each in result.params))
