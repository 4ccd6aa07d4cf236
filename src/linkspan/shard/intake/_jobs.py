"""Adds jobs to a shard's state, releases due repetitions, and applies terms, cancels and ends."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from linkspan.errors import RecordError
from linkspan.jobs.records import JobState
from linkspan.shard._reasons import short_name
from linkspan.shard.attempt import NEVER
from linkspan.shard.crash_history import GIVE_UP_REASON
from linkspan.shard.done_repetitions import NO_REPETITIONS, DoneRepetitions
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.job_run import INHERITED_RUN_GAP, new_run
from linkspan.shard.messages import TaskName
from linkspan.shard.planning._expected_durations import update_expected_durations
from linkspan.shard.recovery._recorded_wait import wait_since_acceptance
from linkspan.shard.recovery.progress import restore_run
from linkspan.shard.shard_job import ShardJob
from linkspan.shard.task import index_of

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from linkspan.jobs.records import Delegation, Submitted, TaskIndex
    from linkspan.model.configuration import Configuration
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.handover._delegations import Delegations
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.task import Task

FIRST_RUN_WITHOUT_RECORD = 1_000_000
"""Number of the next run of a task whose record is not readable. It exceeds all run numbers that an
executor may have seen: a task would reach it only after a day with ten starts per second."""


class JobIntake:
    """Adds jobs to a shard's state, updates them and ends them.

    Args:
        state: The shard's state.
        delegations: Tracks tasks that another shard than their home shard manages.
    """

    def __init__(self, state: ShardState, delegations: Delegations) -> None:
        self._state = state
        self._delegations = delegations

    def __repr__(self) -> str:
        return f"JobIntake({self._state!r})"

    def add_job(
        self,
        submitted: Submitted,
        now: float,
        *,
        inherited: bool = False,
        moved: bool = False,
        start_ordered: bool = False,
        begun: bool = False,
        progress: dict[int, bytes] | None = None,
        done_repetitions: DoneRepetitions = NO_REPETITIONS,
        delegated_here: Iterable[Delegation] | None = None,
        delegated_elsewhere: Mapping[int, Iterable[Delegation]] | None = None,
        returned: Iterable[Delegation] = (),
        completed: Collection[TaskIndex] = (),
        wall_offset_s: float = 0.0,
    ) -> None:
        """Add an accepted job; see :meth:`ShardCore.add_job` for the arguments.

        Raises:
            RecordError: A progress record does not match the job. The job is added without it.
        """
        job_id = submitted.spec.job_id
        if job_id in self._state.jobs:
            return
        if job_id in self._state.departed_jobs and delegated_here is None:
            # Only a delegation can be newer than the job's departure; any other change is older.
            return
        # The record of the job's start may be durable while its progress is not.
        job = ShardJob(submitted, inherited=inherited, moved=moved, begun=begun)
        job.start_ordered = start_ordered or begun
        job.delegated_here = delegated_here is not None
        if submitted.terms:
            job.apply_terms(submitted.terms, submitted.version)
        self._state.jobs[job.job_id] = job
        self.refresh_queue(job)
        errors: list[str] = []
        records = progress or {}
        if done_repetitions.count:
            job.done_repetitions = done_repetitions
            self._state.mark_begun(job)
        delegated = chain(delegated_here or (), *(delegated_elsewhere or {}).values())
        for repetition in _first_open(job, records, delegated):
            run = self._state.repetitions.open(job, repetition, recorded=repetition in records)
            if delegated_here is None and (inherited or moved):
                wait_since_acceptance(run, now, wall_offset_s, arrives=not inherited)
            if repetition in records:
                try:
                    self._restore(run, records[repetition], now, wall_offset_s)
                except RecordError as error:
                    errors.append(str(error))
                    run = job.runs[repetition] = self._new_run_without_record(
                        job, repetition, delegated_elsewhere or {}
                    )
                    if delegated_here is None:
                        _number_above(run, returned)
            if delegated_here is not None:
                self._keep_delegated_tasks(run, delegated_here, submitted.shard, now)
            self._state.open_steps(run, now)
            if run.recorded_as_done:
                # An earlier version kept the record of each repetition that is done.
                self._state.mark_dirty(run, urgent=False)
        self._delegations.complete_tasks(job_id, completed, now)
        if job.limit_version is None and job.max_attempts is not None and self._state.configuration:
            # The limit has no version. Any later configuration is newer than this limit, whichever
            # source it comes from.
            job.limit_version = self._state.configuration.version
        self._state.finish_if_done(job)
        if errors:
            raise RecordError("; ".join(errors))

    def _new_run_without_record(
        self, job: ShardJob, repetition: int, delegated: Mapping[int, Iterable[Delegation]]
    ) -> JobRun:
        """Create a repetition whose progress record is not readable.

        Its live runs are found in the executors' reports, or their leases expire as for all
        inherited work. All other tasks start from the beginning. Delegated tasks stay with the
        shards that manage them.
        """
        run = new_run(job, repetition)
        run.released = job.spec.schedule is None
        self._state.mark_start_ordered(job)
        for task in run.tasks():
            task.next_run = FIRST_RUN_WITHOUT_RECORD
            self._state.unrecorded_starts.note(task)
        for shard, delegations in delegated.items():
            for delegation in delegations:
                found = run.task(TaskName(job.job_id, *delegation.task_index))
                if found and delegation.repetition == repetition:
                    found.managed_by, found.delegation_number = shard, delegation.number
        self._state.mark_dirty(run)
        return run

    def _restore(self, run: JobRun, value: bytes, now: float, wall_offset_s: float) -> None:
        restore_run(run, value, now, wall_offset_s)
        self._state.mark_start_ordered(run.job)
        if any(_has_begun(task) for task in run.tasks()):
            self._state.mark_begun(run.job)
        for task in run.tasks():
            task.never_ran = task.never_ran or task.next_run == 1
            task.next_run += INHERITED_RUN_GAP
            self._state.set_crash_history(task, task.crash_history)
            task.idle_in_record = not task.attempts
            if task.attempts or task.unrecorded_starts:
                self._state.unrecorded_starts.note(task)
            for attempt in list(task.attempts):
                executor = self._state.recorded_incarnation(attempt.executor_id)
                if executor:
                    attempt.executor_id = executor.executor_id
                    executor.add(attempt)
                else:
                    # The roster does not name it, so the previous owner had proof of its end.
                    task.attempts.remove(attempt)
                    self._note_other_incarnations(attempt)
        self._restore_expired_attempts(run)
        self._fail_if_attempts_exhausted(run)

    def _note_other_incarnations(self, attempt: Attempt) -> None:
        """Note that another incarnation of its id, which the roster names, may have the run."""
        if Incarnation.of(attempt.executor_id).executor_id in self._state.incarnations_by_id:
            self._state.unrecorded_starts.note(attempt.task)

    def _restore_expired_attempts(self, run: JobRun) -> None:
        """Assign recorded attempts whose leases have expired to their executors.

        If the roster does not name an executor, the previous owner knew its fate.
        """
        recorded, run.expired_attempts = run.expired_attempts, {}
        for attempt in chain.from_iterable(recorded.values()):
            executor = self._state.recorded_incarnation(attempt.executor_id)
            if executor:
                attempt.executor_id = executor.executor_id
                self._state.keep_expired_attempts(executor, (attempt,))

    def _fail_if_attempts_exhausted(self, run: JobRun) -> None:
        """Fail the job if a task has no attempts left or must be given up.

        A previous owner may have been lost before it recorded the job's failure.
        """
        for step in run.steps:
            self._state.fail_if_exhausted(max(step.tasks, key=lambda t: t.failures))
            for task in step.tasks:
                if task.crash_history and task.crash_history.must_give_up:
                    why = {"reason": GIVE_UP_REASON, "task": short_name(task.name)}
                    self._state.decide(run.job, JobState.FAILED, **why)

    def _keep_delegated_tasks(
        self, run: JobRun, delegations: Iterable[Delegation], home: int, now: float
    ) -> None:
        """Leave all tasks to the job's home shard, except those delegated to this shard."""
        by_task: dict[TaskIndex, Delegation] = {}
        for delegation in sorted(delegations):
            by_task[delegation.task_index] = delegation
        for task in run.tasks():
            newest = by_task.get(index_of(task))
            if newest is None:
                task.managed_by = home
            elif task.delegation_number < newest.number:
                self._delegations.take_over(task, newest, now)

    def refresh_queue(self, job: ShardJob) -> None:
        """Apply the terms of a job's queue from the configuration in force.

        A job whose queue was removed keeps its previous terms.
        """
        configuration = self._state.configuration
        queue = configuration and configuration.queues.get(job.spec.queue)
        if configuration and queue:
            job.apply_terms(queue.terms, configuration.version)
        update_expected_durations(job, self._state.durations)

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration to all jobs."""
        self._state.configuration = configuration
        for job in self._state.jobs.values():
            previous_limit = job.max_attempts
            self.refresh_queue(job)
            if job.max_attempts != previous_limit:
                for run in job.runs.values():
                    self._fail_if_attempts_exhausted(run)

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job, unless its final state is already decided."""
        job = self._state.jobs.get(job_id)
        if job and not job.closing:
            self._state.decide(job, JobState.CANCELLED)

    def on_finished(self, job_id: str) -> None:
        """Handle the final record of a job becoming durable."""
        job = self._state.jobs.get(job_id)
        if job is None:
            return
        self._state.departed_jobs.add(job_id)
        self._state.repetitions.drop_records(job)
        for run in job.runs.values():
            run.durable = float("inf")
            self._state.dirty.pop((job_id, run.repetition), None)
        job.closing = True
        job.records_progress = False
        self._state.remove_if_idle(job)

    def record_progress_of_ended(self, job_id: str) -> None:
        """Record the progress of a job whose final record is not durable yet."""
        job = self._state.jobs.get(job_id)
        if job is None:
            return
        job.records_progress = True
        for run in job.runs.values():
            self._state.mark_dirty(run)


def _first_open(
    job: ShardJob, records: Collection[int], delegated: Iterable[Delegation]
) -> list[int]:
    """Return the repetitions to open as a job is added; others are opened as they fall due."""
    if not job.spec.opens_on_demand:
        return list(range(job.spec.repetitions))
    numbers = {*records, *(delegation.repetition for delegation in delegated)}
    return sorted(n for n in numbers if n < job.spec.repetitions and n not in job.done_repetitions)


def _has_begun(task: Task) -> bool:
    """Return whether a restored task has certainly begun, by what a former owner recorded."""
    if task.done or task.failures or task.checkpoint:
        return True
    # A run without a start that may still arrive had been confirmed.
    return any(attempt.start_may_arrive_until == NEVER for attempt in task.attempts)


def _number_above(run: JobRun, returned: Iterable[Delegation]) -> None:
    """Number the next delegations of a repetition's tasks above all that were returned.

    A delegation with the number of an earlier one would count as returned.
    """
    for delegation in returned:
        task = run.job.task(delegation.task_index)
        if task and delegation.repetition == run.repetition:
            task.delegation_number = max(task.delegation_number, delegation.number)
