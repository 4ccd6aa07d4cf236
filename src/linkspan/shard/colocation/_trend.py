"""A value that drifts, followed with its slope by a Kalman filter."""

from __future__ import annotations

LEVEL_DRIFT_PER_S = 0.0005
"""Growth of the level's variance in a second, beside what the slope brings: services
were seen to follow their slope closely."""

SLOPE_DRIFT_PER_S = 0.01
"""Growth of the slope's variance in a second: loads were seen to swing by half within
five seconds and back, which bends by 0.07 in a second squared."""

MAX_STEP_S = 2.0
"""Longest time over which a slope is carried on; past that only the doubt grows."""

FIRST_SLOPE_VARIANCE = 0.1**2
"""How far a slope may be from zero at first, squared: the steepest seen was 0.15."""


class Trend:
    """Level and slope of a value.

    Args:
        level: First guess.
        variance: How far that may be off, squared.
        at: Time of the guess, in seconds.
    """

    __slots__ = ("_at", "_cross", "_level", "_slope", "_slope_variance", "_variance")

    def __init__(self, level: float, variance: float, at: float) -> None:
        self._level = level
        self._slope = 0.0
        self._variance = variance
        self._slope_variance = FIRST_SLOPE_VARIANCE
        self._cross = 0.0
        self._at = at

    def __repr__(self) -> str:
        return f"Trend({self._level:.3f}, {self._slope:+.3f}/s)"

    @property
    def variance(self) -> float:
        """How far the level may be off, squared."""
        return self._variance

    def at(self, time_s: float) -> float:
        """Return the value to expect at a time.

        Example:
            >>> trend = Trend(0.5, 0.1, 0.0)
            >>> for tick in range(1, 20):
            ...     trend.advance(tick * 0.5)
            ...     trend.correct(0.4 + 0.01 * tick - trend.at(tick * 0.5), trend.variance + 0.01)
            >>> round(trend.at(10.0), 2)
            0.6
        """
        ahead = min(max(time_s - self._at, 0.0), MAX_STEP_S)
        return max(self._level + self._slope * ahead, 0.0)

    def advance(self, time_s: float) -> None:
        """Carry the value on to a time."""
        step = time_s - self._at
        if step <= 0.0:
            return
        ahead = min(step, MAX_STEP_S)
        self._level = max(self._level + self._slope * ahead, 0.0)
        self._variance += 2 * ahead * self._cross + ahead * ahead * self._slope_variance
        self._variance += LEVEL_DRIFT_PER_S * step
        self._cross += ahead * self._slope_variance
        self._slope_variance += SLOPE_DRIFT_PER_S * step
        self._at = time_s

    def correct(self, error: float, total_variance: float) -> None:
        """Take in a measurement.

        Args:
            error: What was measured less what was expected.
            total_variance: Variance of that error.
        """
        gain = self._variance / total_variance
        slope_gain = self._cross / total_variance
        self._level = max(self._level + gain * error, 0.0)
        self._slope += slope_gain * error
        self._slope_variance -= slope_gain * self._cross
        self._cross *= 1.0 - gain
        self._variance *= 1.0 - gain
