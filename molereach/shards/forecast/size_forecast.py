"""The forecast of a shard's size on each coming day as quantiles, and the reasons for a wide interval."""

from dataclasses import dataclass

import numpy as np

from molereach.shards.forecast.effects import effect_columns, in_khareef, khareef_column, khareef_observed
from molereach.shards.forecast.growth import DailyGrowth, Floats, daily_growth
from molereach.shards.forecast.model import PATH_COUNT, FittedParameters, simulate_paths
from molereach.shards.forecast.step_changes import find_step_changes

QUANTILES = (0.05, 0.5, 0.95)
MAX_HORIZON_DAYS = 366
MIN_MODEL_DAYS = 28  # known days; a shard with fewer is forecast from the growth of other shards
NEW_SHARD_DEVIATION = 1.0  # of the logarithm of a new shard's daily bytes, about as among other shards
KHAREEF_EFFECT, KHAREEF_DEVIATION = 0.4, 0.4  # of the logarithm, for a first khareef
TARIFF_DEVIATION = 0.3  # of the logarithm, for a tariff change that is announced and not yet in effect
DEFAULT_DAILY_BYTES = 1 << 30  # if nothing is known of the shard or of others
GAP_WARNING_FRACTION = 0.1  # of the days


@dataclass(frozen=True, slots=True)
class ShardHistory:
    """What is known of a shard: its size, and cumulative counts, one a day, of which the last is today's."""

    size_bytes: int
    first_day: int
    counts: tuple[int | None, ...]
    tariff_changes: tuple[int, ...] = ()  # days of known tariff changes, also future ones
    typical_bytes: float = DEFAULT_DAILY_BYTES  # a day, of similar shards


@dataclass(frozen=True, slots=True)
class SizeForecast:
    """Sizes in bytes at the end of each day from `first_day`; 90% of the paths lie from `low` to `high`."""

    first_day: int
    low: tuple[float, ...]
    median: tuple[float, ...]
    high: tuple[float, ...]
    growth: tuple[float, ...]  # the median of each day's bytes
    uncertainty_reasons: tuple[str, ...]  # why the interval is wide
    fitted: FittedParameters | None  # for the next forecast, so that variances are not estimated each day


def forecast_sizes(
    history: ShardHistory, horizon: int, seed: int, fitted: FittedParameters | None = None
) -> SizeForecast:
    """The forecast for `horizon` days, deterministic by history and seed.

    ValueError for a horizon out of range.
    """
    if not 1 <= horizon <= MAX_HORIZON_DAYS:
        raise ValueError(f"horizon: {horizon} is not 1 to {MAX_HORIZON_DAYS} days")
    daily = daily_growth(history.first_day, history.counts)
    today = history.first_day + len(history.counts) - 1
    future_days = [today + 1 + day for day in range(horizon)]
    known = int(np.isfinite(daily.log_bytes).sum())
    reasons: list[str] = []
    if known < MIN_MODEL_DAYS:
        reasons.append(f"new: {known} days are known")
        log_paths, parameters = _new_shard_paths(daily, history.typical_bytes, horizon, seed), None
    else:
        log_paths, parameters = _model_paths(daily, history, future_days, seed, fitted, reasons)
    days = len(daily.log_bytes)
    if days and (daily.gaps + daily.restarts) / days > GAP_WARNING_FRACTION:
        reasons.append(f"gaps: {daily.gaps + daily.restarts} of {days} days are unknown")
    if daily.restarts:
        reasons.append(f"counter: restarted {daily.restarts} times")
    daily_bytes = np.exp(log_paths)
    low, median, high = np.quantile(history.size_bytes + np.cumsum(daily_bytes, axis=0), QUANTILES, axis=1)
    return SizeForecast(
        future_days[0],
        tuple(low),
        tuple(median),
        tuple(high),
        tuple(np.median(daily_bytes, axis=1)),
        tuple(reasons),
        parameters,
    )


def _new_shard_paths(daily: DailyGrowth, typical_bytes: float, horizon: int, seed: int) -> Floats:
    """Paths around the growth of similar shards, weighted with the few known days of this one."""
    generator = np.random.default_rng(seed)
    known = daily.log_bytes[np.isfinite(daily.log_bytes)]
    weight = len(known) / (len(known) + 7)
    center = (1 - weight) * np.log(typical_bytes) + (weight * float(np.median(known)) if len(known) else 0.0)
    baseline = center + NEW_SHARD_DEVIATION * (1 - weight / 2) * generator.standard_normal(PATH_COUNT)
    drift = 0.01 * generator.standard_normal(PATH_COUNT) * np.arange(horizon)[:, None]
    paths: Floats = baseline + drift + 0.3 * generator.standard_normal((horizon, PATH_COUNT))
    return paths


def _model_paths(
    daily: DailyGrowth,
    history: ShardHistory,
    future_days: list[int],
    seed: int,
    fitted: FittedParameters | None,
    reasons: list[str],
) -> tuple[Floats, FittedParameters]:
    """Paths of the model; appends to `reasons` why they vary widely."""
    days = [daily.first_day + index for index in range(len(daily.log_bytes))]
    known = np.isfinite(daily.log_bytes)
    observed = khareef_observed(days, known.astype(np.float64))
    announced = [day for day in history.tariff_changes if days[0] + 7 <= day <= days[-1] - 6]
    changes = announced or find_step_changes(
        daily.first_day, daily.log_bytes - _khareef_effect(days, daily.log_bytes, observed)
    )
    changes = [day for day in changes if known[: day - days[0]].sum() >= 7 <= known[day - days[0] :].sum()]
    if changes and days[-1] - changes[-1] < MIN_MODEL_DAYS:
        reasons.append(f"tariff: changed {days[-1] - changes[-1] + 1} days ago")
    log_paths, parameters = simulate_paths(
        daily.log_bytes,
        effect_columns(days, observed, changes),
        effect_columns(future_days, observed, changes),
        seed,
        fitted if fitted and _matches_model(fitted, known) else None,
    )
    generator = np.random.default_rng(seed + 1)
    if not observed and any(in_khareef(day) for day in future_days) and not in_khareef(days[-1]):
        reasons.append("khareef: none was observed yet")
        effect = KHAREEF_EFFECT + KHAREEF_DEVIATION * generator.standard_normal(PATH_COUNT)
        log_paths = log_paths + khareef_column(future_days)[:, None] * effect
    for change in history.tariff_changes:
        if change > days[-1] - 6:
            reasons.append("tariff: a change is too recent or still to come, its effect is unknown")
            after = np.array([1.0 if day >= change else 0.0 for day in future_days])
            log_paths = log_paths + after[:, None] * TARIFF_DEVIATION * generator.standard_normal(PATH_COUNT)
    return log_paths, parameters


def _khareef_effect(days: list[int], log_bytes: Floats, observed: bool) -> Floats:
    """A rough estimate of the khareef's effect, so that its start is not detected as a tariff change."""
    inside = khareef_column(days)
    if not observed:
        return np.zeros(len(days))
    effect: Floats = inside * (np.nanmedian(log_bytes[inside > 0]) - np.nanmedian(log_bytes[inside == 0]))
    return effect


def _matches_model(fitted: FittedParameters, known: Floats) -> bool:
    """Whether the parameters are those of a model with 2 variances, of single days and of the level."""
    return len(fitted.params) == 2
