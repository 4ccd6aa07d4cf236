"""Applies the reported ends of runs: completed tasks, failures and their consequences."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from linkspan.events import Event
from linkspan.jobs.records import JobState
from linkspan.shard._log_rate_limiter import LogRateLimiter
from linkspan.shard._reasons import attempts_exhausted_fields
from linkspan.shard.attempt import NEVER
from linkspan.shard.failures import FailedRun
from linkspan.shard.job_run import INHERITED_RUN_GAP
from linkspan.shard.messages import EndKind
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from linkspan.shard.planning._expected_durations import (
    DurationUpdates,
    record_duration,
    update_expected_durations,
)
from linkspan.shard.unacked_end import UnackedEnd

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import EndedTask
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

MAX_UNKNOWN_LINES_PER_S = 20
"""Log lines per second on ends of unknown jobs: a first report after a takeover may list hundreds
of ended jobs, and finding one run means searching the logs of all hosts."""


class EndHandler:
    """Applies the ends that executors report.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._duration_updates = DurationUpdates()
        self._unknown_ends = LogRateLimiter(MAX_UNKNOWN_LINES_PER_S)

    def __repr__(self) -> str:
        return f"EndHandler({self._state!r})"

    def on_end(self, executor: ExecutorState, end: EndedTask, now: float) -> None:
        """Apply an end; it is acknowledged once its consequences are durable."""
        executor.last_handled_end = end.number
        task = self._state.repetitions.reported_task(end.task)
        run = task.step.run if task else None
        attempt = executor.attempts.get((end.task, end.run))
        withheld_until = _withheld_until(executor, end, task, attempt, now)
        if task:
            # Applies also to a run known only by its end: the job must no longer be moved as a
            # whole.
            self._state.mark_begun(task.step.run.job)
            self._apply_end(executor, task, end, now)
        else:
            self._log_unknown(executor, end, now)
        version = run.version if run else 0
        executor.unacked.append(UnackedEnd(end.number, run, version, withheld_until))
        if withheld_until > now:
            executor.withheld_ends.add(end.number)
            self._state.withheld_count += 1

    def _log_unknown(self, executor: ExecutorState, end: EndedTask, now: float) -> None:
        """Log an end of an unknown job, which has no effect on durable state."""
        left_out = self._unknown_ends.admit(now)
        if left_out is None:
            return
        self._state.log_run(
            Event.END_UNKNOWN,
            executor.executor_id,
            end.task,
            end.run,
            how=end.kind.value,
            shard=self._state.shard,
            token=self._state.token,
            left=end.task.job_id in self._state.departed_jobs,
            left_out=left_out,
        )

    def _apply_end(self, executor: ExecutorState, task: Task, end: EndedTask, now: float) -> None:
        attempt = executor.attempts.get((end.task, end.run))
        task.next_run = max(task.next_run, end.run + 1)
        task.never_ran = False
        if attempt:
            self._state.detach(attempt)
            self._state.standing_ends.observe(task.step, now)
            # The run has lasted until now, even if no answer or report had confirmed it.
            task.waiting_since = NEVER
        if not (attempt and attempt.speculative):
            task.save(end.run, end.checkpoint)
        if end.kind is EndKind.DONE:
            self._on_done(executor, task, attempt, now)
        elif end.kind is EndKind.FAILED:
            self._on_failed(executor, task, end, now)
        elif attempt and not attempt.moved and not task.step.run.job.closing:
            how = end.kind.value
            self._state.log_run(Event.RUN_ENDED, executor.executor_id, end.task, end.run, how=how)
        if task.pending:
            self._state.mark_ready(task, now)
        self._state.mark_dirty(task.step.run)

    def _on_done(
        self, executor: ExecutorState, task: Task, attempt: Attempt | None, now: float
    ) -> None:
        self._state.health.record_success(executor.executor_id)
        if task.done:
            return
        self._state.drain_rates.record_done(task, attempt, now)
        if attempt and attempt.confirmed_at > 0 and attempt.sent_once:
            # When a recovered run began was not observed, nor which of several starts began a run:
            # the wrong duration would make similar runs look like stragglers, or long ones.
            duration_s = attempt.full_pace_s_at(now)
            task.step.durations.append(duration_s)
            self._state.speed_evidence.on_done(attempt, duration_s, now)
        for member in task.step.tasks if task.step.spec.gang else (task,):
            self._state.mark_done(member, now)
        run = task.step.run
        if task.step.remaining_tasks == 0:
            self._record_step_duration(task.step)
            self._state.open_steps(run, now)
        if run.done:
            self._state.finish_if_done(run.job)

    def _record_step_duration(self, step: StepRun) -> None:
        estimator = self._state.durations
        record_duration(step, estimator)
        if self._duration_updates.are_due(estimator.learnt, len(self._state.jobs)):
            for job in self._state.jobs.values():
                update_expected_durations(job, estimator)

    def _on_failed(self, executor: ExecutorState, task: Task, end: EndedTask, now: float) -> None:
        job = task.step.run.job
        if task.done or job.closing:
            return
        if task.step.spec.standing:
            # A standing task is restarted regardless of its failures, so they are not counted.
            self._log_failed(executor, end)
            self._quarantine_if_failing(executor, task, now)
            return
        earlier_failures = task.failures
        task.note_failed(task.failed.with_run(FailedRun(end.run, executor.executor_id)))
        failures = task.step.failures if task.step.spec.gang else task.failures
        counts: dict[str, Any] = {"failures": failures, "most": job.max_attempts}
        if task.failures == earlier_failures:
            # The failure was counted before, but the end was not acknowledged then.
            self._state.count("failures_heard_again")
            self._log_failed(executor, end, event=Event.FAILURE_HEARD_AGAIN, **counts)
            return
        task.avoided_executors.add(executor.executor_id)
        self._log_failed(executor, end, **counts)
        self._quarantine_if_failing(executor, task, now)
        if job.attempts_exhausted(failures):
            why = attempts_exhausted_fields(task, failures, job.max_attempts)
            self._state.decide(job, JobState.FAILED, **why, run=end.run)

    def _log_failed(
        self,
        executor: ExecutorState,
        end: EndedTask,
        *,
        event: Event = Event.RUN_FAILED,
        **counts: Any,
    ) -> None:
        self._state.log_run(event, executor.executor_id, end.task, end.run, **counts)

    def _quarantine_if_failing(self, executor: ExecutorState, task: Task, now: float) -> None:
        """Record a failure and quarantine the executor if several jobs in a row failed there."""
        until = self._state.health.record_failure(
            executor.executor_id, task.name.job_id, now, standing=task.step.spec.standing
        )
        if until is None:
            return
        executor.quarantined_until = max(executor.quarantined_until, until)
        self._state.log(
            Event.EXECUTOR_DISTRUSTED,
            executor=executor.executor_id,
            seconds=round(until - now, 2),
        )


def _withheld_until(
    executor: ExecutorState,
    end: EndedTask,
    task: Task | None,
    attempt: Attempt | None,
    now: float,
) -> float:
    """Return the steady time until which another start of an ended run may still arrive."""
    if end.number in executor.withheld_ends:
        # A former owner withheld this end, and its records of the run may be gone.
        return now + MAX_START_DELAY_S
    if attempt is None:
        return now + MAX_START_DELAY_S if task and _may_be_unrecorded(task, end.run) else NEVER
    # If several starts were sent, another one may still arrive; a single start has arrived already.
    return NEVER if attempt.sent_once else attempt.start_may_arrive_until


def _may_be_unrecorded(task: Task, run: int) -> bool:
    """Whether a former owner may have started a run, perhaps twice, without a record of it."""
    inherited = task.step.run.job.inherited and not task.done
    return inherited and run >= task.next_run - INHERITED_RUN_GAP
