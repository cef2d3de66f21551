"""When a shard is full, by a forecast's upper bound: by its middle, half of all would be full sooner."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

SPARE_DAYS = 4  # the day itself, one look a day, and the one in twenty in which the bound fails by days


class Sizes(Protocol):
    """Of a forecast: what this needs."""

    @property
    def first_day(self) -> int:
        """As `date.toordinal`."""

    @property
    def middle(self) -> Sequence[float]:
        """Bytes at the end of each day: the median."""

    @property
    def high(self) -> Sequence[float]:
        """The upper bound: the quantile at 0.95."""


@dataclass(frozen=True, slots=True)
class Full:
    """The first day at whose end the shard may be full, and the one at which it is as likely as not.

    None where that is not within the forecast.
    """

    may_be: int | None
    likely: int | None

    @property
    def deadline_day(self) -> float | None:
        """When its split is to be over at the latest."""
        return None if self.may_be is None else float(self.may_be - SPARE_DAYS)


def bound(sizes: Sizes) -> Sequence[float]:
    """What the schedule goes by."""
    return sizes.high


def full(sizes: Sizes, capacity_bytes: float) -> Full:
    return Full(
        _first(sizes.first_day, bound(sizes), capacity_bytes),
        _first(sizes.first_day, sizes.middle, capacity_bytes),
    )


def _first(first_day: int, sizes: Sequence[float], capacity_bytes: float) -> int | None:
    return next((first_day + at for at, size in enumerate(sizes) if size >= capacity_bytes), None)
