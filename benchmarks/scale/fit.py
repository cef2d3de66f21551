"""Straight lines through measured points, by least squares."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass

Point = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Fit:
    """`figure = base + slope * size`, and the residual of the points."""

    slope: float  # in the figure's unit, for each unit of the size
    base: float  # in the figure's unit
    residual: float  # root mean square, in the figure's unit
    sizes: tuple[float, ...]

    def value_at(self, size: float) -> float:
        """Return the fitted figure at a size."""
        return self.base + self.slope * size

    def extrapolation_factor(self, size: float) -> float:
        """Return how many times the largest measured size a size is; 1 for smaller sizes."""
        return max(1.0, size / max(self.sizes))

    def as_fields(self, size: float) -> dict[str, object]:
        """Return the fit and its value at the planned size, for the result."""
        return {
            **asdict(self),
            "size": size,
            "value": self.value_at(size),
            "extrapolated_times": self.extrapolation_factor(size),
        }


def fit_line(points: Sequence[Point]) -> Fit:
    """Fit a line by least squares; raises ValueError with fewer than two sizes."""
    sizes, figures = [size for size, _ in points], [figure for _, figure in points]
    if len(set(sizes)) < 2:
        raise ValueError(f"a slope needs two sizes, and there are {len(set(sizes))}")
    size_mean, figure_mean = sum(sizes) / len(sizes), sum(figures) / len(figures)
    size_variation = sum((size - size_mean) ** 2 for size in sizes)
    slope = sum((size - size_mean) * (figure - figure_mean) for size, figure in points) / size_variation
    base = figure_mean - slope * size_mean
    squares = sum((figure - base - slope * size) ** 2 for size, figure in points)
    return Fit(slope, base, (squares / len(points)) ** 0.5, tuple(sorted(set(sizes))))
