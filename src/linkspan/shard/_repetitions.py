"""Opens the repetitions of jobs as they fall due, and removes those that are done.

Only open repetitions take memory. So what a job needs depends on what can run now and not on how
often it runs in total. Jobs with standing tasks are an exception: none of their repetitions is ever
done, so all of them are open from the start.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

from linkspan.shard.job_run import JobRun, new_run, skip_run_numbers
from linkspan.shard.recovery.progress import done_key, progress_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.messages import TaskName
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.task import Task

MAX_OPEN_TASKS_PER_JOB = 1_000
"""Limits the tasks of a job's open repetitions that were opened as they fell due. They take about 1
MB; a hall of 64 executors with 16 cores each runs as many tasks of one core."""

MAX_OPEN_TASKS = 20_000
"""Limits the same tasks of all jobs of a shard: 20 MB. Each job may have one open repetition beyond
it, so that it progresses."""


class Repetitions:
    """Open repetitions of a shard's jobs.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def __repr__(self) -> str:
        return f"Repetitions({self._state!r})"

    def open(self, job: ShardJob, repetition: int, *, recorded: bool = False) -> JobRun:
        """Open a repetition of a job.

        In another shard than the job's home, its tasks stay with the home shard until their
        delegations are applied.

        Args:
            job: The job.
            repetition: Number of the repetition.
            recorded: Whether it has a progress record, from which it is restored next.
        """
        run = job.runs[repetition] = new_run(job, repetition)
        run.released = job.spec.schedule is None
        if recorded:
            return run
        if job.inherited:
            skip_run_numbers(run)
        if job.delegated_here:
            for task in run.tasks():
                task.managed_by = job.submitted.shard
        return run

    def open_if_missing(self, job: ShardJob, repetition: int) -> JobRun | None:
        """Return a repetition, ``None`` if it is done or the job does not have it."""
        run = job.runs.get(repetition)
        if run or repetition in job.done_repetitions:
            return run
        if not 0 <= repetition < job.spec.repetitions:
            return None
        return self.open(job, repetition)

    def reported_task(self, name: TaskName) -> Task | None:
        """Return a task that an executor names, ``None`` if it is done or not of this shard.

        A former owner may have started a repetition that is not open here yet.
        """
        job = self._state.jobs.get(name.job_id)
        run = self.open_if_missing(job, name.repetition) if job else None
        return run.task(name) if run else None

    def release_due(self, wall: float, now: float) -> None:
        """Open and release the repetitions whose due time has come.

        Args:
            wall: Time of day, in seconds since 1970.
            now: Steady time.
        """
        for job in self._state.jobs.values():
            schedule = job.spec.schedule
            if schedule is None or job.closing:
                continue
            for run in job.runs.values():
                if not run.released and schedule.due(run.repetition) <= wall:
                    self._release(run, now)
        self._open_due(wall, now)

    def _release(self, run: JobRun, now: float) -> None:
        run.released = True
        self._state.open_steps(run, now)

    def _open_due(self, wall: float, now: float) -> None:
        """Open repetitions that are due, the longest overdue first, within the limits."""
        jobs = [job for job in self._state.jobs.values() if job.opens_repetitions]
        due = [(job.next_due_s, index) for index, job in enumerate(jobs) if job.next_due_s <= wall]
        if not due:
            return
        open_tasks = sum(job.open_tasks for job in jobs)
        heapify(due)
        while due:
            _, index = heappop(due)
            job = jobs[index]
            full = open_tasks >= MAX_OPEN_TASKS or job.open_tasks >= MAX_OPEN_TASKS_PER_JOB
            if job.runs and full:
                continue
            self._release(self.open(job, job.next_repetition), now)
            open_tasks += job.spec.tasks_per_repetition
            if job.next_due_s <= wall:
                heappush(due, (job.next_due_s, index))

    def on_durable(self, runs: Iterable[JobRun]) -> None:
        """Remove the repetitions that are done, by records that are durable.

        A repetition stays while an attempt of it may be alive: no other one may take its place.
        """
        done: dict[ShardJob, list[JobRun]] = {}
        for run in runs:
            if run.removable:
                done.setdefault(run.job, []).append(run)
        for job, removed in done.items():
            job.done_repetitions = job.done_repetitions.with_all(r.repetition for r in removed)
            for run in removed:
                job.runs.pop(run.repetition, None)
                self._state.forget_steps(run)

    def drop_records(self, job: ShardJob) -> None:
        """Request the removal of all progress records of a job."""
        self._state.dropped += [progress_key(run) for run in job.runs.values()]
        if job.spec.schedule:
            self._state.dropped.append(done_key(job.job_id))
