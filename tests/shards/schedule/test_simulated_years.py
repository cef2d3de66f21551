"""Simulated years, a sample of 1,000: shards are split before they are full, and few splits are needless."""

import pytest

pytest.importorskip("statsmodels")

from tests.shards.schedule.simulated_years import year_by_forecast, year_by_threshold

SEEDS = (0, 23)  # planning by the median of the forecast is too late in some of them


def test_planning_by_the_bound_is_in_time_with_fewer_needless_splits_than_a_threshold() -> None:
    years = [year_by_forecast(seed) for seed in SEEDS]
    assert not any(year.full_before_split for year in years)
    assert sum(year.needless for year in years) < sum(year_by_threshold(seed).needless for seed in SEEDS)


def test_planning_by_the_median_instead_of_the_bound_is_too_late() -> None:
    assert any(year_by_forecast(seed, by_bound=False).full_before_split for seed in SEEDS)
