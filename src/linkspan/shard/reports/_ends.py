"""Ends of runs: tasks that are done, failures and what they lead to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from linkspan.events import Event
from linkspan.jobs.records import JobState
from linkspan.shard._log_rate_limiter import LogRateLimiter
from linkspan.shard._reasons import used_up
from linkspan.shard.attempt import NEVER
from linkspan.shard.executor import UnackedEnd
from linkspan.shard.failures import FailedRun
from linkspan.shard.job_run import INHERITED_RUN_GAP
from linkspan.shard.messages import EndKind
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from linkspan.shard.planning._expected_durations import (
    REFRESH_EVERY,
    record_duration,
    update_expected_durations,
)

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import EndedTask
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

MAX_UNKNOWN_LINES_PER_S = 20
"""Lines a second on ends of jobs that are not in the books: a first report after a takeover
may list hundreds of jobs that have ended, and who looks for one run reads all hosts' logs."""


class Ends:
    """Acts on the ends that executors list.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._unknown = LogRateLimiter(MAX_UNKNOWN_LINES_PER_S)

    def __repr__(self) -> str:
        return f"Ends({self._state!r})"

    def on_end(self, executor: ExecutorState, end: EndedTask, now: float) -> None:
        """Act on an end; it is acknowledged once what follows from it is durable."""
        executor.last_handled_end = end.number
        task = self._state.find_task(end.task)
        run = task.step.run if task else None
        attempt = executor.attempts.get((end.task, end.run))
        held_until = _held_until(executor, end, task, attempt, now)
        if task:
            # Also a run that only its end tells of: the job must not move whole any more.
            self._state.mark_begun(task.step.run.job)
            self._apply_end(executor, task, end, now)
        else:
            self._log_unknown(executor, end, now)
        version = run.version if run else 0
        executor.unacked.append(UnackedEnd(end.number, run, version, held_until))
        if held_until > now:
            executor.withheld_ends.add(end.number)
            self._state.withheld_count += 1

    def _log_unknown(self, executor: ExecutorState, end: EndedTask, now: float) -> None:
        """Tell of an end that is taken note of with nothing durable."""
        left_out = self._unknown.take(now)
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
        if attempt:
            self._state.detach(attempt)
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
        self._state.health.succeeded(executor.executor_id)
        if task.done:
            return
        if attempt and attempt.confirmed_at > 0 and not attempt.recovered:
            # Of a run that was taken over only the rest was seen: its like would seem to straggle.
            self._note_duration(executor, task, attempt.worked_by(now), now)
        if task.step.spec.gang:
            for member in task.step.tasks:
                self._mark_done(member, now)
        else:
            self._mark_done(task, now)
        run = task.step.run
        if task.step.remaining_tasks == 0:
            self._note_length(task.step)
            self._state.open_steps(run, now)
        if run.done:
            self._state.finish_if_done(run.job)

    def _note_length(self, step: StepRun) -> None:
        lengths = self._state.durations
        record_duration(step, lengths)
        if lengths.learnt % REFRESH_EVERY == 0:
            for job in self._state.jobs.values():
                update_expected_durations(job, lengths)

    def _mark_done(self, task: Task, now: float) -> None:
        if task.done:
            return
        task.done = True
        task.step.remaining_tasks -= 1
        for other in task.attempts:
            # The run that ended is detached; a copy of it is no longer wanted.
            # Members of a gang end by themselves.
            if not task.step.spec.gang:
                self._state.order_stop(other, now)

    def _note_duration(
        self, executor: ExecutorState, task: Task, took_s: float, now: float
    ) -> None:
        step = task.step
        step.durations.append(took_s)
        if step.spec.best_effort or step.spec.checkpoints or len(step.durations) < 3:
            return
        like = step.median_s
        if like > 0:
            self._state.health.took(executor.executor_id, took_s / like, now)

    def _on_failed(self, executor: ExecutorState, task: Task, end: EndedTask, now: float) -> None:
        job = task.step.run.job
        if task.done or job.closing:
            return
        if task.step.spec.standing:
            # It is started again however often it fails: nothing is counted.
            self._log_failed(executor, end)
            self._note_health(executor, task, now)
            return
        known = task.failures
        task.failed = task.failed.with_run(FailedRun(end.run, executor.executor_id))
        failures = task.step.failures if task.step.spec.gang else task.failures
        counts: dict[str, Any] = {"failures": failures, "most": job.max_attempts}
        if task.failures == known:
            # It was counted before, and its end had not been acknowledged.
            self._state.count("failures_heard_again")
            self._log_failed(executor, end, event=Event.FAILURE_HEARD_AGAIN, **counts)
            return
        task.avoided_executors.add(executor.executor_id)
        self._log_failed(executor, end, **counts)
        self._note_health(executor, task, now)
        if job.used_up(failures):
            why = used_up(task, failures, job.max_attempts)
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

    def _note_health(self, executor: ExecutorState, task: Task, now: float) -> None:
        """Have an executor rest at which tasks of several jobs failed."""
        job_id = task.name.job_id
        until = self._state.health.failed(executor.executor_id, job_id, now)
        if until is None:
            return
        executor.quarantined_until = max(executor.quarantined_until, until)
        self._state.log(
            Event.EXECUTOR_DISTRUSTED,
            executor=executor.executor_id,
            seconds=round(until - now, 2),
        )


def _held_until(
    executor: ExecutorState,
    end: EndedTask,
    task: Task | None,
    attempt: Attempt | None,
    now: float,
) -> float:
    """Return until when a start of a run that ended may be on its way, in steady time."""
    if end.number in executor.withheld_ends:
        # A former owner held it, whose records of the run may be gone.
        return now + MAX_START_DELAY_S
    if attempt is None:
        return now + MAX_START_DELAY_S if task and _unrecorded(task, end.run) else NEVER
    # Of several orders another one may still come; the only one was carried out.
    return NEVER if attempt.sent_once else attempt.start_may_arrive_until


def _unrecorded(task: Task, run: int) -> bool:
    """Whether a former owner began a run, and maybe sent it twice, of which no record tells."""
    inherited = task.step.run.job.inherited and not task.done
    return inherited and run >= task.next_run - INHERITED_RUN_GAP
