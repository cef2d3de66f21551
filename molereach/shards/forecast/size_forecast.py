"""The size of a shard on each day to come, as quantiles, and why they lie far apart where they do."""

from dataclasses import dataclass

import numpy as np

from molereach.shards.forecast.effects import columns, in_khareef, khareef_column, khareef_seen
from molereach.shards.forecast.growth import Floats, Growth, growth
from molereach.shards.forecast.model import PATHS, Fit, paths
from molereach.shards.forecast.step_changes import found_changes

QUANTILES = (0.05, 0.5, 0.95)
MOST_HORIZON_DAYS = 366
LEAST_DAYS = 28  # known, for a model
NEW_SPREAD = 1.0  # of the logarithm of a new shard's growth, about what others had
KHAREEF_EFFECT, KHAREEF_SPREAD = 0.4, 0.4  # where a khareef is to come that was never seen
TARIFF_SPREAD = 0.3  # of a change that is announced and not yet in effect
TYPICAL_BYTES = 1 << 30  # a day, where nothing at all is known
MANY_UNKNOWN = 0.1  # part of the days


@dataclass(frozen=True, slots=True)
class Past:
    """What is known of a shard: its size, and cumulative counts, one a day, of which the last is today's."""

    size_bytes: int
    first_day: int
    counts: tuple[int | None, ...]
    changes: tuple[int, ...] = ()  # days of tariff changes that were given, also to come
    typical_bytes: float = TYPICAL_BYTES  # a day, of shards like it


@dataclass(frozen=True, slots=True)
class Outlook:
    """Sizes in bytes at the end of each day from `first_day`; 90% lie from `low` to `high`."""

    first_day: int
    low: tuple[float, ...]
    middle: tuple[float, ...]
    high: tuple[float, ...]
    growth: tuple[float, ...]  # the median of each day's bytes
    wide: tuple[str, ...]  # why the interval is wide
    fit: Fit | None  # to be given again, so that variances are not learned anew each day


def outlook(past: Past, horizon: int, seed: int, fit: Fit | None = None) -> Outlook:
    """Of `horizon` days; the same past and seed give the same. ValueError for a horizon out of range."""
    if not 1 <= horizon <= MOST_HORIZON_DAYS:
        raise ValueError(f"horizon: {horizon} is not 1 to {MOST_HORIZON_DAYS} days")
    history = growth(past.first_day, past.counts)
    today = past.first_day + len(past.counts) - 1
    later = [today + 1 + day for day in range(horizon)]
    known = int(np.isfinite(history.log).sum())
    wide: list[str] = []
    if known < LEAST_DAYS:
        wide.append(f"new: {known} days are known")
        drawn, learned = _new(history, past.typical_bytes, horizon, seed), None
    else:
        drawn, learned = _modelled(history, past, later, seed, fit, wide)
    days = len(history.log)
    if days and (history.gaps + history.restarts) / days > MANY_UNKNOWN:
        wide.append(f"gaps: {history.gaps + history.restarts} of {days} days are not known")
    if history.restarts:
        wide.append(f"counter: it started anew {history.restarts} times")
    daily = np.exp(drawn)
    low, middle, high = np.quantile(past.size_bytes + np.cumsum(daily, axis=0), QUANTILES, axis=1)
    return Outlook(
        later[0],
        tuple(low),
        tuple(middle),
        tuple(high),
        tuple(np.median(daily, axis=1)),
        tuple(wide),
        learned,
    )


def _new(history: Growth, typical_bytes: float, horizon: int, seed: int) -> Floats:
    """About what others had, and what little is known: the more of it, the nearer."""
    draw = np.random.default_rng(seed)
    known = history.log[np.isfinite(history.log)]
    weight = len(known) / (len(known) + 7)
    middle = (1 - weight) * np.log(typical_bytes) + (weight * float(np.median(known)) if len(known) else 0.0)
    level = middle + NEW_SPREAD * (1 - weight / 2) * draw.standard_normal(PATHS)
    drift = 0.01 * draw.standard_normal(PATHS) * np.arange(horizon)[:, None]
    found: Floats = level + drift + 0.3 * draw.standard_normal((horizon, PATHS))
    return found


def _modelled(
    history: Growth, past: Past, later: list[int], seed: int, fit: Fit | None, wide: list[str]
) -> tuple[Floats, Fit]:
    days = [history.first_day + at for at in range(len(history.log))]
    known = np.isfinite(history.log)
    seen = khareef_seen(days, known.astype(np.float64))
    given = [day for day in past.changes if days[0] + 7 <= day <= days[-1] - 6]
    steps = given or found_changes(history.first_day, history.log - _khareef_step(days, history.log, seen))
    steps = [day for day in steps if known[: day - days[0]].sum() >= 7 <= known[day - days[0] :].sum()]
    if steps and days[-1] - steps[-1] < LEAST_DAYS:
        wide.append(f"tariff: changed {days[-1] - steps[-1] + 1} days ago")
    drawn, learned = paths(
        history.log,
        columns(days, seen, steps),
        columns(later, seen, steps),
        seed,
        fit if fit and _fits(fit, known) else None,
    )
    draw = np.random.default_rng(seed + 1)
    if not seen and any(in_khareef(day) for day in later) and not in_khareef(days[-1]):
        wide.append("khareef: none was seen yet")
        effect = KHAREEF_EFFECT + KHAREEF_SPREAD * draw.standard_normal(PATHS)
        drawn = drawn + khareef_column(later)[:, None] * effect
    for change in past.changes:
        if change > days[-1] - 6:
            wide.append("tariff: a change is to come, or new, of which nothing is known")
            after = np.array([1.0 if day >= change else 0.0 for day in later])
            drawn = drawn + after[:, None] * TARIFF_SPREAD * draw.standard_normal(PATHS)
    return drawn, learned


def _khareef_step(days: list[int], log: Floats, seen: bool) -> Floats:
    """What the khareef adds, roughly, so that its beginning is not taken for a tariff's change."""
    inside = khareef_column(days)
    if not seen:
        return np.zeros(len(days))
    added: Floats = inside * (np.nanmedian(log[inside > 0]) - np.nanmedian(log[inside == 0]))
    return added


def _fits(fit: Fit, known: Floats) -> bool:
    """Whether it is of a model with as many variances: of the day and of the level."""
    return len(fit.params) == 2
