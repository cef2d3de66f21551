"""When a shard is full, by the forecast's upper bound; by the median, half of all shards would be late."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

MARGIN_DAYS = 4  # the day itself, planning once a day, and the 1 in 20 in which the bound is days too late


class ForecastSizes(Protocol):
    """The part of a forecast that is needed here."""

    @property
    def first_day(self) -> int:
        """The first day, as `date.toordinal`."""

    @property
    def median(self) -> Sequence[float]:
        """Bytes at the end of each day: the median."""

    @property
    def high(self) -> Sequence[float]:
        """Bytes at the end of each day: the quantile at 0.95."""


@dataclass(frozen=True, slots=True)
class FullDates:
    """The first day at whose end the shard may be full, by the upper bound, and the same by the median.

    None for a day beyond the forecast.
    """

    possible: int | None
    likely: int | None

    @property
    def deadline_day(self) -> float | None:
        """When the split must have ended."""
        return None if self.possible is None else float(self.possible - MARGIN_DAYS)


def upper_bound(sizes: ForecastSizes) -> Sequence[float]:
    """The sizes by which splits are scheduled."""
    return sizes.high


def full_dates(sizes: ForecastSizes, capacity_bytes: float) -> FullDates:
    """The days on which the shard reaches its capacity."""
    return FullDates(
        _first_full_day(sizes.first_day, upper_bound(sizes), capacity_bytes),
        _first_full_day(sizes.first_day, sizes.median, capacity_bytes),
    )


def _first_full_day(first_day: int, sizes: Sequence[float], capacity_bytes: float) -> int | None:
    return next((first_day + index for index, size in enumerate(sizes) if size >= capacity_bytes), None)
