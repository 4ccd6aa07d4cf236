"""In-memory state of a shard's owner, and the updates shared by all of its decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.jobs.records import Finished, JobState
from linkspan.shard._executor_table import ExecutorTable
from linkspan.shard._reasons import attempts_exhausted_fields, short_name
from linkspan.shard._repetitions import Repetitions
from linkspan.shard.attempt import NEVER, Phase
from linkspan.shard.colocation.interference import InterferenceEstimator
from linkspan.shard.leases import LeaseClock
from linkspan.shard.messages import PaceOrder, StartOrder, StopOrder
from linkspan.shard.planning._drain_rates import DrainRates
from linkspan.shard.planning.advice import AdviceCache
from linkspan.shard.planning.durations import DurationEstimator
from linkspan.shard.planning.headroom import Headroom
from linkspan.shard.planning.set_asides import SetAsides
from linkspan.shard.planning.short_demand import ShortDemand
from linkspan.shard.planning.standing_ends import StandingEnds
from linkspan.shard.planning.start_counts import StartCounts
from linkspan.shard.recovery._unrecorded_starts import UnrecordedStarts
from linkspan.shard.reports._speed_evidence import SpeedEvidence
from linkspan.shard.reports.health import ExecutorHealth
from linkspan.shard.task import index_of
from linkspan.shard.unusable_reason import UnusableReason

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from linkspan.jobs.records import TaskIndex
    from linkspan.model.configuration import Configuration
    from linkspan.model.evacuation import Evacuation
    from linkspan.model.settings import Bounds
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.crash_history import CrashHistory
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.messages import TaskName
    from linkspan.shard.reports._executor_crashes import ExecutorCrash
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

Order = StartOrder | StopOrder | PaceOrder

MAX_UNANSWERED_STARTS = 4
"""Limits the unanswered starts of one run before its task is placed on another executor. An
executor that answers polls but no orders cannot run the task."""


class ShardState(ExecutorTable):
    """State of one tenure of a shard, with the updates that keep its parts consistent.

    Args:
        shard: Number of the shard.
        bounds: Time limits of the deployment.
        log: Writes an event with its fields.
        token: The tenure's token, which identifies its log lines among those of other owners.
        count: Increments the metric of the given name.

    Attributes:
        log: Writes an event with its fields.
        count: Increments the metric of the given name.
        jobs: Jobs that the shard manages, by id.
        departed_jobs: Jobs that finished here or moved to another shard; older records of them may
            still arrive.
        health: Statistics of the executors' failures and speed.
        speed_evidence: Passes what runs show about the speed of their executors to ``health``.
        interference: Estimates of how much colocated tasks slow each other.
        advice: Tickets of the queues' placement policies.
        durations: Estimates of step durations.
        drain_rates: Rates at which waiting work drains.
        start_counts: Starts that were ordered, by kind of work and size of task.
        set_asides: Resources of executors that are set aside for waiting tasks.
        short_demand: What short work asks for.
        standing_ends: What standing tasks of ended jobs give back.
        headroom: Chooses what is kept of executors for short tasks.
        configuration: The configuration in force, ``None`` before the first.
        evacuation: The evacuation of the hall that is in force, ``None`` if there is none.
        orders: Orders to send, in order.
        finished: Final records to write.
        start_ordered: Jobs of which a first start was ordered, to be recorded for next owners.
        begun: Jobs whose first task has begun, to be announced.
        completed: Tasks that are done and that other shards have to hear of, by job.
        dirty: Repetitions whose records must be written, by job and number.
        write_urgent: Whether a record in ``dirty`` must be written soon; answers to starts
            can wait.
        dropped: Keys of the records to remove.
        executors_to_poll: Executors to poll at once.
        withheld_count: Number of ends withheld so far; comparing two values shows cheaply whether
            an end was withheld.
        tasks_with_crash_history: Tasks with a crash history, as an ordered set.
        unrecorded_starts: Tasks of which a start may be carried out that no record names.
        repetitions: Opens repetitions of jobs and removes those that are done.
        executor_crashes: Recent crashes of executors, the newest last.
        statement_withdrawn_at: Steady time from which this tenure does not state any more that each
            start of a standing task is on record; infinite for most.
        sole_owner_until: Steady time until which no later owner can have claimed the shard. A lease
            that ends by then has expired; a later owner may have renewed one that ends after it.
        ready: Steps with tasks that may wait for a start, as an ordered set.
    """

    def __init__(
        self,
        shard: int,
        bounds: Bounds,
        *,
        log: Callable[..., None],
        token: int = 0,
        count: Callable[[str], None] = lambda _name: None,
    ) -> None:
        super().__init__(token)
        self._shard = shard
        self._token = token
        self._bounds = bounds
        self.log = log
        self.count = count
        self.jobs: dict[str, ShardJob] = {}
        self.departed_jobs: set[str] = set()
        self.health = ExecutorHealth()
        self.speed_evidence = SpeedEvidence(self)
        self.interference = InterferenceEstimator()
        self.advice = AdviceCache()
        self.durations = DurationEstimator()
        self.drain_rates = DrainRates()
        self.start_counts = StartCounts()
        self.set_asides = SetAsides()
        self.short_demand = ShortDemand()
        self.standing_ends = StandingEnds()
        self.headroom = Headroom(self)
        self.configuration: Configuration | None = None
        self.evacuation: Evacuation | None = None
        self.orders: list[Order] = []
        self.finished: list[Finished] = []
        self.start_ordered: list[str] = []
        self.begun: list[str] = []
        self.completed: dict[str, dict[TaskIndex, None]] = {}
        self.dirty: dict[tuple[str, int], JobRun] = {}
        self.write_urgent = False
        self.dropped: list[bytes] = []
        self.executors_to_poll: set[str] = set()
        self.withheld_count = 0
        self.tasks_with_crash_history: dict[Task, None] = {}
        self.unrecorded_starts = UnrecordedStarts(self)
        self.repetitions = Repetitions(self)
        self.executor_crashes: list[ExecutorCrash] = []
        self.statement_withdrawn_at = float("inf")
        self.sole_owner_until = float("inf")
        self.ready: dict[StepRun, None] = {}

    def __repr__(self) -> str:
        return (
            f"{type(self).__name__}({self._shard}, {len(self.jobs)} jobs, "
            f"{len(self.executors)} executors)"
        )

    @property
    def shard(self) -> int:
        """Number of the shard."""
        return self._shard

    @property
    def token(self) -> int:
        """The tenure's token."""
        return self._token

    @property
    def bounds(self) -> Bounds:
        """Time limits of the deployment."""
        return self._bounds

    def remove_executor(self, name: str) -> None:
        """Remove an incarnation; the caller handles the attempts on it."""
        executor = self.executors.get(name)
        if executor:
            self.forget_expired_attempts(executor)
        super().remove_executor(name)

    def find_task(self, name: TaskName) -> Task | None:
        """Return a task by name, ``None`` if this shard does not have it."""
        job = self.jobs.get(name.job_id)
        run = job.runs.get(name.repetition) if job else None
        return run.task(name) if run else None

    def find_attempt(self, name: TaskName, run: int) -> Attempt | None:
        """Return the attempt of a task with a run number, on whichever executor it is counted."""
        task = self.find_task(name)
        return next((a for a in task.attempts if a.run == run), None) if task else None

    def admits_starts(self, executor: ExecutorState) -> bool:
        """Return whether starts may be sent to an executor, whether or not it answers now.

        Every decision to send a start asks this: the first start of a run, a start sent again, and
        each of them once more right before it is sent.
        """
        return self.evacuation is None and executor.record.takes_new_work

    def takes_work(self, executor: ExecutorState, now: float) -> bool:
        """Return whether an executor may get new work now.

        An executor that accepts work beyond its capacity gets none while it has runs that are
        unknown to this owner, as it could become overloaded.
        """
        return self.reason_unusable(executor, now) is None

    def reason_unusable(self, executor: ExecutorState, now: float) -> UnusableReason | None:
        """Return why an executor gets no new work now, ``None`` if it may get some."""
        if not self.admits_starts(executor):
            return UnusableReason.ADMITS_NONE
        reason = executor.reason_unusable(now)
        if reason is None and executor.unknown_runs:
            guarded = self.guards_room(executor.record.service)
            return None if guarded else UnusableReason.UNKNOWN_RUNS
        return reason

    def guards_room(self, service: str) -> bool:
        """Return whether executors of a service refuse work that exceeds their capacity."""
        terms = self.configuration and self.configuration.services.get(service)
        return bool(terms and terms.guards_room)

    def attach(self, executor: ExecutorState, attempt: Attempt) -> None:
        """Add an attempt to its task and its executor."""
        attempt.task.attempts.append(attempt)
        executor.add(attempt)

    def detach(self, attempt: Attempt) -> None:
        """Remove an attempt from its task and its executor."""
        if attempt in attempt.task.attempts:
            attempt.task.attempts.remove(attempt)
        self.interference.remove_load(attempt)
        executor = self.executors.get(attempt.executor_id)
        if executor:
            executor.remove(attempt)

    def close_attempt(self, attempt: Attempt, now: float) -> None:
        """Remove an attempt that is certain not to run, now or later."""
        self.detach(attempt)
        task = attempt.task
        if attempt.may_have_run:
            task.never_ran = False
        elif attempt.run == 1 and attempt.confirmed_at == NEVER:
            task.never_ran = True
        if task.pending:
            if attempt.may_have_run:
                task.waiting_since = NEVER
            self.mark_ready(task, now)
        self.mark_dirty(task.step.run)

    def keep_expired_attempts(self, executor: ExecutorState, attempts: Iterable[Attempt]) -> None:
        """Keep attempts of a silent executor whose leases have expired, until its fate is known.

        They are recorded, so that a crash under them counts if the next owner finds it.
        """
        for attempt in attempts:
            run = attempt.task.step.run
            executor.expired_attempts.append(attempt)
            run.expired_attempts.setdefault(attempt.task, []).append(attempt)
            self.mark_dirty(run)

    def forget_expired_attempts(self, executor: ExecutorState) -> None:
        """Forget the expired attempts of an executor that has answered again or has ended."""
        for attempt in executor.expired_attempts:
            run = attempt.task.step.run
            kept = [a for a in run.expired_attempts.pop(attempt.task, []) if a is not attempt]
            if kept:
                run.expired_attempts[attempt.task] = kept
            self.mark_dirty(run, urgent=False)
        executor.expired_attempts.clear()

    def set_crash_history(self, task: Task, crash_history: CrashHistory | None) -> None:
        """Set or clear a task's crash history."""
        task.crash_history = crash_history
        if crash_history:
            self.tasks_with_crash_history[task] = None
        else:
            self.tasks_with_crash_history.pop(task, None)

    def remove_finished_tasks(self) -> None:
        """Remove tasks with a crash history that are done or whose job has ended."""
        finished = [t for t in self.tasks_with_crash_history if t.done or t.step.run.job.closing]
        for task in finished:
            del self.tasks_with_crash_history[task]

    def mark_ready(self, task: Task, now: float) -> None:
        """Mark a task as waiting for a start, from now on if its last run has just ended.

        A start that did not lead to a run does not begin the wait anew.
        """
        if task.waiting_since == NEVER:
            task.waiting_since = now
        task.ready_since = max(task.ready_since, task.waiting_since)
        if task.step.open:
            self.ready[task.step] = None

    def mark_arrived(self, task: Task, waited_s: float, now: float) -> None:
        """Mark a task that another shard handed over as waiting for a start here from now on.

        Args:
            task: The task.
            waited_s: Seconds that it has already been waiting for a run in other shards.
            now: Steady time.
        """
        task.waiting_since = now - waited_s
        task.ready_since = now
        if task.step.open:
            self.ready[task.step] = None

    def log_if_ready(self, executor: ExecutorState) -> None:
        """Log that work may start on an executor from now on, if it has answered and is rostered.

        Called when either has just become true.
        """
        if executor.has_reported and executor.rostered and executor.listed:
            self.log(
                Event.EXECUTOR_READY,
                executor=executor.executor_id,
                shard=self._shard,
                token=self._token,
            )

    def mark_dirty(self, run: JobRun, *, urgent: bool = True) -> None:
        """Request that the record of a repetition is written again.

        Args:
            run: The repetition.
            urgent: Whether to write the record soon; otherwise it is written together with the
                next urgent one.
        """
        run.version += 1
        if run.durable != float("inf"):
            self.dirty[(run.job.job_id, run.repetition)] = run
            self.write_urgent |= urgent

    def is_dirty(self, run: JobRun) -> bool:
        """Return whether the record of a repetition must be written."""
        return (run.job.job_id, run.repetition) in self.dirty

    def record_versions(self) -> dict[JobRun, int]:
        """Return the present versions of the records of all repetitions."""
        return {run: run.version for job in self.jobs.values() for run in job.runs.values()}

    def mark_start_ordered(self, job: ShardJob) -> None:
        """Record that a start of a task of the job may be sent from now on.

        The job can't move as a whole any more. It still waits: the start may be refused, or lost.
        """
        if not job.start_ordered:
            job.start_ordered = True
            self.start_ordered.append(job.job_id)

    def unmark_start_ordered(self, run: JobRun, version: int, *, dirty: bool) -> None:
        """Revert :meth:`mark_start_ordered` before the start is sent or recorded.

        Args:
            run: The repetition of the task.
            version: Version of the repetition before.
            dirty: Whether the repetition's record must be written for another reason.
        """
        run.job.start_ordered = False
        self.start_ordered.remove(run.job.job_id)
        if not dirty:
            self.dirty.pop((run.job.job_id, run.repetition), None)
            run.version = version

    def mark_begun(self, job: ShardJob) -> None:
        """Request the announcement, once per job, that a task of the job has begun."""
        job.start_ordered = True
        if not job.begun:
            job.begun = True
            self.begun.append(job.job_id)

    def record_contact(
        self, executor: ExecutorState, clock_s: float, now: float, *, asked: float
    ) -> None:
        """Record that an executor reported, with the reading of its clock.

        Only reports identify the incarnation whose clock they show; other answers may come from
        the next incarnation.

        Args:
            executor: The executor.
            clock_s: Reading of its clock.
            now: Steady time at which the report is applied.
            asked: Steady time at which the request was sent.
        """
        if executor.clock is None:
            # The report shows that the executor knows this tenure's token. Until then, a previous
            # owner may have granted it the longest lease, or this owner may have granted that
            # lease to the previous incarnation.
            granted_s = clock_s + self._bounds.max_lease_s
            executor.clock = LeaseClock(clock_s, now, granted_s)
            self.confirm_address(executor)
        executor.clock.observe(clock_s, now, asked=asked)
        if executor.silent_since is not None and executor.alive_at < executor.silent_since:
            # The answer was made before the executor went silent, and is applied late.
            return
        if executor.silent_since is not None:
            self.log(
                Event.EXECUTOR_BACK,
                executor=executor.executor_id,
                silent_s=round(now - executor.silent_since, 2),
            )
            executor.silent_since = None
        if executor.expired_attempts:
            self.forget_expired_attempts(executor)

    def send_start(self, attempt: Attempt) -> None:
        """Queue a start order, even if one was sent before."""
        task = attempt.task
        checkpoint = "" if attempt.speculative else task.checkpoint
        payload = task.step.run.job.spec.payload
        self.orders.append(
            StartOrder(
                attempt.executor_id, task.name, attempt.run, payload, checkpoint, attempt.ticket
            )
        )

    def resend_or_stop(self, attempt: Attempt, now: float) -> None:
        """Resend an unanswered start, or stop the run if it is no longer wanted there.

        A new run on another executor could run at the same time as this one: an unanswered start
        may still arrive at the executor's next incarnation, which does not know what the previous
        one was told. Resending is safe, as an executor starts the same run only once.
        """
        executor = self.executors[attempt.executor_id]
        if not self._should_resend_start(attempt, executor):
            self.order_stop(attempt, now)
        elif executor.rostered and now >= executor.no_starts_until:
            attempt.phase = Phase.STARTING
            attempt.starts += 1
            # The record tells the next owner that more than one start was sent.
            self.mark_dirty(attempt.task.step.run)
            self.send_start(attempt)

    def _should_resend_start(self, attempt: Attempt, executor: ExecutorState) -> bool:
        """Return whether a run should still begin on the executor that did not answer its start."""
        task, job = attempt.task, attempt.task.step.run.job
        if task.done or attempt.speculative or job.closing or task.decision_pending:
            return False
        if task.needs_isolation and attempt.carried_over:
            # The task may have crashed the previous incarnation: place it again, in isolation.
            return False
        if attempt.recovered and (len(task.attempts) > 1 or job.requires_ticket):
            # Records neither distinguish a speculative copy from the original nor hold a ticket.
            return False
        suits = self.admits_starts(executor) and executor.record.service == job.service
        return suits and attempt.starts < MAX_UNANSWERED_STARTS

    def order_stop(self, attempt: Attempt, now: float) -> None:
        """Stop an attempt, unless it is being stopped or the executor has to report first."""
        if attempt.phase in (Phase.STOPPING, Phase.INHERITED):
            return
        attempt.phase = Phase.STOPPING
        self.send_stop(attempt, now)

    def send_stop(self, attempt: Attempt, now: float) -> None:
        """Queue a stop order, even if one was sent before."""
        attempt.stop_sent_at = now
        self.orders.append(StopOrder(attempt.executor_id, attempt.task.name, attempt.run))

    def open_steps(self, run: JobRun, now: float) -> None:
        """Mark the steps as ready whose dependencies are done."""
        for step in run.steps:
            if not step.remaining_tasks or not step.open:
                continue
            self.ready[step] = None
            new = [task for task in step.tasks if task.ready_since == NEVER]
            for task in new:
                task.ready_since = now
                task.waiting_since = now
            if new and not run.job.inherited:
                self.short_demand.observe(step, len(new), now)

    def mark_done(self, task: Task, now: float) -> None:
        """Record that a task is done, and stop its other runs.

        Members of a gang end by themselves.
        """
        if task.done:
            return
        task.done = True
        task.step.remaining_tasks -= 1
        if task.managed_by is not None or task.step.run.job.delegated_here:
            self.announce_done(task)
        if not task.step.spec.gang:
            for attempt in task.attempts:
                self.order_stop(attempt, now)

    def announce_done(self, task: Task) -> None:
        """Request a record, for other shards, that a task is done."""
        self.announce_done_task(task.name.job_id, index_of(task))

    def announce_done_task(self, job_id: str, index: TaskIndex) -> None:
        """Request the same for a task whose repetition may not be open any more."""
        self.completed.setdefault(job_id, {})[index] = None

    def decide(self, job: ShardJob, state: JobState, **why: object) -> None:
        """Decide the final state of a job; later decisions have no effect.

        Args:
            job: The job.
            state: Its final state.
            why: Log fields with the reason for a failure.
        """
        if job.closing:
            return
        job.closing = True
        # Most jobs succeed, and their final record is durable in a moment.
        job.records_progress = state is JobState.FAILED
        if job.delegated_here and state is not JobState.FAILED:
            # The home shard writes the final record. It cannot know of failures here, so only a
            # failure is recorded by this shard.
            return
        self.log(
            Event.JOB_DECIDED,
            job=job.job_id,
            state=state.value,
            **why,
            queue=job.spec.queue,
            priority=job.priority,
            objective_s=round(job.objective_s, 2),
        )
        # The record writer replaces 0.0 by the time of day of the write.
        self.finished.append(Finished(job.job_id, state, self._shard, 0.0, job.spec.queue))

    def fail_if_exhausted(self, task: Task) -> None:
        """Decide that a job failed if a task of it, or its gang, has no attempts left."""
        job, step = task.step.run.job, task.step
        failures = step.failures if step.spec.gang else task.failures
        if job.attempts_exhausted(failures) and not step.spec.standing:
            why = attempts_exhausted_fields(task, failures, job.max_attempts)
            self.decide(job, JobState.FAILED, **why)

    def finish_if_done(self, job: ShardJob) -> None:
        """Decide that a job succeeded once all of its repetitions are done."""
        if job.delegated_here:
            return
        if job.done:
            self.decide(job, JobState.SUCCEEDED)

    def log_run(
        self, event: Event, executor_id: str, task: TaskName, run: int, **fields: object
    ) -> None:
        """Log an event of a run with additional fields."""
        name = short_name(task)
        self.log(event, job=task.job_id, task=name, run=run, **fields, executor=executor_id)

    def forget_steps(self, run: JobRun) -> None:
        """Forget the steps of a repetition that is not managed any more."""
        for step in run.steps:
            self.ready.pop(step, None)
            self.advice.remove_step(step)

    def remove_if_idle(self, job: ShardJob) -> None:
        """Remove a job whose final record is durable once none of its runs can be alive."""
        if any(True for _ in job.attempts()):
            return
        if all(run.durable == float("inf") for run in job.runs.values()):
            self.jobs.pop(job.job_id, None)
