"""The decisions of a shard's owner: pure state, input and time in, orders out.

What keeps a task from running twice: a task gets an attempt only while it has
none (``Task.pending``); an attempt goes away only when the executor lists its end,
when a stop of it was taken, when the executor's incarnation is proved gone, or
when every lease granted there has surely ended. A new owner starts inherited work
only once each executor has answered its higher token or is past its lease
(``ShardCore.may_start``).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from linkspan.events import Event
from linkspan.jobs.records import Finished, JobState, Loan
from linkspan.shard.colocation import ColocationBook
from linkspan.shard.executor import ExecutorState, UnackedEnd
from linkspan.shard.health import UNHEALTHY_PAUSE_S, HealthBook
from linkspan.shard.leases import LeaseClock
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorRecord,
    ExecutorReport,
    PaceOrder,
    RunningTask,
    StartAnswer,
    StartOrder,
    StartOutcome,
    StopOrder,
    TaskName,
)
from linkspan.shard.progress import RunKey, key_of, restore_run
from linkspan.shard.state import NEVER, Attempt, JobRun, Phase, ShardJob, StepRun, Task, new_run

if TYPE_CHECKING:
    from linkspan.host.configuration import Configuration
    from linkspan.host.settings import Bounds
    from linkspan.jobs.records import Submitted

Order = StartOrder | StopOrder | PaceOrder

INHERITED_RUN_GAP = 16
"""Numbers left out for a task whose former owner may have started runs that it did
not record: more than it can have started within its unrecorded last moments."""

STOP_RESEND_S = 0.5
"""Time after which a stop whose end was not listed is sent again."""

RETRY_REFUSED_S = 0.05
"""Pause before a start that was refused for want of room is tried again: the time
in which the executor's next report tells what it has."""


class ShardCore:
    """State and decisions of one tenure of a shard.

    Args:
        shard: Number of the shard.
        bounds: Times that the deployment grants.
        log: Takes an event and its fields.
    """

    def __init__(
        self,
        shard: int,
        bounds: Bounds,
        *,
        log: Callable[..., None] = lambda _event, **_fields: None,
    ) -> None:
        self._shard = shard
        self._bounds = bounds
        self.log = log
        self._adopting: set[str] = set()
        self._gone: set[str] = set()
        # Jobs that ended here or moved away: older records of them may still be read.
        self._left: set[str] = set()
        self._inherited_until = float("-inf")
        self.executors: dict[str, ExecutorState] = {}
        self.jobs: dict[str, ShardJob] = {}
        self.health = HealthBook()
        self.colocation = ColocationBook()
        self.configuration: Configuration | None = None
        self.orders: list[Order] = []
        self.finished: list[Finished] = []
        self.begun: list[str] = []
        self.dirty: dict[tuple[str, int], JobRun] = {}
        self.dropped: list[bytes] = []
        self.look_at: set[str] = set()
        self.ready: dict[StepRun, None] = {}

    def __repr__(self) -> str:
        return f"ShardCore({self._shard}, {len(self.jobs)} jobs, {len(self.executors)} executors)"

    @property
    def shard(self) -> int:
        """Number of the shard."""
        return self._shard

    @property
    def bounds(self) -> Bounds:
        """Times that the deployment grants."""
        return self._bounds

    # Taking over

    def inherit(self, roster: Iterable[ExecutorRecord], until: float) -> None:
        """Take over executors on which a former owner may have started work.

        Args:
            roster: Those executors.
            until: Steady time by which all leases granted there have ended.
        """
        self._inherited_until = until
        for record in roster:
            executor = self._add_executor(record)
            executor.rostered = True
            executor.listed = False
            self._adopting.add(record.executor_id)

    @property
    def adopting(self) -> bool:
        """Whether an inherited executor has not answered yet."""
        return bool(self._adopting)

    def may_start(self, job: ShardJob, now: float) -> bool:
        """Whether no former owner's unrecorded run of a job's tasks can be alive."""
        return not job.inherited or not self._adopting or now >= self._inherited_until

    # Executors

    def list_executors(self, records: Iterable[ExecutorRecord], now: float) -> None:
        """Take in the executors of the hall that are registered at present."""
        listed = {r.executor_id: r for r in records if r.executor_id not in self._gone}
        addresses = {record.address: record.executor_id for record in listed.values()}
        for executor_id, record in listed.items():
            known = self.executors.get(executor_id)
            if known is None:
                self.log(Event.EXECUTOR_SEEN, executor=executor_id, address=record.address)
                self._add_executor(record)
                continue
            if record.draining and not known.draining:
                self.log(
                    Event.EXECUTOR_DRAINING, executor=executor_id, remaining_s=record.remaining_s
                )
                known.leaves_at = now + record.remaining_s
            known.record = record
            known.listed = True
        for executor_id, known in list(self.executors.items()):
            if executor_id in listed:
                continue
            known.listed = False
            # One address serves one incarnation: its successor proves it gone.
            if addresses.get(known.record.address, executor_id) != executor_id:
                self.on_gone(executor_id, now, "successor at its address")

    def _add_executor(self, record: ExecutorRecord) -> ExecutorState:
        executor = self.executors.get(record.executor_id)
        if executor is None:
            executor = self.executors[record.executor_id] = ExecutorState(record)
        return executor

    def on_gone(self, executor_id: str, now: float, proof: str) -> None:
        """Take in that an incarnation is gone, with all that ran on it."""
        executor = self.executors.pop(executor_id, None)
        if executor is None:
            return
        self.log(
            Event.EXECUTOR_GONE, executor=executor_id, proof=proof, runs=len(executor.attempts)
        )
        # Its registration may outlast it, so its id is kept; ids are never used again.
        self._gone.add(executor_id)
        self._release_all(executor, now)
        self._adopting.discard(executor_id)
        self.health.forget(executor_id)

    def on_silent(self, executor_id: str, now: float) -> None:
        """Take in that a call to an executor got no answer."""
        executor = self.executors.get(executor_id)
        if executor is None:
            return
        if executor.silent_since is None:
            executor.silent_since = now
            self.log(Event.EXECUTOR_SILENT, executor=executor_id, runs=len(executor.attempts))
        if now >= self._lapsed_by(executor) and (executor.attempts or not executor.listed):
            self._on_lapsed(executor, now)

    def _lapsed_by(self, executor: ExecutorState) -> float:
        own = executor.clock.lapsed_by() if executor.clock else float("-inf")
        return own if executor.adopted else max(own, self._inherited_until)

    def _on_lapsed(self, executor: ExecutorState, now: float) -> None:
        if executor.attempts:
            self.log(
                Event.LEASES_LAPSED,
                executor=executor.executor_id,
                runs=len(executor.attempts),
                silent_s=round(now - (executor.silent_since or now), 2),
            )
        self._release_all(executor, now)
        self._adopting.discard(executor.executor_id)
        if not executor.listed:
            del self.executors[executor.executor_id]

    def _release_all(self, executor: ExecutorState, now: float) -> None:
        for attempt in list(executor.attempts.values()):
            self._close(attempt, now)

    def on_report(
        self, executor_id: str, report: ExecutorReport, *, asked: float, now: float
    ) -> None:
        """Take in an executor's report.

        Args:
            executor_id: The executor.
            report: Its report.
            asked: Steady time at which the question was sent.
            now: Steady time of the answer.
        """
        executor = self.executors.get(executor_id)
        if executor is None:
            return
        self._on_answer(executor, report.clock_s, now)
        for end in report.ended:
            if end.number > executor.seen:
                self._on_end(executor, end, now)
        listed = set()
        for row in report.running:
            listed.add((row.task, row.run))
            self._on_running(executor, row, now)
        self._on_missing(executor, listed, asked, now)
        if not executor.adopted:
            executor.adopted = True
            self._adopting.discard(executor_id)

    def _on_answer(self, executor: ExecutorState, clock_s: float | None, now: float) -> None:
        if clock_s is not None:
            if executor.clock is None:
                executor.clock = LeaseClock(clock_s, now)
            executor.clock.hear(clock_s, now)
        if executor.silent_since is not None:
            self.log(
                Event.EXECUTOR_BACK,
                executor=executor.executor_id,
                silent_s=round(now - executor.silent_since, 2),
            )
            executor.silent_since = None

    def _on_running(self, executor: ExecutorState, row: RunningTask, now: float) -> None:
        attempt = executor.attempts.get((row.task, row.run))
        if attempt is None:
            attempt = self._adopt(executor, row, now)
        if attempt is None:
            return
        if attempt.phase is not Phase.STOPPING:
            if attempt.phase is not Phase.RUNNING:
                attempt.confirmed_at = now
            attempt.phase = Phase.RUNNING
        if row.progress > attempt.progress or attempt.progress_at == NEVER:
            attempt.progress = row.progress
            attempt.progress_at = now
        attempt.usage = row.usage
        if row.checkpoint and not attempt.copy:
            attempt.task.checkpoint = row.checkpoint

    def _adopt(self, executor: ExecutorState, row: RunningTask, now: float) -> Attempt | None:
        """Take over a run that this tenure did not start, or have it stopped.

        A run that is to stop counts as an attempt until it has ended, so that its task
        is not started elsewhere before.
        """
        task = self._task(row.task)
        if task is None:
            self.orders.append(StopOrder(executor.executor_id, row.task, row.run))
            self._log_unknown(executor, row)
            return None
        attempt = Attempt(task, row.run, executor.executor_id, Phase.RUNNING, now, now)
        task.next_run = max(task.next_run, row.run + 1)
        if self._wanted(task, row.run):
            for older in list(task.attempts):
                self._detach(older)
            self._attach(executor, attempt)
            self._mark_begun(task.step.run.job)
        else:
            self._log_unknown(executor, row)
            self._attach(executor, attempt)
            self._stop(attempt, now)
        self._touch(task.step.run)
        return attempt

    def _wanted(self, task: Task, run: int) -> bool:
        """Whether a run found at an executor is its task's newest and only one.

        A former owner's record of a lower run is older than the run: it starts one
        only after the one before has ended.
        """
        if task.done or task.lent is not None or task.step.run.job.closing:
            return False
        return all(a.phase is Phase.INHERITED and a.run < run for a in task.attempts)

    def _log_unknown(self, executor: ExecutorState, row: RunningTask) -> None:
        self.log(
            Event.UNKNOWN_RUN_STOPPED,
            executor=executor.executor_id,
            job=row.task.job_id,
            task=_short(row.task),
            run=row.run,
        )

    def _on_missing(
        self,
        executor: ExecutorState,
        listed: set[tuple[TaskName, int]],
        asked: float,
        now: float,
    ) -> None:
        """Resolve attempts that a report neither lists as running nor as ended."""
        for key, attempt in list(executor.attempts.items()):
            if key in listed:
                continue
            if attempt.phase is Phase.INHERITED:
                # A start that a former owner sent can no longer be carried out:
                # the executor has seen our higher token.
                self._close(attempt, now)
            elif attempt.stop_taken_at is not None and attempt.stop_taken_at <= asked:
                # It was not there when the stop came, and is refused from then on.
                self._close(attempt, now)
            elif attempt.phase is Phase.DOUBT:
                self._stop(attempt, now)
            elif attempt.phase is Phase.RUNNING and attempt.confirmed_at < asked:
                self.log(
                    Event.RUN_LOST,
                    executor=executor.executor_id,
                    job=key[0].job_id,
                    task=_short(key[0]),
                    run=key[1],
                )
                self._stop(attempt, now)

    # Ends

    def _on_end(self, executor: ExecutorState, end: EndedTask, now: float) -> None:
        executor.seen = end.number
        task = self._task(end.task)
        run = task.step.run if task else None
        if task:
            self._apply_end(executor, task, end, now)
        version = run.version if run else 0
        executor.unacked.append(UnackedEnd(end.number, run, version))

    def _apply_end(self, executor: ExecutorState, task: Task, end: EndedTask, now: float) -> None:
        attempt = executor.attempts.get((end.task, end.run))
        task.next_run = max(task.next_run, end.run + 1)
        if attempt:
            self._detach(attempt)
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if end.kind is EndKind.DONE:
            self._on_done(executor, task, attempt, now)
        elif end.kind is EndKind.FAILED:
            if attempt or end.run >= task.counted_run:
                self._on_failed(executor, task, end, now)
        elif attempt and not attempt.moved and not task.step.run.job.closing:
            self.log(
                Event.RUN_ENDED,
                executor=executor.executor_id,
                job=end.task.job_id,
                task=_short(end.task),
                run=end.run,
                how=end.kind.value,
            )
        if task.pending:
            self._mark_ready(task, now)
        self._touch(task.step.run)

    def _on_done(
        self, executor: ExecutorState, task: Task, attempt: Attempt | None, now: float
    ) -> None:
        self.health.succeeded(executor.executor_id)
        if task.done:
            return
        if attempt and attempt.confirmed_at > 0:
            self._note_duration(executor, task, now - attempt.placed_at, now)
        if task.step.spec.gang:
            for member in task.step.tasks:
                self._mark_done(member, now)
        else:
            self._mark_done(task, now)
        run = task.step.run
        if task.step.left == 0:
            self._open_steps(run, now)
        if run.done:
            self._finish_if_done(run.job)

    def _mark_done(self, task: Task, now: float) -> None:
        if task.done:
            return
        task.done = True
        task.step.left -= 1
        for other in task.attempts:
            # The run that ended is detached; a copy of it is no longer wanted.
            # Members of a gang end by themselves.
            if not task.step.spec.gang:
                self._stop(other, now)

    def _note_duration(
        self, executor: ExecutorState, task: Task, took_s: float, now: float
    ) -> None:
        step = task.step
        step.durations.append(took_s)
        if step.spec.best_effort or step.spec.checkpoints or len(step.durations) < 3:
            return
        ordered = sorted(step.durations)
        like = ordered[len(ordered) // 2]
        if like > 0:
            self.health.took(executor.executor_id, took_s / like, now)

    def _open_steps(self, run: JobRun, now: float) -> None:
        for step in run.steps:
            if not step.left or not step.open:
                continue
            self.ready[step] = None
            for task in step.tasks:
                if task.ready_since == NEVER:
                    task.ready_since = now
                    task.away_since = now

    def release_due(self, wall: float, now: float) -> None:
        """Open repetitions that are due.

        Args:
            wall: Time of day, in seconds since 1970.
            now: Steady time.
        """
        for job in self.jobs.values():
            schedule = job.spec.schedule
            if schedule is None or job.closing:
                continue
            for run in job.runs.values():
                if not run.released and schedule.due(run.repetition) <= wall:
                    run.released = True
                    self._open_steps(run, now)

    def _finish_if_done(self, job: ShardJob) -> None:
        if job.borrowed:
            return
        if len(job.runs) == job.spec.repetitions and all(run.done for run in job.runs.values()):
            self._decide(job, JobState.SUCCEEDED)

    def _on_failed(self, executor: ExecutorState, task: Task, end: EndedTask, now: float) -> None:
        job = task.step.run.job
        if task.done or job.closing:
            return
        if not task.step.spec.standing:
            task.avoid.add(executor.executor_id)
        failures = self._count_failure(task, end.run)
        until = self.health.failed(executor.executor_id, job.job_id, now)
        self.log(
            Event.RUN_FAILED,
            executor=executor.executor_id,
            job=job.job_id,
            task=_short(end.task),
            run=end.run,
            failures=failures,
            most=job.max_attempts,
        )
        if until is not None:
            executor.distrusted_until = max(executor.distrusted_until, until)
            self.log(
                Event.EXECUTOR_DISTRUSTED,
                executor=executor.executor_id,
                seconds=round(until - now, 2),
            )
        if not task.step.spec.standing and failures >= job.max_attempts:
            self._decide(job, JobState.FAILED)

    def _count_failure(self, task: Task, run: int) -> int:
        """Count a failed run and return how often the task, or its gang, has failed."""
        step = task.step
        if not step.spec.gang:
            task.failures += 1
            return task.failures
        if run not in step.failed_runs:
            step.failed_runs.add(run)
            task.failures += 1
        return step.failures

    # Jobs

    def add_job(
        self,
        submitted: Submitted,
        now: float,
        *,
        inherited: bool = False,
        moved: bool = False,
        progress: dict[int, bytes] | None = None,
        borrowed: Iterable[Loan] | None = None,
    ) -> None:
        """Take in an accepted job.

        Args:
            submitted: The job.
            now: Steady time.
            inherited: Whether a former owner may have started tasks of it.
            moved: Whether another shard gave it to this one.
            progress: Records of its repetitions, by number.
            borrowed: Loans of its tasks to this shard, ``None`` if it lives here.

        Raises:
            RecordError: A progress record does not fit the job.
        """
        job_id = submitted.spec.job_id
        if job_id in self.jobs or job_id in self._left:
            return
        job = ShardJob(submitted, inherited=inherited, moved=moved)
        job.borrowed = borrowed is not None
        self.jobs[job.job_id] = job
        self.refresh_queue(job)
        for repetition in range(job.spec.repetitions):
            run = job.runs[repetition] = new_run(job, repetition)
            run.released = job.spec.schedule is None
            if progress and repetition in progress:
                self._restore(run, progress[repetition], now)
            elif inherited:
                for task in run.tasks():
                    task.next_run = INHERITED_RUN_GAP
            if borrowed is not None:
                _keep_only(run, borrowed, submitted.shard)
            self._open_steps(run, now)
        self._finish_if_done(job)

    def borrow_more(self, job_id: str, loans: Iterable[Loan], now: float) -> None:
        """Take in all open loans of a job's tasks to this shard."""
        job = self.jobs.get(job_id)
        run = job.runs.get(0) if job and job.borrowed else None
        if run is None:
            return
        for loan in loans:
            task = run.steps[loan.step].tasks[loan.index]
            if task.lent is not None and task.loan < loan.number:
                task.lent = None
                task.loan = loan.number
                self._mark_ready(task, now)

    def give_away(self, job_id: str, shard: int, tasks: Iterable[tuple[int, int]]) -> JobRun | None:
        """Stop looking after pending tasks of a job; return their repetition.

        A loan of a task that lives here gets the next number; a task that was lent to
        this shard goes back under the number that it came with.
        """
        job = self.jobs.get(job_id)
        run = job.runs.get(0) if job else None
        if job is None or run is None:
            return None
        for step, index in tasks:
            task = run.steps[step].tasks[index]
            task.lent = shard
            task.loan += 0 if job.borrowed else 1
        self._touch(run)
        return run

    def take_back(self, job_id: str, returned: Iterable[Loan], now: float) -> None:
        """Look after tasks again whose loans were given back."""
        job = self.jobs.get(job_id)
        run = job.runs.get(0) if job and not job.borrowed else None
        if run is None:
            return
        for loan in returned:
            task = run.steps[loan.step].tasks[loan.index]
            if task.lent is not None and task.loan == loan.number:
                task.lent = None
                self._touch(run)
                self._mark_ready(task, now)

    def loans(self, job_id: str) -> dict[int, tuple[Loan, ...]]:
        """Return the loans of a job's tasks that are out, by shard."""
        job = self.jobs.get(job_id)
        loans: dict[int, tuple[Loan, ...]] = {}
        for run in job.runs.values() if job else ():
            for task in run.tasks():
                if task.lent is not None and task.loan:
                    loan = Loan(task.name.step, task.name.index, task.loan)
                    loans[task.lent] = (*loans.get(task.lent, ()), loan)
        return loans

    def remove_moved(self, job_id: str) -> None:
        """Forget a job that was moved to another shard."""
        self._left.add(job_id)
        job = self.jobs.pop(job_id, None)
        for run in job.runs.values() if job else ():
            self.dirty.pop((job_id, run.repetition), None)
            self.dropped.append(key_of(run))
            for step in run.steps:
                self.ready.pop(step, None)

    def _restore(self, run: JobRun, value: bytes, now: float) -> None:
        restore_run(run, value, now)
        self._mark_begun(run.job)
        for task in run.tasks():
            task.next_run += INHERITED_RUN_GAP
            for attempt in list(task.attempts):
                executor = self.executors.get(attempt.executor_id)
                if executor:
                    executor.add(attempt)
                else:
                    # Not on the roster, so proved gone by the former owner.
                    task.attempts.remove(attempt)
        self._fail_if_used_up(run)

    def _fail_if_used_up(self, run: JobRun) -> None:
        for step in run.steps:
            most = step.failures if step.spec.gang else max(t.failures for t in step.tasks)
            if most >= run.job.max_attempts and not step.spec.standing:
                self._decide(run.job, JobState.FAILED)

    def refresh_queue(self, job: ShardJob) -> None:
        """Take a job's limits from the configuration in force.

        A job whose queue was removed keeps what it had.
        """
        queue = self.configuration and self.configuration.queues.get(job.spec.queue)
        if not queue:
            return
        job.max_attempts = queue.max_attempts
        job.priority = queue.priority
        job.objective_s = queue.stretch * job.spec.critical_path_s + queue.target_s
        job.service = queue.service

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self.configuration = configuration
        for job in self.jobs.values():
            self.refresh_queue(job)

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job; a job that is decided already stays as it is."""
        job = self.jobs.get(job_id)
        if job and not job.closing:
            self._decide(job, JobState.CANCELLED)

    def _decide(self, job: ShardJob, state: JobState) -> None:
        if job.closing:
            return
        job.closing = True
        if job.borrowed:
            # Its own shard writes the final record.
            return
        self.log(Event.JOB_DECIDED, job=job.job_id, state=state.value)
        # The owner puts its time of day in when it writes the record.
        self.finished.append(Finished(job.job_id, state, self._shard, 0.0, job.spec.queue))

    def on_finished(self, job_id: str) -> None:
        """Take in that a job's final record is durable."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        self._left.add(job_id)
        for run in job.runs.values():
            run.durable = float("inf")
            self.dirty.pop((job_id, run.repetition), None)
            self.dropped.append(key_of(run))
        job.closing = True
        self._forget_if_quiet(job)

    def drop_progress(self, job_id: str, repetitions: Iterable[int]) -> None:
        """Have the records of a job that is finished, or void, removed."""
        self.dropped += [RunKey(job_id, number).encode() for number in repetitions]

    def _forget_if_quiet(self, job: ShardJob) -> None:
        if any(True for _ in job.attempts()):
            return
        if all(run.durable == float("inf") for run in job.runs.values()):
            self.jobs.pop(job.job_id, None)

    # Orders and their answers

    def place(
        self,
        task: Task,
        executor: ExecutorState,
        now: float,
        *,
        ticket: str = "",
        run: int | None = None,
        copy: bool = False,
    ) -> Attempt:
        """Decide to start a task on an executor.

        Args:
            task: The task; it must be pending unless this is a copy.
            executor: Where to.
            now: Steady time.
            ticket: Permission of the queue's placement policy.
            run: Number shared by a gang, ``None`` for the task's next one.
            copy: Whether it may run beside another attempt.
        """
        number = task.next_run if run is None else run
        attempt = Attempt(task, number, executor.executor_id, Phase.STARTING, now, copy=copy)
        task.next_run = number + 1
        self._attach(executor, attempt)
        self._touch(task.step.run)
        job = task.step.run.job
        self._mark_begun(job)
        checkpoint = "" if copy else task.checkpoint
        self.orders.append(
            StartOrder(
                executor.executor_id, task.name, number, job.spec.payload, checkpoint, ticket
            )
        )
        return attempt

    def unplace(self, attempt: Attempt) -> None:
        """Take back a placement whose order was not handed out."""
        self._detach(attempt)
        attempt.task.next_run = attempt.run

    def waited(self, order: StartOrder, now: float) -> float:
        """Return how long the task of a start waited for it, in seconds."""
        task = self._task(order.task)
        return max(now - task.ready_since, 0.0) if task else 0.0

    def on_started(self, order: StartOrder, answer: StartAnswer, now: float) -> None:
        """Take in an executor's answer to a start."""
        executor = self.executors.get(order.executor_id)
        if executor is None:
            return
        self._on_answer(executor, answer.clock_s, now)
        attempt = executor.attempts.get((order.task, order.run))
        if attempt is None:
            return
        if answer.outcome is StartOutcome.STARTED:
            if attempt.phase in (Phase.STARTING, Phase.DOUBT):
                attempt.phase = Phase.RUNNING
                attempt.confirmed_at = now
            return
        self.log(
            Event.START_REFUSED,
            executor=order.executor_id,
            job=order.task.job_id,
            task=_short(order.task),
            run=order.run,
            reason=answer.outcome.value,
        )
        if answer.outcome is StartOutcome.UNHEALTHY:
            executor.distrusted_until = max(executor.distrusted_until, now + UNHEALTHY_PAUSE_S)
        if answer.outcome is StartOutcome.INVALID:
            attempt.task.avoid.add(order.executor_id)
        attempt.task.not_before = now + RETRY_REFUSED_S
        self._close(attempt, now)

    def on_start_unanswered(self, order: StartOrder, now: float) -> None:
        """Take in that a start got no answer: it may be carried out later."""
        executor = self.executors.get(order.executor_id)
        attempt = executor.attempts.get((order.task, order.run)) if executor else None
        if attempt is None or attempt.phase is not Phase.STARTING:
            return
        attempt.phase = Phase.DOUBT
        self.look_at.add(order.executor_id)
        self.log(
            Event.START_IN_DOUBT,
            executor=order.executor_id,
            job=order.task.job_id,
            task=_short(order.task),
            run=order.run,
        )

    def on_start_unsent(self, order: StartOrder, now: float) -> None:
        """Take in that a start was surely never sent."""
        executor = self.executors.get(order.executor_id)
        attempt = executor.attempts.get((order.task, order.run)) if executor else None
        if attempt and attempt.phase is Phase.STARTING:
            self._close(attempt, now)

    def on_stopped(self, order: StopOrder, taken: bool, now: float) -> None:
        """Take in an executor's answer to a stop.

        A stop that was taken keeps a run that is not there from ever starting. One
        that is there ends within the stop time and is then listed.
        """
        executor = self.executors.get(order.executor_id)
        attempt = executor.attempts.get((order.task, order.run)) if executor else None
        if executor is None or attempt is None or not taken:
            return
        if attempt.stop_taken_at is None:
            # Whether it ran is told by the next look: it is then listed or ended.
            attempt.stop_taken_at = now
            self.look_at.add(order.executor_id)

    def tick(self, now: float) -> None:
        """Send stops again whose end was not listed, and settle finished jobs."""
        for executor in self.executors.values():
            for attempt in executor.attempts.values():
                if (
                    attempt.phase is Phase.STOPPING
                    and now - attempt.stop_sent_at >= STOP_RESEND_S
                    and executor.silent_since is None
                ):
                    self._send_stop(attempt, now)
        for job in list(self.jobs.values()):
            if job.closing:
                for attempt in job.attempts():
                    if attempt.phase is not Phase.STOPPING:
                        self._stop(attempt, now)
                self._forget_if_quiet(job)

    def _stop(self, attempt: Attempt, now: float) -> None:
        if attempt.phase in (Phase.STOPPING, Phase.INHERITED):
            return
        attempt.phase = Phase.STOPPING
        self._send_stop(attempt, now)

    def stop(self, attempt: Attempt, now: float, *, reason: str) -> None:
        """Stop an attempt so that its task continues elsewhere."""
        self.log(
            Event.RUN_MOVED,
            executor=attempt.executor_id,
            job=attempt.task.name.job_id,
            task=_short(attempt.task.name),
            run=attempt.run,
            reason=reason,
        )
        attempt.moved = True
        self._stop(attempt, now)

    def _send_stop(self, attempt: Attempt, now: float) -> None:
        attempt.stop_sent_at = now
        self.orders.append(StopOrder(attempt.executor_id, attempt.task.name, attempt.run))

    def pace(self, attempt: Attempt, percent: int) -> None:
        """Let a run work at a share of full speed."""
        attempt.pace = percent
        self.orders.append(PaceOrder(attempt.executor_id, attempt.task.name, attempt.run, percent))

    # Bookkeeping

    def _attach(self, executor: ExecutorState, attempt: Attempt) -> None:
        attempt.task.attempts.append(attempt)
        executor.add(attempt)

    def _detach(self, attempt: Attempt) -> None:
        if attempt in attempt.task.attempts:
            attempt.task.attempts.remove(attempt)
        self.colocation.forget(attempt)
        executor = self.executors.get(attempt.executor_id)
        if executor:
            executor.remove(attempt)

    def _close(self, attempt: Attempt, now: float) -> None:
        """Let go of an attempt that surely does not run and never will."""
        self._detach(attempt)
        task = attempt.task
        if task.pending:
            self._mark_ready(task, now)
        self._touch(task.step.run)

    def _mark_ready(self, task: Task, now: float) -> None:
        task.ready_since = now
        task.away_since = now
        if task.step.open:
            self.ready[task.step] = None

    def _touch(self, run: JobRun) -> None:
        run.version += 1
        if run.durable != float("inf"):
            self.dirty[(run.job.job_id, run.repetition)] = run

    def _mark_begun(self, job: ShardJob) -> None:
        if not job.begun:
            job.begun = True
            self.begun.append(job.job_id)

    def _task(self, name: TaskName) -> Task | None:
        job = self.jobs.get(name.job_id)
        run = job.runs.get(name.repetition) if job else None
        return run.task(name) if run else None

    def describe(self) -> dict[str, Any]:
        """Return counts for a log line."""
        return {
            "jobs": len(self.jobs),
            "executors": len(self.executors),
            "adopting": len(self._adopting),
        }


def _keep_only(run: JobRun, loans: Iterable[Loan], home: int) -> None:
    """Leave all tasks but the borrowed ones to the shard that the job lives in."""
    ours = {(loan.step, loan.index): loan.number for loan in loans}
    for task in run.tasks():
        number = ours.get((task.name.step, task.name.index))
        if number is None:
            task.lent = home
        elif task.loan < number:
            task.lent = None
            task.loan = number


def _short(name: TaskName) -> str:
    return f"{name.repetition}.{name.step}.{name.index}"
