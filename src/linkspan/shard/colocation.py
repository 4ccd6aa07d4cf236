"""Which best-effort work disturbs which standing tasks, learnt from their figures.

A standing task's tail latency stays low until the pressure on it nears what it can
bear, and then rises many times over, as a queue's does: latency = unloaded latency /
(1 - pressure). The pressure is the task's own load and a part for each core that
best-effort work uses beside it. So figures are turned into pressures, in which
effects add up, and these are learnt. (``placement.interference`` learns effects that
add up in latency itself; the first plays showed that here they do not.)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from linkspan.shard.summary import PairEffect

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import TaskName
    from linkspan.shard.state import Attempt

SAMPLE_S = 0.45
"""Least time between two figures that are learnt from: each covers half a second."""

REFERENCE_MILLI_CPU = 32_000
"""Size of executor to which effects are scaled: a core of a larger one disturbs
less in proportion."""

UNLOADED = 0.17
"""Latency over target of a standing task with nothing to do. The least figures seen
on calm days were 0.2, at a quarter of the load."""

MOST_PRESSURE = 0.97
"""Pressure from which figures no longer tell how far over it is."""

PRIOR_EFFECT = 0.015
"""Pressure that a core of an unknown image is taken to add."""

PRIOR_EFFECT_VARIANCE = 0.04**2
"""How far that may be off, squared: known effects go up to 0.2."""

PRIOR_LOAD = 0.5
"""Pressure that an unknown standing task's own load is taken to make."""

LOAD_VARIANCE = 0.15**2
"""How far that may be off, squared; own loads swing by half."""

LOAD_DRIFT_PER_S = 0.015
"""Growth of that variance in a second: own loads swing by half within ten seconds, so
by an eighth in one."""

EFFECT_DRIFT_PER_S = 0.00002
"""Growth of an effect's variance in a second: effects change, too."""

FIGURE_VARIANCE = 0.1**2
"""Noise of one figure, squared: they are rough."""

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
    return min(max(1.0 - UNLOADED / max(ratio, UNLOADED), 0.0), MOST_PRESSURE)


@dataclass(slots=True)
class _Estimate:
    """A mean with its variance and the time of its last change."""

    mean: float
    variance: float
    at: float


class ColocationBook:
    """Learns the pressure that each image puts on each standing image.

    A Kalman filter with a diagonal covariance: each figure corrects the task's own
    load and the effects of what ran beside it, by how uncertain each is.
    """

    def __init__(self) -> None:
        self._effects: dict[tuple[str, str], _Estimate] = {}
        self._loads: dict[tuple[TaskName, int], _Estimate] = {}
        self._learnt_at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"ColocationBook({len(self._effects)} pairs)"

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
                self._correct(attempt, cores, pressure_of(ratio), now)

    def _correct(
        self, attempt: Attempt, cores: Mapping[str, float], pressure: float, now: float
    ) -> None:
        image = attempt.task.step.spec.image
        load = self._load(attempt, now)
        effects = [(self._effect(image, other, now), n) for other, n in cores.items() if n]
        expected = load.mean + sum(effect.mean * n for effect, n in effects)
        if pressure >= MOST_PRESSURE and expected >= pressure:
            return
        error = pressure - expected
        total = load.variance + FIGURE_VARIANCE
        total += sum(effect.variance * n * n for effect, n in effects)
        for estimate, n in [(load, 1.0), *effects]:
            gain = estimate.variance * n / total
            estimate.mean = max(estimate.mean + gain * error, 0.0)
            estimate.variance *= 1.0 - gain * n

    def _load(self, attempt: Attempt, now: float) -> _Estimate:
        load = self._loads.get(attempt.key)
        if load is None:
            load = self._loads[attempt.key] = _Estimate(PRIOR_LOAD, LOAD_VARIANCE, now)
        drift = load.variance + LOAD_DRIFT_PER_S * (now - load.at)
        load.variance = min(drift, LOAD_VARIANCE)
        load.at = now
        return load

    def _effect(self, standing: str, image: str, now: float) -> _Estimate:
        effect = self._effects.get((standing, image))
        if effect is None:
            effect = _Estimate(PRIOR_EFFECT, PRIOR_EFFECT_VARIANCE, now)
            self._effects[(standing, image)] = effect
        drift = effect.variance + EFFECT_DRIFT_PER_S * (now - effect.at)
        effect.variance = min(drift, PRIOR_EFFECT_VARIANCE)
        effect.at = now
        return effect

    def effect(self, standing: str, image: str) -> float:
        """Return the pressure that one scaled core of an image is believed to add."""
        effect = self._effects.get((standing, image))
        return effect.mean if effect else PRIOR_EFFECT

    def load(self, attempt: Attempt) -> float:
        """Return the pressure that a standing task's own load is believed to make."""
        load = self._loads.get(attempt.key)
        return load.mean if load else PRIOR_LOAD

    def pressure(self, attempt: Attempt, cores: Mapping[str, float]) -> float:
        """Return the pressure to expect on a standing task beside other work."""
        image = attempt.task.step.spec.image
        return self.load(attempt) + sum(self.effect(image, i) * n for i, n in cores.items())

    def worst_pressure(self, executor: ExecutorState, image: str, milli_cpu: int) -> float:
        """Return the worst pressure to expect there with one more best-effort task."""
        cores = expected_cores(executor)
        cores[image] = cores.get(image, 0.0) + scaled_cores(executor, milli_cpu)
        return max((self.pressure(a, cores) for a in executor.standing()), default=0.0)

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
        """Forget the own load of a run that has ended."""
        self._loads.pop(attempt.key, None)


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
    return _by_image(executor, ((a, a.usage or 0.0) for a in executor.best_effort()))


def expected_cores(executor: ExecutorState) -> dict[str, float]:
    """Return the scaled cores that best-effort attempts there are expected to use."""
    return _by_image(
        executor,
        (
            (a, a.task.step.spec.demand.milli_cpu * a.pace / 100)
            for a in executor.attempts.values()
            if a.task.step.spec.best_effort
        ),
    )


def _by_image(executor: ExecutorState, used: Iterable[tuple[Attempt, float]]) -> dict[str, float]:
    cores: dict[str, float] = {}
    for attempt, milli_cpu in used:
        image = attempt.task.step.spec.image
        cores[image] = cores.get(image, 0.0) + scaled_cores(executor, milli_cpu)
    return cores
