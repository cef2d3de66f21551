"""The structural time series of a shard's growth, and paths simulated from it.

Source: Harvey, "Forecasting, Structural Time Series Models and the Kalman Filter" (1989); statsmodels'
`UnobservedComponents`. The logarithm of a day's bytes is a local level, with a linear trend once enough days
are known, and the effects are states of their own; the filter itself skips unknown days.
"""

import warnings
from dataclasses import dataclass

import numpy as np
from statsmodels.tsa.statespace.structural import UnobservedComponents  # type: ignore[import-untyped]

from molereach.shards.forecast.growth import Floats

PATH_COUNT = 400
MAX_ITERATIONS = 60
MIN_TREND_DAYS = 90  # known days before a trend is extrapolated
MAX_LOG_BYTES = 60.0  # keeps simulated paths within the range of a float


@dataclass(frozen=True, slots=True)
class FittedParameters:
    """The estimated variances of the model: that of single days and that of the level."""

    params: tuple[float, ...]


def simulate_paths(
    log_bytes: Floats,
    past_effects: Floats,
    future_effects: Floats,
    seed: int,
    fitted: FittedParameters | None = None,
) -> tuple[Floats, FittedParameters]:
    """Logarithms of each future day's bytes (rows) by path (columns), and the parameters of the model.

    With `fitted` the parameters are not estimated anew.
    """
    known = int(np.isfinite(log_bytes).sum())
    trend = "lldtrend" if known >= MIN_TREND_DAYS else "llevel"
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")  # a fit that stopped early still gives a usable interval
        model = UnobservedComponents(log_bytes, trend, exog=past_effects, mle_regression=False)
        if fitted is None:
            result = model.fit(disp=False, maxiter=MAX_ITERATIONS, method="lbfgs")
        else:
            result = model.smooth(np.array(fitted.params))
        simulated = result.simulate(
            len(future_effects),
            anchor="end",
            repetitions=PATH_COUNT,
            exog=future_effects,
            rng=np.random.default_rng(seed),
        )
    paths = np.asarray(simulated, dtype=np.float64).reshape(len(future_effects), PATH_COUNT)
    return np.clip(paths, -MAX_LOG_BYTES, MAX_LOG_BYTES), FittedParameters(
        tuple(float(each) for each in result.params)
    )
