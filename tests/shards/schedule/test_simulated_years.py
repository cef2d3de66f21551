"""Some drawn years, of the 1,000 that are run beside: split before they are full, and few without need."""

import pytest

pytest.importorskip("statsmodels")

from tests.shards.schedule.simulated_years import by_forecast, by_mark

SEEDS = (0, 23)  # by the middle of the forecast, some of them are too late


def test_years_by_the_bound_are_in_time_and_with_fewer_needless_splits_than_by_a_mark() -> None:
    years = [by_forecast(seed) for seed in SEEDS]
    assert not any(year.full_before for year in years)
    assert sum(year.needless for year in years) < sum(by_mark(seed).needless for seed in SEEDS)


def test_the_middle_in_place_of_the_bound_is_found() -> None:
    assert any(by_forecast(seed, by_bound=False).full_before for seed in SEEDS)
