"""Sets how long a job is expected to take, from callers' estimates and measured durations."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.planning.durations import DurationEstimator
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.step_run import StepRun

UPDATE_INTERVAL_STEPS = 8
"""Number of ended steps after which the expected durations of all jobs are updated: fewer steps
change a fit only a little."""

JOBS_PER_ENDED_STEP = 8
"""Limits the jobs that are updated for each ended step, on average. With more jobs the interval
grows, as the steps that end in a second do not grow with the jobs that wait."""

UPDATES_PER_JOB = 64
"""Limits the updates of one job by its own ended steps, each of which takes time in proportion to
all of its steps. A job may have thousands of them, and a few more that ended change its longest
path only a little."""


class DurationUpdates:
    """Decides after which ended steps the expected durations of all jobs are updated."""

    def __init__(self) -> None:
        self._learnt = 0

    def __repr__(self) -> str:
        return f"DurationUpdates({self._learnt})"

    def are_due(self, learnt: int, jobs: int) -> bool:
        """Return whether all jobs are to be updated now; they count as updated then.

        Args:
            learnt: Number of steps learnt from.
            jobs: Number of jobs.
        """
        if learnt - self._learnt < max(UPDATE_INTERVAL_STEPS, jobs // JOBS_PER_ENDED_STEP):
            return False
        self._learnt = learnt
        return True


def update_expected_durations(job: ShardJob, durations: DurationEstimator) -> None:
    """Set a job's objective and the time that it needs from each step on.

    Ended steps count with their measured durations, the others with their expected ones.

    Args:
        job: The job.
        durations: Estimator of durations.
    """
    spec = job.spec
    expected_s = tuple(
        job.measured_durations_s.get(index) or durations.expected_s(spec.queue, step.estimate_s)
        for index, step in enumerate(spec.steps)
    )
    job.objective_s = (
        job.stretch * max(spec.longest_paths_to(expected_s), default=0.0) + job.target_s
    )
    job.expected_durations_s = expected_s
    job.remaining_path_s = spec.longest_paths_from(expected_s)


def record_duration(step: StepRun, durations: DurationEstimator) -> None:
    """Learn from a step whose tasks are all done, unless none of its durations is known."""
    if step.spec.standing or not step.durations:
        return
    job = step.run.job
    duration_s = max(step.durations)
    job.measured_durations_s[step.index] = duration_s
    durations.learn(job.spec.queue, step.spec.estimate_s, duration_s, run_s=step.median_s)
    interval = max(len(job.spec.steps) // UPDATES_PER_JOB, 1)
    if len(job.measured_durations_s) % interval == 0:
        update_expected_durations(job, durations)
