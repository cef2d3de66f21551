"""Straight lines through measured points, by least squares."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass

Point = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Fit:
    """`figure = base + slope * size`, and how far the points lie from it."""

    slope: float  # of the figure's unit, for each unit of the size
    base: float  # of the figure's unit
    residual: float  # root of the mean square, of the figure's unit
    sizes: tuple[float, ...]

    def at(self, size: float) -> float:
        return self.base + self.slope * size

    def beyond(self, size: float) -> float:
        """Over how many times the largest measured size a value at `size` is extrapolated; 1 within them."""
        return max(1.0, size / max(self.sizes))

    def shown(self, size: float) -> dict[str, object]:
        """For the result's file: the fit, and its value at the size that is coming."""
        return {**asdict(self), "size": size, "value": self.at(size), "extrapolated_times": self.beyond(size)}


def fit(points: Sequence[Point]) -> Fit:
    """ValueError where fewer than two sizes were measured."""
    sizes, figures = [size for size, _ in points], [figure for _, figure in points]
    if len(set(sizes)) < 2:
        raise ValueError(f"a slope needs two sizes, and there are {len(set(sizes))}")
    size_mean, figure_mean = sum(sizes) / len(sizes), sum(figures) / len(figures)
    spread = sum((size - size_mean) ** 2 for size in sizes)
    slope = sum((size - size_mean) * (figure - figure_mean) for size, figure in points) / spread
    base = figure_mean - slope * size_mean
    squares = sum((figure - base - slope * size) ** 2 for size, figure in points)
    return Fit(slope, base, (squares / len(points)) ** 0.5, tuple(sorted(set(sizes))))
