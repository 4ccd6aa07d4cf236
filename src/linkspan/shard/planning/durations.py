"""Estimates how long steps take, from callers' estimates and measured durations."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, log

ESTIMATE_WEIGHT_STEPS = 6.0
"""Number of steps after which measured durations weigh as much as the callers' estimates. With six
steps the spread of a mean is down to 0.4 of that of a single step."""

SLOPE_REGULARIZATION = 3.0
"""Regularization of the slope of durations over estimates: six steps times the variance of the
logarithms of the estimates, which is about 0.5."""

MEMORY_STEPS = 300.0
"""Number of steps over which the weight of older ones decays: a hall ends about three a second."""

MIN_DURATION_S = 0.01
"""Lower bound of durations and estimates, in seconds."""

MAX_DURATION_S = 1e6
"""Upper bound, in seconds, about twelve days: callers may send any number."""

MAX_LOG_RATIO = log(100.0)
"""Limits the logarithm of expected duration over estimate. An estimate that is off by more is an
error of the caller, and other estimates of the queue do not predict it."""


@dataclass(slots=True)
class _Fit:
    """Exponentially decaying sums for a linear fit of the log ratio over the log estimate."""

    count: float = 0.0
    estimate: float = 0.0
    estimate_squared: float = 0.0
    ratio: float = 0.0
    product: float = 0.0

    def add(self, estimate: float, ratio: float) -> None:
        decay = 1.0 - 1.0 / MEMORY_STEPS
        self.count = decay * self.count + 1.0
        self.estimate = decay * self.estimate + estimate
        self.estimate_squared = decay * self.estimate_squared + estimate * estimate
        self.ratio = decay * self.ratio + ratio
        self.product = decay * self.product + estimate * ratio

    def ratio_at(self, estimate: float) -> float:
        """Return the expected logarithm of duration over estimate."""
        mean_estimate = self.estimate / self.count
        variance = self.estimate_squared - self.estimate * mean_estimate
        covariance = self.product - self.ratio * mean_estimate
        slope = covariance / (variance + SLOPE_REGULARIZATION)
        ratio = self.ratio / (self.count + ESTIMATE_WEIGHT_STEPS) + slope * (
            estimate - mean_estimate
        )
        return min(max(ratio, -MAX_LOG_RATIO), MAX_LOG_RATIO)


class DurationEstimator:
    """Learns for each queue how the durations of steps relate to their callers' estimates.

    Callers' estimates are rough. Durations of batch jobs spread by a factor of 1.5 and estimates by
    a factor of 2, and durations follow the estimates with a slope of 0.2. Used unchanged, the
    estimates make punctual jobs look late and late jobs punctual, so that jobs without hope of
    meeting their objective run at a pace that slows colocated standing tasks. With learnt durations
    standing tasks earn about 1.5 percent more of what is owed to them. Durations are fitted to
    estimates on a logarithmic scale. Before anything is learnt an estimate is used unchanged.

    Attributes:
        learnt: Number of steps learnt from.
    """

    def __init__(self) -> None:
        self._fits: dict[str, _Fit] = {}
        self._run_fits: dict[str, _Fit] = {}
        self.learnt = 0

    def __repr__(self) -> str:
        return f"DurationEstimator({len(self._fits)} queues)"

    def learn(
        self, queue: str, estimate_s: float, duration_s: float, *, run_s: float | None = None
    ) -> None:
        """Learn from the duration of a step.

        Args:
            queue: Queue of the step's job.
            estimate_s: The caller's estimate for one of its tasks, in seconds.
            duration_s: Duration of the longest of its tasks, in seconds.
            run_s: Median duration of its tasks, in seconds; ``None`` if it is unknown.
        """
        self.learnt += 1
        estimate = _log(estimate_s)
        self._fits.setdefault(queue, _Fit()).add(estimate, _log(duration_s) - estimate)
        if run_s is not None:
            self._run_fits.setdefault(queue, _Fit()).add(estimate, _log(run_s) - estimate)

    def expected_s(self, queue: str, estimate_s: float) -> float:
        """Return the expected duration of a step, in seconds.

        Example:
            >>> durations = DurationEstimator()
            >>> durations.expected_s("batch", 2.0)
            2.0
            >>> for estimate_s in (0.5, 1.0, 2.0, 4.0) * 50:
            ...     durations.learn("batch", estimate_s, 3.0)
            >>> [round(durations.expected_s("batch", estimate_s), 1) for estimate_s in (0.5, 4.0)]
            [2.8, 3.0]
        """
        fit = self._fits.get(queue)
        if fit is None:
            return estimate_s
        estimate = _log(estimate_s)
        return exp(estimate + fit.ratio_at(estimate))

    def expected_run_s(self, queue: str, estimate_s: float) -> float | None:
        """Return the expected duration of a typical run, ``None`` before enough is learnt.

        The longest task of a step, by which :meth:`expected_s` goes, takes longer than a typical
        one; where a few tasks take many times as long as their siblings, several times as long.
        """
        fit = self._run_fits.get(queue)
        if fit is None or fit.count < ESTIMATE_WEIGHT_STEPS:
            return None
        estimate = _log(estimate_s)
        return exp(estimate + fit.ratio_at(estimate))


def _log(seconds: float) -> float:
    return log(min(max(seconds, MIN_DURATION_S), MAX_DURATION_S))
