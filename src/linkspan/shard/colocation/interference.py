"""Which best-effort work disturbs which standing tasks, learnt from their figures.

A standing task's tail latency stays low until the pressure on it nears what it can
bear, and then rises many times over, as a queue's does: latency = unloaded latency /
(1 - pressure). The pressure is the task's own load and a part for each core that
best-effort work uses beside it. Replicas of one service share its callers, so the own
load is learnt for all tasks of a step together, with its trend. So figures are turned
into pressures, in which effects add up, and these are learnt.
(``placement.interference`` learns effects that add up in latency itself; the first
plays showed that here they do not.)
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

SAMPLE_S = 0.45
"""Least time between two figures that are learnt from: each covers half a second."""

REFERENCE_MILLI_CPU = 32_000
"""Size of executor to which effects are scaled: a core of a larger one disturbs
less in proportion."""

UNLOADED = 0.17
"""Latency over target of a standing task with nothing to do. The least figures seen
on calm days were 0.2, at a quarter of the load."""

MAX_PRESSURE = 0.97
"""Pressure from which figures no longer tell how far over it is."""

PRIOR_EFFECT = 0.015
"""Pressure that a core of an unknown image is taken to add."""

PRIOR_EFFECT_VARIANCE = 0.04**2
"""How far that may be off, squared: known effects go up to 0.2."""

PRIOR_LOAD = 0.5
"""Pressure that an unknown standing task's own load is taken to make."""

LOAD_VARIANCE = 0.15**2
"""How far that may be off, squared; own loads swing by half."""

FIGURE_AGE_S = 0.25
"""Age of a figure when it is read, in seconds: it covers the half second before."""

PLAN_AHEAD_S = 0.6
"""How far ahead loads are looked at: a pace is set again after half a second."""

EFFECT_DRIFT_PER_S = 0.00002
"""Growth of an effect's variance in a second: effects change, too."""

FIGURE_VARIANCE = 0.08**2
"""Noise of one figure, squared: tasks of one step were seen to differ by 0.07."""

TELLING_VARIANCE = 0.5 * PRIOR_EFFECT_VARIANCE
"""Variance below which an effect is worth telling others."""

ADOPTED_FACTOR = 2.0
"""Growth of the variance of an effect that another hall learnt."""


def pressure_of(ratio: float) -> float:
    """Return the pressure that a latency over target tells of.

    Example:
        >>> [round(pressure_of(r), 2) for r in (0.17, 0.34, 1.0, 17.0)]
        [0.0, 0.5, 0.83, 0.97]
    """
    return min(max(1.0 - UNLOADED / max(ratio, UNLOADED), 0.0), MAX_PRESSURE)


@dataclass(slots=True)
class _Estimate:
    """A mean with its variance and the time of its last change."""

    mean: float
    variance: float
    at: float


class InterferenceEstimator:
    """Learns the pressure that each image puts on each standing image.

    A Kalman filter with a diagonal covariance: each figure corrects the step's own
    load and the effects of what ran beside it, by how uncertain each is.
    """

    def __init__(self) -> None:
        self._effects: dict[tuple[str, str], _Estimate] = {}
        self._loads: dict[StepRun, Trend] = {}
        self._learnt_at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"InterferenceEstimator({len(self._effects)} pairs)"

    def learn(self, executor: ExecutorState, now: float) -> None:
        """Take in the newest figures of an executor."""
        last = self._learnt_at.get(executor.executor_id, float("-inf"))
        if now - last < SAMPLE_S:
            return
        self._learnt_at[executor.executor_id] = now
        cores = _cores_in_use(executor)
        for attempt in executor.standing():
            ratio = latency_ratio(attempt)
            if ratio is not None:
                self._correct(attempt, cores, pressure_of(ratio), now - FIGURE_AGE_S)

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
        total = load.variance + FIGURE_VARIANCE
        total += sum(effect.variance * n * n for effect, n in effects)
        load.correct(error, total)
        for estimate, n in effects:
            gain = estimate.variance * n / total
            estimate.mean = max(estimate.mean + gain * error, 0.0)
            estimate.variance *= 1.0 - gain * n

    def _load(self, attempt: Attempt, now: float) -> Trend:
        load = self._loads.get(attempt.task.step)
        if load is None:
            load = self._loads[attempt.task.step] = Trend(PRIOR_LOAD, LOAD_VARIANCE, now)
        load.advance(now)
        return load

    def _effect(self, standing: str, image: str, now: float) -> _Estimate:
        effect = self._effects.get((standing, image))
        if effect is None:
            effect = _Estimate(PRIOR_EFFECT, PRIOR_EFFECT_VARIANCE, now)
            self._effects[(standing, image)] = effect
        # A figure is of a time before it was read, and the effect may have been adopted since.
        age_s = max(now - effect.at, 0.0)
        effect.variance = min(effect.variance + EFFECT_DRIFT_PER_S * age_s, PRIOR_EFFECT_VARIANCE)
        effect.at = max(effect.at, now)
        return effect

    def effect(self, standing: str, image: str) -> float:
        """Return the pressure that one scaled core of an image is believed to add."""
        effect = self._effects.get((standing, image))
        return effect.mean if effect else PRIOR_EFFECT

    def load(self, attempt: Attempt, now: float) -> float:
        """Return the most pressure that a standing task's own load is soon to make."""
        load = self._loads.get(attempt.task.step)
        if load is None:
            return PRIOR_LOAD
        return max(load.at(now), load.at(now + PLAN_AHEAD_S))

    def worst_added(self, executor: ExecutorState, image: str, milli_cpu: float) -> float:
        """Return the most pressure that best-effort work adds to a task there."""
        cores = scaled_cores(executor, milli_cpu)
        images = {a.task.step.spec.image for a in executor.standing()}
        return max((self.effect(standing, image) * cores for standing in images), default=0.0)

    def effects(self) -> tuple[PairEffect, ...]:
        """Return what was learnt, for other owners."""
        return tuple(
            PairEffect(standing, image, estimate.mean, estimate.variance)
            for (standing, image), estimate in self._effects.items()
            if estimate.variance < TELLING_VARIANCE
        )

    def adopt(self, effects: Iterable[PairEffect], now: float) -> None:
        """Take over what other owners learnt, where they know more."""
        for told in effects:
            own = self._effects.get((told.standing, told.image))
            variance = ADOPTED_FACTOR * told.variance
            if own is None or own.variance > variance:
                self._effects[(told.standing, told.image)] = _Estimate(told.mean, variance, now)

    def forget(self, attempt: Attempt) -> None:
        """Forget the load of a step none of whose runs is left."""
        if not any(task.attempts for task in attempt.task.step.tasks):
            self._loads.pop(attempt.task.step, None)


def latency_ratio(attempt: Attempt) -> float | None:
    """Return a standing task's last tail latency over its target, if there is one."""
    # A figure of 0 says that it served nobody in that half second.
    if not attempt.usage:
        return None
    return attempt.usage / attempt.task.step.spec.latency_target_ms


def scaled_cores(executor: ExecutorState, milli_cpu: float) -> float:
    """Return processor use in cores of an executor of the reference size."""
    capacity = max(executor.record.capacity.milli_cpu, 1)
    return milli_cpu / 1000 * REFERENCE_MILLI_CPU / capacity


def _cores_in_use(executor: ExecutorState) -> dict[str, float]:
    """Return the scaled cores that best-effort attempts there used last, by image."""
    cores: dict[str, float] = {}
    for attempt in executor.best_effort():
        image = attempt.task.step.spec.image
        cores[image] = cores.get(image, 0.0) + scaled_cores(executor, attempt.usage or 0.0)
    return cores
