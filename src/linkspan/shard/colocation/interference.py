"""Learns from measurements how much best-effort work interferes with standing tasks.

A standing task's tail latency stays low until the pressure on the task approaches its limit, and
then rises many times over, as in a queue: latency = unloaded latency / (1 - pressure). The pressure
is the task's own load plus a part for each core that colocated best-effort work uses. Replicas of
one service share its callers, so the own load is learnt for all tasks of a step together, with its
trend. Latencies are converted to pressures, in which effects add up. (``placement.interference``
learns effects that add up in latency itself, which does not hold here.)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from linkspan.shard.colocation._trend import Trend
from linkspan.shard.handover.summary import PairEffect

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.step_run import StepRun

MIN_MEASUREMENT_INTERVAL_S = 0.45
"""Minimum time between two measurements that are learnt from: each covers half a second."""

REFERENCE_MILLI_CPU = 32_000
"""Size of executor to which effects are scaled: a core of a larger executor interferes
proportionally less."""

UNLOADED_LATENCY_RATIO = 0.17
"""Latency over target of an idle standing task. It lies below what a task shows at a low load."""

MAX_PRESSURE = 0.97
"""Limits the pressure derived from a measurement: above it, latency no longer shows how far the
task is overloaded."""

PRIOR_EFFECT = 0.015
"""Assumed pressure of one core of an unknown image."""

PRIOR_EFFECT_VARIANCE = 0.04**2
"""Variance of that assumption. It is large, as effects of images differ widely."""

PRIOR_LOAD = 0.5
"""Assumed pressure of an unknown standing task's own load."""

PRIOR_LOAD_VARIANCE = 0.15**2
"""Variance of that assumption. Own loads vary by half."""

MEASUREMENT_AGE_S = 0.25
"""Age of a measurement when it is read: it covers the half second before."""

LOAD_PREDICTION_S = 0.6
"""Time over which loads are predicted: a pace is set again after half a second."""

EFFECT_DRIFT_PER_S = 0.00002
"""Growth of an effect's variance per second, as effects change over time."""

MEASUREMENT_VARIANCE = 0.08**2
"""Noise variance of one measurement. It covers the differences between tasks of one step."""

MAX_PUBLISHED_VARIANCE = 0.5 * PRIOR_EFFECT_VARIANCE
"""Limits the variance of effects that are published to other owners."""

ADOPTED_VARIANCE_FACTOR = 2.0
"""Factor on the variance of an effect that another hall learnt."""


def pressure_of(ratio: float) -> float:
    """Return the pressure that corresponds to a latency over target.

    Example:
        >>> [round(pressure_of(r), 2) for r in (0.17, 0.34, 1.0, 17.0)]
        [0.0, 0.5, 0.83, 0.97]
    """
    return min(
        max(1.0 - UNLOADED_LATENCY_RATIO / max(ratio, UNLOADED_LATENCY_RATIO), 0.0), MAX_PRESSURE
    )


@dataclass(slots=True)
class _Estimate:
    """A mean with its variance and the time of its last update."""

    mean: float
    variance: float
    updated_at: float


class InterferenceEstimator:
    """Learns the pressure that each best-effort image adds to each standing image.

    A Kalman filter with a diagonal covariance: each measurement corrects the step's own load and
    the effects of the colocated images, each in proportion to its uncertainty.
    """

    def __init__(self) -> None:
        self._effects: dict[tuple[str, str], _Estimate] = {}
        self._loads: dict[StepRun, Trend] = {}
        self._learnt_at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"InterferenceEstimator({len(self._effects)} pairs)"

    def learn(self, executor: ExecutorState, now: float) -> None:
        """Learn from the latest measurements of an executor."""
        last = self._learnt_at.get(executor.executor_id, float("-inf"))
        if now - last < MIN_MEASUREMENT_INTERVAL_S:
            return
        self._learnt_at[executor.executor_id] = now
        cores = _cores_in_use(executor)
        for attempt in executor.latency_targeted():
            ratio = latency_ratio(attempt)
            if ratio is not None:
                self._correct(attempt, cores, pressure_of(ratio), now - MEASUREMENT_AGE_S)

    def _correct(
        self, attempt: Attempt, cores: Mapping[str, float], pressure: float, now: float
    ) -> None:
        image = attempt.task.step.spec.image
        load = self._load(attempt, now)
        effects = [(self._effect(image, other, now), n) for other, n in cores.items() if n]
        expected = load.at(now) + sum(effect.mean * n for effect, n in effects)
        if pressure >= MAX_PRESSURE and expected >= pressure:
            return
        error = pressure - expected
        total = load.variance + MEASUREMENT_VARIANCE
        total += sum(effect.variance * n * n for effect, n in effects)
        load.correct(error, total)
        for estimate, n in effects:
            gain = estimate.variance * n / total
            estimate.mean = max(estimate.mean + gain * error, 0.0)
            estimate.variance *= 1.0 - gain * n

    def _load(self, attempt: Attempt, now: float) -> Trend:
        load = self._loads.get(attempt.task.step)
        if load is None:
            load = self._loads[attempt.task.step] = Trend(PRIOR_LOAD, PRIOR_LOAD_VARIANCE, now)
        load.advance(now)
        return load

    def _effect(self, standing: str, image: str, now: float) -> _Estimate:
        effect = self._effects.get((standing, image))
        if effect is None:
            effect = _Estimate(PRIOR_EFFECT, PRIOR_EFFECT_VARIANCE, now)
            self._effects[(standing, image)] = effect
        # A measurement predates its reading, and the effect may have been adopted in between.
        age_s = max(now - effect.updated_at, 0.0)
        effect.variance = min(effect.variance + EFFECT_DRIFT_PER_S * age_s, PRIOR_EFFECT_VARIANCE)
        effect.updated_at = max(effect.updated_at, now)
        return effect

    def effect(self, standing: str, image: str) -> float:
        """Return the estimated pressure that one scaled core of an image adds."""
        effect = self._effects.get((standing, image))
        return effect.mean if effect else PRIOR_EFFECT

    def load(self, attempt: Attempt, now: float) -> float:
        """Return the maximum pressure of a standing task's own load, now or soon."""
        load = self._loads.get(attempt.task.step)
        if load is None:
            return PRIOR_LOAD
        return max(load.at(now), load.at(now + LOAD_PREDICTION_S))

    def worst_added(self, executor: ExecutorState, image: str, milli_cpu: float) -> float:
        """Return the maximum pressure that best-effort work would add to a standing task there."""
        return self.worst_effect(executor, image) * scaled_cores(executor, milli_cpu)

    def worst_effect(self, executor: ExecutorState, image: str) -> float:
        """Return the maximum pressure that one scaled core adds to a standing task there."""
        images = {a.task.step.spec.image for a in executor.latency_targeted()}
        return max((self.effect(standing, image) for standing in images), default=0.0)

    def effects(self) -> tuple[PairEffect, ...]:
        """Return the learnt effects that are certain enough to publish."""
        return tuple(
            PairEffect(standing, image, estimate.mean, estimate.variance)
            for (standing, image), estimate in self._effects.items()
            if estimate.variance < MAX_PUBLISHED_VARIANCE
        )

    def adopt(self, effects: Iterable[PairEffect], now: float) -> None:
        """Adopt effects learnt by other owners where theirs are more certain."""
        for published in effects:
            own = self._effects.get((published.standing, published.image))
            variance = ADOPTED_VARIANCE_FACTOR * published.variance
            if own is None or own.variance > variance:
                self._effects[(published.standing, published.image)] = _Estimate(
                    published.mean, variance, now
                )

    def remove_load(self, attempt: Attempt) -> None:
        """Remove the load of a step that has no attempts left."""
        if not any(task.attempts for task in attempt.task.step.tasks):
            self._loads.pop(attempt.task.step, None)


def latency_ratio(attempt: Attempt) -> float | None:
    """Return a standing task's last tail latency over its target, ``None`` if not measured."""
    # A latency of 0 means that the task served no requests in that half second.
    if not attempt.usage:
        return None
    return attempt.usage / attempt.task.step.spec.latency_target_ms


def scaled_cores(executor: ExecutorState, milli_cpu: float) -> float:
    """Return the cores of an executor of the reference size that correspond to a processor use."""
    capacity = max(executor.record.capacity.milli_cpu, 1)
    return milli_cpu / 1000 * REFERENCE_MILLI_CPU / capacity


def _cores_in_use(executor: ExecutorState) -> dict[str, float]:
    """Return the scaled cores that best-effort attempts there used last, by image."""
    cores: dict[str, float] = {}
    for attempt in executor.best_effort():
        image = attempt.task.step.spec.image
        cores[image] = cores.get(image, 0.0) + scaled_cores(executor, attempt.usage or 0.0)
    return cores
