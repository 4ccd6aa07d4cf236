"""Tracks tasks delegated between shards, and jobs that move."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.jobs.records import Delegation
from linkspan.shard._reasons import MAX_LOGGED_TASKS, short_name
from linkspan.shard.attempt import NEVER
from linkspan.shard.failures import Failures

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from linkspan.jobs.records import TaskIndex
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.reports._crashes import CrashTracker
    from linkspan.shard.task import Task


class Delegations:
    """Tracks tasks that another shard than their home shard manages.

    Args:
        state: The shard's state.
        crashes: Records crashes.
    """

    def __init__(self, state: ShardState, crashes: CrashTracker) -> None:
        self._state = state
        self._crashes = crashes

    def __repr__(self) -> str:
        return f"Delegations({self._state!r})"

    def accept_delegations(
        self, job_id: str, delegations: Iterable[Delegation], now: float
    ) -> None:
        """Apply all open delegations of a job's tasks to this shard."""
        job = self._state.jobs.get(job_id)
        if job is None or not job.delegated_here:
            return
        arrived = []
        for delegation in delegations:
            self._state.repetitions.open_if_missing(job, delegation.repetition)
            task = job.task(delegation.task_index)
            if task is None or task.managed_by is None:
                continue
            if task.delegation_number < delegation.number:
                self.take_over(task, delegation, now)
                arrived.append(task)
        self._log_arrived(arrived, now)

    def take_over(self, task: Task, delegation: Delegation, now: float) -> None:
        """Manage a task that another shard has handed over, with what it knows of its runs."""
        task.managed_by = None
        task.delegation_number = delegation.number
        task.next_run = max(task.next_run, delegation.next_run)
        task.never_ran = delegation.never_ran
        task.idle_in_record = True
        task.save(delegation.saved_by, delegation.checkpoint)
        task.set_failed(task.failed.merged_with(_failures_of(delegation)))
        self._crashes.take_over_history(task, delegation, now)
        self._state.mark_arrived(task, delegation.waited_s, now)
        if task.step.spec.standing:
            # The record tells the next owner since when the task has been waiting.
            self._state.mark_dirty(task.step.run, urgent=False)
        self._state.fail_if_exhausted(task)

    def hand_over_tasks(
        self, job_id: str, shard: int, tasks: Iterable[tuple[int, int]], repetition: int = 0
    ) -> tuple[Task, ...]:
        """Stop managing tasks of a job, and return those that were handed over.

        A delegation of a task whose home is this shard gets the next number. A task that was
        delegated to this shard is returned under the number of its delegation. A task is kept if
        it was started since the handover was planned, or if a crash was found since then and its
        owner has yet to decide whether to give it up. A gang stays together.
        """
        job = self._state.jobs.get(job_id)
        run = job.runs.get(repetition) if job else None
        if job is None or run is None or job.closing:
            return ()
        planned = [run.steps[step].tasks[index] for step, index in tasks]
        handed_over = tuple(t for t in planned if t.pending and not t.decision_pending)
        if len(handed_over) < len(planned) and planned[0].step.spec.gang:
            return ()
        for task in handed_over:
            task.managed_by = shard
            task.delegation_number += 0 if job.delegated_here else 1
        if handed_over:
            self._state.mark_dirty(run)
        return handed_over

    def reclaim_tasks(self, job_id: str, returned: Iterable[Delegation], now: float) -> None:
        """Manage tasks again whose delegations were returned."""
        job = self._state.jobs.get(job_id)
        if job is None or job.delegated_here:
            return
        arrived = []
        for delegation in returned:
            task = job.task(delegation.task_index)
            if task is None or task.managed_by is None:
                continue
            if task.delegation_number == delegation.number:
                task.returned_by[task.managed_by] = delegation.number
                self.take_over(task, delegation, now)
                self._state.mark_dirty(task.step.run)
                arrived.append(task)
        self._log_arrived(arrived, now)

    def _log_arrived(self, tasks: list[Task], now: float) -> None:
        if not tasks:
            return
        self._state.log(
            Event.TASKS_ARRIVED,
            job=tasks[0].name.job_id,
            indexes=[task.name.index for task in tasks[:MAX_LOGGED_TASKS]],
            waited_s=round(now - min(task.waiting_since for task in tasks), 2),
            shard=self._state.shard,
            token=self._state.token,
        )

    def complete_tasks(self, job_id: str, tasks: Collection[TaskIndex], now: float) -> None:
        """Mark tasks as done of which another shard has found the end.

        A run of such a task is stopped: its former run was thought to have ended without result.
        """
        job = self._state.jobs.get(job_id)
        if job is None:
            return
        if not job.delegated_here:
            # A former owner may have delegated tasks of a repetition that is not open here yet.
            for repetition in {task.repetition for task in tasks}:
                self._state.repetitions.open_if_missing(job, repetition)
        found = [task for task in map(job.task, tasks) if task and not task.done]
        if not found:
            return
        for task in found:
            self._complete(task, now)
        for run in {task.step.run: None for task in found}:
            self._state.mark_dirty(run)
            self._state.open_steps(run, now)
        self._state.log(
            Event.TASKS_COMPLETED_ELSEWHERE,
            job=job_id,
            tasks=len(found),
            indexes=[short_name(task.name) for task in found[:MAX_LOGGED_TASKS]],
            shard=self._state.shard,
            token=self._state.token,
        )
        self._state.finish_if_done(job)

    def _complete(self, task: Task, now: float) -> None:
        """Mark a task as done, and stop its runs here, those of a gang's members, too."""
        task.done = True
        task.managed_by = None
        task.step.remaining_tasks -= 1
        for attempt in task.attempts:
            self._state.order_stop(attempt, now)

    def delegations(self, job_id: str, now: float) -> dict[int, tuple[Delegation, ...]]:
        """Return the open delegations of a job's tasks at a steady time, by shard."""
        job = self._state.jobs.get(job_id)
        found: dict[int, list[Delegation]] = {}
        for run in job.runs.values() if job else ():
            for task in run.tasks():
                if task.managed_by is not None and task.delegation_number and not task.done:
                    found.setdefault(task.managed_by, []).append(last_delegation_of(task, now))
        return {shard: tuple(delegations) for shard, delegations in found.items()}

    def remove_moved(self, job_id: str) -> None:
        """Remove a job that was moved to another shard."""
        self._state.departed_jobs.add(job_id)
        job = self._state.jobs.pop(job_id, None)
        if job is None:
            return
        self._state.repetitions.drop_records(job)
        for run in job.runs.values():
            self._state.dirty.pop((job_id, run.repetition), None)
            self._state.forget_steps(run)


def last_delegation_of(task: Task, now: float) -> Delegation:
    """Return a task's last delegation, with the task's crash history and the time it has waited.

    Args:
        task: The task.
        now: Steady time.
    """
    known = task.crash_history
    delegation = Delegation(
        task.name.step,
        task.name.index,
        task.delegation_number,
        waited_s=0.0 if task.waiting_since == NEVER else max(now - task.waiting_since, 0.0),
        repetition=task.name.repetition,
        next_run=task.next_run,
        never_ran=task.never_ran,
        checkpoint=task.checkpoint,
        saved_by=task.saved_by,
        failed_runs=tuple(sorted(task.failed.identified_runs)),
        more_failures=task.failed.unidentified,
    )
    if known is None:
        return delegation
    return replace(
        delegation,
        crash_count=known.crash_count,
        crash_score=known.crash_score,
        identified_crashes=known.identified_crashes,
        give_up_deferred=known.deferred_for_next_owner,
    )


def _failures_of(delegation: Delegation) -> Failures:
    """Return the failed runs that a delegation carries."""
    return Failures(
        frozenset(delegation.failed_runs), delegation.more_failures, delegation.next_run
    )
