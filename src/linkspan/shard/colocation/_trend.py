"""Tracks a drifting value and its slope with a Kalman filter."""

from __future__ import annotations

LEVEL_DRIFT_PER_S = 0.0005
"""Growth of the level's variance per second, in addition to the part from the slope: services
follow their slope closely."""

SLOPE_DRIFT_PER_S = 0.01
"""Growth of the slope's variance per second. Loads swing by half within five seconds and back,
which changes the slope by 0.07 per second."""

MAX_EXTRAPOLATION_S = 2.0
"""Limits the time over which a slope is extrapolated; beyond it only the variance grows."""

INITIAL_SLOPE_VARIANCE = 0.1**2
"""Initial variance of the slope: the steepest slopes are 0.15 per second."""


class Trend:
    """Level and slope of a value.

    Args:
        level: Initial estimate.
        variance: Variance of the initial estimate.
        at: Time of the initial estimate, in seconds.
    """

    __slots__ = ("_at", "_covariance", "_level", "_slope", "_slope_variance", "_variance")

    def __init__(self, level: float, variance: float, at: float) -> None:
        self._level = level
        self._slope = 0.0
        self._variance = variance
        self._slope_variance = INITIAL_SLOPE_VARIANCE
        self._covariance = 0.0
        self._at = at

    def __repr__(self) -> str:
        return f"Trend({self._level:.3f}, {self._slope:+.3f}/s)"

    @property
    def variance(self) -> float:
        """Variance of the level."""
        return self._variance

    def at(self, time_s: float) -> float:
        """Return the expected value at a time.

        Example:
            >>> trend = Trend(0.5, 0.1, 0.0)
            >>> for tick in range(1, 20):
            ...     trend.advance(tick * 0.5)
            ...     trend.correct(0.4 + 0.01 * tick - trend.at(tick * 0.5), trend.variance + 0.01)
            >>> round(trend.at(10.0), 2)
            0.6
        """
        ahead_s = min(max(time_s - self._at, 0.0), MAX_EXTRAPOLATION_S)
        return max(self._level + self._slope * ahead_s, 0.0)

    def advance(self, time_s: float) -> None:
        """Extrapolate the level and its variance to a time."""
        step_s = time_s - self._at
        if step_s <= 0.0:
            return
        ahead_s = min(step_s, MAX_EXTRAPOLATION_S)
        self._level = max(self._level + self._slope * ahead_s, 0.0)
        self._variance += 2 * ahead_s * self._covariance + ahead_s * ahead_s * self._slope_variance
        self._variance += LEVEL_DRIFT_PER_S * step_s
        self._covariance += ahead_s * self._slope_variance
        self._slope_variance += SLOPE_DRIFT_PER_S * step_s
        self._at = time_s

    def correct(self, error: float, total_variance: float) -> None:
        """Apply a measurement.

        Args:
            error: Measured minus expected value.
            total_variance: Variance of that error.
        """
        gain = self._variance / total_variance
        slope_gain = self._covariance / total_variance
        self._level = max(self._level + gain * error, 0.0)
        self._slope += slope_gain * error
        self._slope_variance -= slope_gain * self._covariance
        self._covariance *= 1.0 - gain
        self._variance *= 1.0 - gain
