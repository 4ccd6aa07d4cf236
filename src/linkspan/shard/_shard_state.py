"""What a shard's owner knows, and the bookkeeping that all of its decisions share."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.jobs.records import Finished, JobState
from linkspan.shard._reasons import short_name
from linkspan.shard.attempt import NEVER, Phase
from linkspan.shard.colocation.interference import InterferenceEstimator
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.leases import LeaseClock
from linkspan.shard.messages import PaceOrder, StartOrder, StopOrder
from linkspan.shard.ownership._tokens import TenureTokens
from linkspan.shard.planning.advice import AdviceCache
from linkspan.shard.planning.durations import DurationEstimator
from linkspan.shard.reports.health import ExecutorHealth

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.model.configuration import Configuration
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
"""Starts of one run that get no answer before its task goes elsewhere: an executor that answers
looks and no orders is of no use to it."""


MAX_REMEMBERED_INCARNATIONS = 64
"""Lives off the books of which something is kept: a hall has more executors only where hundreds of
hosts are."""


class ShardState:
    """State of one tenure of a shard, and the changes that keep its parts in step.

    Args:
        shard: Number of the shard.
        bounds: Times that the deployment grants.
        log: Takes an event and its fields.
        token: The tenure's token, which tells its log lines from those of other owners.
        count: Takes the name of what is counted, for metrics.

    Attributes:
        log: Takes an event and its fields.
        count: Takes the name of what is counted.
        tokens: Fencing tokens of the executors' lives.
        executors: Executors that are registered or may run something, by name.
        incarnations_by_id: The same by id: lives that share one, of which at most one goes on.
        withheld_ends: Ends that are held of lives that left the books, which may be back.
        membership_changes: How many lives came or went, so that nobody need compare them all.
        awaiting_report_ids: Inherited executors that have not answered yet.
        resolved_inherited: How many of the others answered, are gone or outlived their lease.
        jobs: Jobs that the shard looks after, by id.
        departed_jobs: Jobs that ended here or moved away: older records of them may still be read.
        health: What is known of the executors' soundness.
        interference: What is known of how tasks disturb each other.
        advice: Tickets of the queues' placement policies.
        durations: What is known of how long steps take.
        configuration: The configuration in force, ``None`` before the first.
        orders: Orders to hand out, in order.
        finished: Final records to write.
        begun: Jobs of which a first task was started, to be told.
        dirty: Repetitions whose records are to be written, by job and number.
        write_urgent: Whether any of these records waits for more than an answer to a start.
        dropped: Keys of the records to remove.
        executors_to_poll: Executors to be asked at once.
        withheld_count: How many ends were held back so far, so that nobody need compare them all.
        suspects: Tasks under which executors crashed, as an ordered set.
        executor_crashes: Executors that fell, the newest last.
        sole_owner_until: Steady time until which no later owner can have claimed the shard. A lease
            that ends by then is over; one that ends after it a later owner may have renewed.
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
        self._shard = shard
        self._token = token
        self._bounds = bounds
        self.log = log
        self.count = count
        self.tokens = TenureTokens(token)
        self.executors: dict[str, ExecutorState] = {}
        self.incarnations_by_id: dict[str, dict[str, ExecutorState]] = {}
        self.withheld_ends: dict[str, set[int]] = {}
        self.membership_changes = 0
        self.awaiting_report_ids: set[str] = set()
        self.resolved_inherited: Counter[str] = Counter()
        self.jobs: dict[str, ShardJob] = {}
        self.departed_jobs: set[str] = set()
        self.health = ExecutorHealth()
        self.interference = InterferenceEstimator()
        self.advice = AdviceCache()
        self.durations = DurationEstimator()
        self.configuration: Configuration | None = None
        self.orders: list[Order] = []
        self.finished: list[Finished] = []
        self.begun: list[str] = []
        self.dirty: dict[tuple[str, int], JobRun] = {}
        self.write_urgent = False
        self.dropped: list[bytes] = []
        self.executors_to_poll: set[str] = set()
        self.withheld_count = 0
        self.suspects: dict[Task, None] = {}
        self.executor_crashes: list[ExecutorCrash] = []
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
        """Times that the deployment grants."""
        return self._bounds

    def add_executor(self, executor: ExecutorState) -> None:
        """Take in a life of an executor."""
        name = executor.executor_id
        self.executors[name] = executor
        incarnations = self.incarnations_by_id.setdefault(Incarnation.of(name).executor_id, {})
        executor.token = self.tokens.of_next(incarnations.values())
        incarnations[name] = executor
        executor.withheld_ends |= self.withheld_ends.pop(name, set())
        self.membership_changes += 1

    def outdated(self, executor: ExecutorState) -> bool:
        """Whether a next life may have been told a higher token than this one's.

        Otherwise a call that is refused by its token tells of a newer owner.
        """
        if self.executors.get(executor.executor_id) is not executor:
            return True
        incarnations = self.incarnations_by_id[Incarnation.of(executor.executor_id).executor_id]
        return any(other.token > executor.token for other in incarnations.values())

    def remove_executor(self, name: str) -> None:
        """Let go of a life; what is on it stays for the caller to settle."""
        executor = self.executors.pop(name, None)
        if executor:
            self.tokens.on_end(executor.token)
            self._keep_held(executor)
        executor_id = Incarnation.of(name).executor_id
        incarnations = self.incarnations_by_id.get(executor_id, {})
        incarnations.pop(name, None)
        if not incarnations:
            self.incarnations_by_id.pop(executor_id, None)
        self.membership_changes += 1

    def _keep_held(self, executor: ExecutorState) -> None:
        """Keep which ends of a life are held: taken for lost, it may only be cut off."""
        if not executor.withheld_ends:
            return
        if len(self.withheld_ends) >= MAX_REMEMBERED_INCARNATIONS:
            del self.withheld_ends[next(iter(self.withheld_ends))]
        self.withheld_ends[executor.executor_id] = executor.withheld_ends

    def resolve_inherited(self, executor_id: str, how: str) -> None:
        """Wait no longer for an inherited executor, and count why."""
        if executor_id in self.awaiting_report_ids:
            self.awaiting_report_ids.remove(executor_id)
            self.resolved_inherited[how] += 1

    def find_task(self, name: TaskName) -> Task | None:
        """Return a task by name, ``None`` if this shard has none of that name."""
        job = self.jobs.get(name.job_id)
        run = job.runs.get(name.repetition) if job else None
        return run.task(name) if run else None

    def find_attempt(self, name: TaskName, run: int) -> Attempt | None:
        """Return a run of a task, wherever it counts by now."""
        task = self.find_task(name)
        return next((a for a in task.attempts if a.run == run), None) if task else None

    def recorded_incarnation(self, name: str) -> ExecutorState | None:
        """Return the life that a record names.

        Of roster and progress one may be of an earlier version, which knows no births: then it
        is whichever life of that id the other names.
        """
        known = self.executors.get(name)
        incarnation = Incarnation.of(name)
        if known or (
            incarnation.started_at_ms is not None and incarnation.executor_id in self.executors
        ):
            return known or self.executors[incarnation.executor_id]
        if incarnation.started_at_ms is not None:
            return None
        return next(iter(self.incarnations_by_id.get(name, {}).values()), None)

    def takes_work(self, executor: ExecutorState, now: float) -> bool:
        """Whether an executor may get new work.

        One that does not guard its room gets none while it runs what is not in these
        books: it would be overfilled.
        """
        if not executor.usable(now):
            return False
        return not executor.unknown_runs or self.guards_room(executor.record.service)

    def guards_room(self, service: str) -> bool:
        """Whether executors of a service refuse what does not fit."""
        terms = self.configuration and self.configuration.services.get(service)
        return bool(terms and terms.guards_room)

    def attach(self, executor: ExecutorState, attempt: Attempt) -> None:
        """Count an attempt in at its task and its executor."""
        attempt.task.attempts.append(attempt)
        executor.add(attempt)

    def detach(self, attempt: Attempt) -> None:
        """Count an attempt out at its task and its executor."""
        if attempt in attempt.task.attempts:
            attempt.task.attempts.remove(attempt)
        self.interference.forget(attempt)
        executor = self.executors.get(attempt.executor_id)
        if executor:
            executor.remove(attempt)

    def close(self, attempt: Attempt, now: float) -> None:
        """Let go of an attempt that surely does not run and never will."""
        self.detach(attempt)
        task = attempt.task
        if task.pending:
            self.mark_ready(task, now)
        self.mark_dirty(task.step.run)

    def set_crash_history(self, task: Task, crash_history: CrashHistory | None) -> None:
        """Set what crashes say against a task."""
        task.crash_history = crash_history
        if crash_history:
            self.suspects[task] = None
        else:
            self.suspects.pop(task, None)

    def remove_finished_suspects(self) -> None:
        """Forget suspects that are done, or whose job has ended."""
        over = [t for t in self.suspects if t.done or t.step.run.job.closing]
        for task in over:
            del self.suspects[task]

    def mark_ready(self, task: Task, now: float) -> None:
        """Let a task wait for a start from now on."""
        task.ready_since = now
        task.away_since = now
        if task.step.open:
            self.ready[task.step] = None

    def mark_dirty(self, run: JobRun, *, urgent: bool = True) -> None:
        """Have the record of a repetition written again.

        Args:
            run: The repetition.
            urgent: Whether to write it soon, and not with what is written next.
        """
        run.version += 1
        if run.durable != float("inf"):
            self.dirty[(run.job.job_id, run.repetition)] = run
            self.write_urgent |= urgent

    def is_dirty(self, run: JobRun) -> bool:
        """Whether the record of a repetition is to be written."""
        return (run.job.job_id, run.repetition) in self.dirty

    def mark_begun(self, job: ShardJob) -> None:
        """Have it told, once, that a task of a job was started."""
        if not job.begun:
            job.begun = True
            self.begun.append(job.job_id)

    def unmark_begun(self, run: JobRun, *, dirty: bool) -> None:
        """Take back, before it is told or written, that a first task was started.

        Args:
            run: The repetition that the task is of.
            dirty: Whether its record was to be written in any case.
        """
        run.job.begun = False
        self.begun.remove(run.job.job_id)
        if not dirty:
            self.dirty.pop((run.job.job_id, run.repetition), None)

    def record_contact(self, executor: ExecutorState, clock_s: float, now: float) -> None:
        """Take in that an executor reported, and what its clock showed.

        Only reports say whose clock it is: other answers may come from the next life.
        """
        if executor.clock is None:
            # Until this answer, which shows that it knows our token, a former owner may
            # have granted the longest lease there, and so may we to the life before.
            granted_s = clock_s + self._bounds.max_lease_s
            executor.clock = LeaseClock(clock_s, now, granted_s)
        executor.clock.observe(clock_s, now)
        if executor.silent_since is not None:
            self.log(
                Event.EXECUTOR_BACK,
                executor=executor.executor_id,
                silent_s=round(now - executor.silent_since, 2),
            )
            executor.silent_since = None
            executor.expired_attempts.clear()

    def send_start(self, attempt: Attempt) -> None:
        """Add a start order, also where one was sent before."""
        task = attempt.task
        checkpoint = "" if attempt.speculative else task.checkpoint
        payload = task.step.run.job.spec.payload
        self.orders.append(
            StartOrder(
                attempt.executor_id, task.name, attempt.run, payload, checkpoint, attempt.ticket
            )
        )

    def start_again(self, attempt: Attempt, now: float) -> None:
        """Send a start again that got no answer, or have the run stopped where that is no use.

        A run begun elsewhere might run beside this one: an order that is on its way outlasts the
        executor's life, and with it what that life was told. The same run can begin there once.
        """
        executor = self.executors[attempt.executor_id]
        if not self._wants_again(attempt, executor):
            self.order_stop(attempt, now)
        elif executor.rostered:
            attempt.phase = Phase.STARTING
            attempt.starts += 1
            # A next owner is to know that there is more than one order.
            self.mark_dirty(attempt.task.step.run)
            self.send_start(attempt)

    def _wants_again(self, attempt: Attempt, executor: ExecutorState) -> bool:
        """Whether a run is to begin where its start got no answer."""
        task, job = attempt.task, attempt.task.step.run.job
        if task.done or attempt.speculative or job.closing:
            return False
        if task.needs_isolation and attempt.carried_over:
            # It may be what ended the life before: it is placed anew, apart from others.
            return False
        if attempt.recovered and (len(task.attempts) > 1 or job.requires_ticket):
            # On record, neither a copy is told from what it runs beside, nor a ticket.
            return False
        suits = executor.record.takes_new_work and executor.record.service == job.service
        return suits and attempt.starts < MAX_UNANSWERED_STARTS

    def order_stop(self, attempt: Attempt, now: float) -> None:
        """Order a stop of an attempt, unless one is out or the executor must answer first."""
        if attempt.phase in (Phase.STOPPING, Phase.INHERITED):
            return
        attempt.phase = Phase.STOPPING
        self.send_stop(attempt, now)

    def send_stop(self, attempt: Attempt, now: float) -> None:
        """Add a stop order, also where one was sent before."""
        attempt.stop_sent_at = now
        self.orders.append(StopOrder(attempt.executor_id, attempt.task.name, attempt.run))

    def open_steps(self, run: JobRun, now: float) -> None:
        """Make the steps ready whose dependencies are done."""
        for step in run.steps:
            if not step.remaining_tasks or not step.open:
                continue
            self.ready[step] = None
            for task in step.tasks:
                if task.ready_since == NEVER:
                    task.ready_since = now
                    task.away_since = now

    def decide(self, job: ShardJob, state: JobState, **why: object) -> None:
        """Settle the final state of a job; the first decision stands.

        Args:
            job: The job.
            state: Its final state.
            why: Why it failed, for the log.
        """
        if job.closing:
            return
        job.closing = True
        if job.delegated_here and state is not JobState.FAILED:
            # Its own shard writes the final record; what failed here it cannot know.
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
        # The owner puts its time of day in when it writes the record.
        self.finished.append(Finished(job.job_id, state, self._shard, 0.0, job.spec.queue))

    def finish_if_done(self, job: ShardJob) -> None:
        """Let a job succeed once all of its repetitions are done."""
        if job.delegated_here:
            return
        if len(job.runs) == job.spec.repetitions and all(run.done for run in job.runs.values()):
            self.decide(job, JobState.SUCCEEDED)

    def log_run(
        self, event: Event, executor_id: str, task: TaskName, run: int, **fields: object
    ) -> None:
        """Log what befell a run, with what else there is to say of it."""
        name = short_name(task)
        self.log(event, job=task.job_id, task=name, run=run, **fields, executor=executor_id)

    def forget_if_quiet(self, job: ShardJob) -> None:
        """Forget a job whose end is durable once nothing of it can be running."""
        if any(True for _ in job.attempts()):
            return
        if all(run.durable == float("inf") for run in job.runs.values()):
            self.jobs.pop(job.job_id, None)
