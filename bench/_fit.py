"""Least-squares lines through measured points."""

from __future__ import annotations

from typing import NamedTuple


class Fit(NamedTuple):
    """A line ``start + slope * x`` and its largest relative error at the points."""

    start: float
    slope: float
    error: float

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.start + self.slope * x


def fit_line(points: list[tuple[float, float]]) -> Fit:
    """Return the least-squares line through the points.

    Example:
        >>> fit_line([(1, 3.0), (2, 5.0), (3, 7.0)])
        Fit(start=1.0, slope=2.0, error=0.0)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    start = mean_y - slope * mean_x
    error = max(abs(start + slope * x - y) / max(abs(y), 1e-12) for x, y in points)
    return Fit(round(start, 12), round(slope, 12), round(error, 6))
