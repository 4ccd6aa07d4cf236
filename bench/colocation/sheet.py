"""Work of a deployment, as an operator could write it down, and jobs drawn from it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from linkspan.jobs.spec import Demand, JobSpec, StepSpec

SHORT, BATCH, STANDING = "short", "batch", "standing"
"""Names of the queues."""


@dataclass(frozen=True, slots=True)
class Sheet:
    """One hall of a deployment.

    Attributes:
        executors: Number of executors.
        milli_cpu: Size of most executors; every third one is half as large again.
        memory_mb: Memory of most executors.
        short_per_s: Short jobs per second.
        short_s: Mean duration of a short task, in seconds.
        short_milli_cpu: Mean demand of a short task.
        short_width: Mean number of tasks of a short step.
        batch_per_s: Batch jobs per second.
        batch_s: Mean duration of a batch task at full speed, in seconds.
        batch_milli_cpu: Mean demand of a batch task.
        batch_width: Mean number of tasks of a batch step.
        estimate_error: Spread of the logarithm of the callers' estimates.
        batch_jobs: Batch jobs at the start.
        standing_jobs: Standing jobs at the start.
        standing_per_s: New standing jobs per second.
        standing_width: Mean number of tasks of a standing job.
        standing_milli_cpu: Mean reservation of a standing task.
        load: Mean share of its reservation that a standing task uses.
        swing: Amplitude of that share, relative to its mean.
        swing_period_s: Period of the load, in seconds.
        unloaded_ratio: Latency over target of an idle standing task.
        wave: Amplitude of the rate of batch jobs, relative to its mean.
        standing_images: Number of images of standing tasks.
        batch_images: Number of images of batch tasks.
    """

    executors: int = 58
    milli_cpu: int = 16_000
    memory_mb: int = 64_000
    short_per_s: float = 2.0
    short_s: float = 0.8
    short_milli_cpu: int = 1_800
    short_width: float = 9.5
    batch_per_s: float = 3.57
    batch_s: float = 2.2
    batch_milli_cpu: int = 1_800
    batch_width: float = 20.0
    estimate_error: float = 0.2
    batch_jobs: int = 6
    standing_jobs: int = 19
    standing_per_s: float = 0.087
    standing_width: float = 14.0
    standing_milli_cpu: int = 3_200
    load: float = 0.48
    swing: float = 0.6
    swing_period_s: float = 20.0
    unloaded_ratio: float = 1 / 6
    wave: float = 0.27
    standing_images: int = 10
    batch_images: int = 18


SHEETS = {
    "small-executors": Sheet(),
    "large-executors": Sheet(
        milli_cpu=32_000,
        memory_mb=128_000,
        short_per_s=2.73,
        short_s=0.64,
        short_milli_cpu=4_100,
        batch_per_s=2.13,
        batch_s=2.7,
        batch_milli_cpu=3_500,
        standing_per_s=0.108,
        standing_milli_cpu=6_400,
        swing=0.5,
        wave=0.15,
    ),
    "rough-estimates": Sheet(
        executors=44,
        milli_cpu=32_000,
        memory_mb=128_000,
        short_per_s=2.05,
        short_s=0.64,
        short_milli_cpu=4_100,
        batch_per_s=1.96,
        batch_s=2.2,
        batch_milli_cpu=3_500,
        estimate_error=0.9,
        standing_jobs=15,
        standing_per_s=0.081,
        standing_milli_cpu=6_400,
        swing=0.5,
        swing_period_s=10.0,
        wave=0.15,
    ),
    "few-executors": Sheet(
        executors=12,
        milli_cpu=64_000,
        memory_mb=256_000,
        short_per_s=1.0,
        short_s=0.5,
        short_milli_cpu=6_300,
        short_width=6.0,
        batch_per_s=0.7,
        batch_s=2.5,
        batch_milli_cpu=7_000,
        batch_width=8.0,
        estimate_error=0.9,
        standing_jobs=9,
        standing_per_s=0.04,
        standing_width=6.0,
        standing_milli_cpu=13_000,
        load=0.45,
        swing=0.5,
        swing_period_s=14.0,
        unloaded_ratio=0.2,
        wave=0.15,
        standing_images=5,
        batch_images=9,
    ),
}
"""Sheets by name, with sizes, rates and loads that differ by more than a factor of two."""


@dataclass(frozen=True, slots=True)
class DrawnJob:
    """A job and what only its executors know.

    Attributes:
        spec: The job, as its caller submits it.
        priority: Priority of its queue.
        durations_s: Duration at full speed of each task, by step.
    """

    spec: JobSpec
    priority: int
    durations_s: tuple[tuple[float, ...], ...]

    @property
    def chain_s(self) -> float:
        """Longest chain of its work, in seconds."""
        return sum(max(step) for step in self.durations_s)

    @property
    def core_s(self) -> float:
        """Its work, in core-seconds."""
        steps = zip(self.spec.steps, self.durations_s, strict=True)
        return sum(s.demand.milli_cpu / 1000 * sum(durations) for s, durations in steps)


class _Shape(NamedTuple):
    """Means and spreads of a job's steps.

    Attributes:
        steps: Mean number of steps.
        width: Mean number of tasks of a step.
        width_spread: Spread of the logarithm of that number.
        work_s: Mean duration of a task at full speed, in seconds.
        milli_cpu: Mean demand of a task.
        max_cpu_factor: Limits the demand, as a multiple of its mean.
    """

    steps: float
    width: float
    width_spread: float
    work_s: float
    milli_cpu: int
    max_cpu_factor: float


class JobSource:
    """Draws the jobs of a sheet.

    Args:
        sheet: The sheet.
        random: Source of all draws.
    """

    def __init__(self, sheet: Sheet, random: Random) -> None:
        self._sheet = sheet
        self._random = random
        self._count = 0
        self.standing_images = [f"s{n}" for n in range(sheet.standing_images)]
        self.batch_images = [f"b{n}" for n in range(sheet.batch_images)]

    def short(self) -> DrawnJob:
        """Return a short job."""
        sheet = self._sheet
        shape = _Shape(1.6, sheet.short_width, 0.8, sheet.short_s, sheet.short_milli_cpu, 2.0)
        steps = self._steps(shape)
        return self._job(SHORT, 0, steps, best_effort=False)

    def batch(self) -> DrawnJob:
        """Return a batch job."""
        sheet = self._sheet
        shape = _Shape(2.0, sheet.batch_width, 0.6, sheet.batch_s, sheet.batch_milli_cpu, 1.8)
        steps = self._steps(shape)
        image = self._random.choice(self.batch_images)
        return self._job(BATCH, 2, steps, best_effort=True, image=image)

    def standing(self) -> DrawnJob:
        """Return a standing job."""
        sheet, random = self._sheet, self._random
        count = max(1, min(round(self._spread(sheet.standing_width, 0.4)), 28))
        milli_cpu = int(self._spread(sheet.standing_milli_cpu, 0.25))
        spec = StepSpec(
            count,
            Demand(milli_cpu, milli_cpu * 2),
            max_per_executor=random.choice((0, 1, 2)),
            standing=True,
            image=random.choice(self.standing_images),
            latency_target_ms=150.0,
        )
        return DrawnJob(self._spec(STANDING, (spec,)), 0, ((math.inf,) * count,))

    def _steps(self, shape: _Shape) -> list[tuple[int, float, int]]:
        """Return number of tasks, duration and demand of each step of a job."""
        count = max(1, min(round(self._spread(shape.steps, 0.4)), 5))
        mean_s = min(self._spread(shape.work_s, 0.5), 2.5 * shape.work_s)
        milli_cpu = min(
            int(self._spread(shape.milli_cpu, 0.3)), int(shape.max_cpu_factor * shape.milli_cpu)
        )
        widths = [
            max(1, round(self._spread(shape.width, shape.width_spread))) for _ in range(count)
        ]
        return [(min(n, int(4 * shape.width)), mean_s, milli_cpu) for n in widths]

    def _job(
        self,
        queue: str,
        priority: int,
        steps: list[tuple[int, float, int]],
        *,
        best_effort: bool,
        image: str = "",
    ) -> DrawnJob:
        random = self._random
        error = math.exp(random.gauss(0.0, self._sheet.estimate_error))
        specs = tuple(
            StepSpec(
                count,
                Demand(milli_cpu, milli_cpu * 2),
                estimate_s=mean_s * error,
                depends_on=(index - 1,) if index else (),
                best_effort=best_effort,
                checkpoints=best_effort,
                image=image,
            )
            for index, (count, mean_s, milli_cpu) in enumerate(steps)
        )
        durations = tuple(
            tuple(mean_s * random.uniform(0.85, 1.15) for _ in range(count))
            for count, mean_s, _ in steps
        )
        return DrawnJob(self._spec(queue, specs), priority, durations)

    def _spec(self, queue: str, steps: tuple[StepSpec, ...]) -> JobSpec:
        self._count += 1
        return JobSpec(f"{self._count:016x}", queue, "text", steps)

    def _spread(self, mean: float, spread: float) -> float:
        """Return a draw of a lognormal distribution with a mean and a spread of the logarithm."""
        return mean * math.exp(self._random.gauss(-spread * spread / 2, spread))
