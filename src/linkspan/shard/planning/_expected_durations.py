"""How long a job is expected to take, from the guesses and what was learnt."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.planning.durations import DurationEstimator
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.step_run import StepRun

REFRESH_EVERY = 8
"""Ended steps after which all jobs are looked at anew: a fit moves little by fewer."""


def update_expected_durations(job: ShardJob, durations: DurationEstimator) -> None:
    """Set a job's objective and the time that it needs from each step on.

    Steps that have ended count with their own lengths, the others with those expected.

    Args:
        job: The job.
        durations: What was learnt of lengths.
    """
    spec = job.spec
    lengths = tuple(
        job.measured_durations_s.get(index) or durations.expected_s(spec.queue, step.estimate_s)
        for index, step in enumerate(spec.steps)
    )
    job.objective_s = job.stretch * max(spec.longest_paths_to(lengths), default=0.0) + job.target_s
    job.expected_durations_s = lengths
    job.remaining_path_s = spec.longest_paths_from(lengths)


def record_duration(step: StepRun, durations: DurationEstimator) -> None:
    """Learn from a step whose tasks are all done, unless none of their times is known."""
    if step.spec.standing or not step.durations:
        return
    job = step.run.job
    took_s = max(step.durations)
    job.measured_durations_s[step.index] = took_s
    durations.learn(job.spec.queue, step.spec.estimate_s, took_s)
    update_expected_durations(job, durations)
