"""The decisions of a shard's owner: pure state, input and time in, orders out.

What keeps a task from running twice: a task gets an attempt only while it has
none (``Task.pending``); an attempt goes away only when

- the executor lists its end, or refuses its start,
- its start was surely never sent, or not yet handed out,
- a stop of it was taken, a look asked for after that does not list it, and no start of it
  can come to a next life any more,
- it is known from a former owner's record alone, and the executor has answered our
  higher token without listing it, or lists a newer run of the task,
- the executor's incarnation is proved gone, or that of its id which answers does not
  list it and cannot get it any more, or
- every lease granted there has surely ended.

A new owner starts inherited work only once each executor has answered its higher
token, is gone or is past its lease (``ShardCore.may_start``).

The rules are in modules of their own: ``_liveness`` (executors that are silent or
gone), ``_restarts`` (lives under one id), ``_reconciliation`` (reports), ``_ends`` (ends),
``_jobs`` (jobs), ``_delegations`` (work of and for other shards) and ``_orders`` (orders and
answers), on the state in ``_shard_state``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from linkspan.shard._shard_state import Order, ShardState
from linkspan.shard.attempt import FULL_PACE
from linkspan.shard.handover._delegations import Delegations
from linkspan.shard.intake._jobs import JobIntake
from linkspan.shard.orders._orders import Orders
from linkspan.shard.reports._crashes import CrashTracker
from linkspan.shard.reports._ends import Ends
from linkspan.shard.reports._liveness import ExecutorLiveness
from linkspan.shard.reports._reconciliation import ReportReconciler
from linkspan.shard.reports._restarts import RestartTracker

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from linkspan.jobs.records import Delegation, Submitted
    from linkspan.model.configuration import Configuration
    from linkspan.model.settings import Bounds
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.messages import (
        ExecutorRecord,
        ExecutorReport,
        PaceOrder,
        StartAnswer,
        StartOrder,
        StopOrder,
    )
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.task import Task

__all__ = ["Order", "ShardCore"]


class ShardCore(ShardState):
    """State and decisions of one tenure of a shard.

    The state is that of the books; each kind of decision has its own collaborator,
    which works on the same books.

    Args:
        shard: Number of the shard.
        bounds: Times that the deployment grants.
        log: Takes an event and its fields.
        token: The tenure's token.
        count: Takes the name of what is counted, for metrics.
    """

    def __init__(
        self,
        shard: int,
        bounds: Bounds,
        *,
        log: Callable[..., None] = lambda _event, **_fields: None,
        token: int = 0,
        count: Callable[[str], None] = lambda _name: None,
    ) -> None:
        super().__init__(shard, bounds, log=log, token=token, count=count)
        self._crashes = CrashTracker(self)
        self._successions = RestartTracker(self, self._crashes)
        self._presence = ExecutorLiveness(self, self._crashes, self._successions)
        self._adoption = ReportReconciler(
            self, Ends(self), self._presence, self._successions, self._crashes
        )
        self._intake = JobIntake(self)
        self._delegations = Delegations(self)
        self._dispatch = Orders(self)

    # Taking over

    def inherit(self, roster: Iterable[ExecutorRecord], until: float, *, read: bool = True) -> None:
        """Take over executors on which a former owner may have started work.

        Args:
            roster: Those executors, or those registered where the roster is not readable.
            until: Steady time by which all leases granted there have ended.
            read: Whether the roster was read. If not, it may name others, too.
        """
        self._presence.inherit(roster, until, read=read)

    @property
    def awaiting_reports(self) -> bool:
        """Whether an inherited executor has not answered yet."""
        return bool(self.awaiting_report_ids)

    def may_start(self, job: ShardJob, now: float) -> bool:
        """Whether no former owner's unrecorded run of a job's tasks can be alive."""
        return self._presence.may_start(job, now)

    # Executors

    def list_executors(
        self,
        records: Iterable[ExecutorRecord],
        now: float,
        *,
        missing: Mapping[str, float] | None = None,
    ) -> None:
        """Take in the executors of the hall that are registered at present.

        Args:
            records: These executors, also those whose entry went moments ago.
            now: Steady time.
            missing: Since when entries of some of them are missing, in steady time.
        """
        self._presence.list_executors(records, now, missing=missing or {})

    def on_gone(
        self, executor_id: str, now: float, proof: str, *, since: float | None = None
    ) -> None:
        """Take in that an incarnation is gone, with all that ran on it.

        Args:
            executor_id: The incarnation.
            now: Steady time.
            proof: What tells so, for the log.
            since: Steady time by which what was answered was surely answered by it, ``None``
                where no next one of its id can be there.
        """
        self._presence.on_gone(executor_id, now, proof, since=since)

    def has_reported(self, executor_id: str) -> bool:
        """Whether an incarnation has answered in this tenure."""
        executor = self.executors.get(executor_id)
        return executor is not None and executor.has_reported

    def on_silent(self, executor_id: str, now: float, *, cause: str = "") -> None:
        """Take in that a call to an executor got no answer, or none that decodes."""
        self._presence.on_silent(executor_id, now, cause=cause)

    def on_report(
        self, executor_id: str, report: ExecutorReport, *, asked: float, now: float
    ) -> None:
        """Take in an executor's report.

        Args:
            executor_id: The incarnation that was asked.
            report: The answer, which another one of its id may have given.
            asked: Steady time at which the question was sent.
            now: Steady time of the answer.
        """
        self._adoption.on_report(executor_id, report, asked=asked, now=now)

    def on_incarnation_found(
        self, executor_id: str, name: str, *, asked: float, now: float
    ) -> None:
        """Take in that another life answers under an executor's id: it is asked by its own name.

        Args:
            executor_id: The life that was asked.
            name: The one that answered.
            asked: Steady time at which the question was sent.
            now: Steady time of the answer.
        """
        self._successions.find(executor_id, name, asked=asked, now=now)

    def unknown(self, job_ids: set[str]) -> set[str]:
        """Return those of some jobs that this shard never looked after in this tenure."""
        return {job_id for job_id in job_ids if job_id not in self.jobs} - self.departed_jobs

    # Jobs

    def add_job(
        self,
        submitted: Submitted,
        now: float,
        *,
        inherited: bool = False,
        moved: bool = False,
        begun: bool = False,
        progress: dict[int, bytes] | None = None,
        delegated_here: Iterable[Delegation] | None = None,
        delegated_elsewhere: Mapping[int, Iterable[Delegation]] | None = None,
    ) -> None:
        """Take in an accepted job.

        Args:
            submitted: The job.
            now: Steady time.
            inherited: Whether a former owner may have started tasks of it.
            moved: Whether another shard gave it to this one.
            begun: Whether it is on record that a task of it was started.
            progress: Records of its repetitions, by number.
            delegated_here: Loans of its tasks to this shard, ``None`` if it lives here.
            delegated_elsewhere: Loans of its tasks to other shards as all hosts know them, for
                where its own record of them is not readable.

        Raises:
            RecordError: A progress record does not fit the job, which is taken in without it.
        """
        self._intake.add_job(
            submitted,
            now,
            inherited=inherited,
            moved=moved,
            begun=begun,
            progress=progress,
            delegated_here=delegated_here,
            delegated_elsewhere=delegated_elsewhere,
        )

    def release_due(self, wall: float, now: float) -> None:
        """Open repetitions that are due.

        Args:
            wall: Time of day, in seconds since 1970.
            now: Steady time.
        """
        self._intake.release_due(wall, now)

    def refresh_queue(self, job: ShardJob) -> None:
        """Take a job's limits from the configuration in force.

        A job whose queue was removed keeps what it had.
        """
        self._intake.refresh_queue(job)

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self._intake.configure(configuration)

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job; a job that is decided already stays as it is."""
        self._intake.cancel_job(job_id)

    def on_finished(self, job_id: str) -> None:
        """Take in that a job's final record is durable."""
        self._intake.on_finished(job_id)

    def drop_progress(self, job_id: str, repetitions: Iterable[int]) -> None:
        """Have the records of a job that is finished, or void, removed."""
        self._intake.drop_progress(job_id, repetitions)

    # Work of other shards

    def accept_delegations(
        self, job_id: str, delegations: Iterable[Delegation], now: float
    ) -> None:
        """Take in all open loans of a job's tasks to this shard."""
        self._delegations.accept_delegations(job_id, delegations, now)

    def hand_over_tasks(
        self, job_id: str, shard: int, tasks: Iterable[tuple[int, int]]
    ) -> JobRun | None:
        """Stop looking after pending tasks of a job; return their repetition.

        A loan of a task that lives here gets the next number; a task that was lent to
        this shard goes back under the number that it came with.
        """
        return self._delegations.hand_over_tasks(job_id, shard, tasks)

    def reclaim_tasks(self, job_id: str, returned: Iterable[Delegation], now: float) -> None:
        """Look after tasks again whose loans were given back."""
        self._delegations.reclaim_tasks(job_id, returned, now)

    def delegations(self, job_id: str) -> dict[int, tuple[Delegation, ...]]:
        """Return the loans of a job's tasks that are out, by shard."""
        return self._delegations.delegations(job_id)

    def remove_moved(self, job_id: str) -> None:
        """Forget a job that was moved to another shard."""
        self._delegations.remove_moved(job_id)

    # Orders and their answers

    def place(
        self,
        task: Task,
        executor: ExecutorState,
        now: float,
        *,
        ticket: str = "",
        run: int | None = None,
        speculative: bool = False,
        pace: int = FULL_PACE,
    ) -> Attempt:
        """Decide to start a task on an executor.

        Args:
            task: The task; it must be pending unless this is a copy.
            executor: Where to.
            now: Steady time.
            ticket: Permission of the queue's placement policy.
            run: Number shared by a gang, ``None`` for the task's next one.
            speculative: Whether it may run beside another attempt.
            pace: Share of full speed at which it is to work, in percent.
        """
        return self._dispatch.place(
            task, executor, now, ticket=ticket, run=run, speculative=speculative, pace=pace
        )

    def unplace(self, attempt: Attempt) -> None:
        """Take back a placement whose order was not handed out."""
        self._dispatch.unplace(attempt)

    def waited(self, order: StartOrder, now: float) -> float:
        """Return how long the task of a start waited for it, in seconds."""
        return self._dispatch.waited(order, now)

    def on_started(self, order: StartOrder, answer: StartAnswer, now: float) -> None:
        """Take in an executor's answer to a start."""
        self._dispatch.on_started(order, answer, now)

    def on_start_unanswered(self, order: StartOrder, now: float) -> None:
        """Take in that a start got no answer: it may be carried out later."""
        self._dispatch.on_start_unanswered(order, now)

    def on_pace_unknown(self, order: PaceOrder) -> None:
        """Take in that an executor may not have taken a pace: it is set again."""
        self._dispatch.on_pace_unknown(order)

    def on_start_unsent(self, order: StartOrder, now: float) -> None:
        """Take in that a start was surely never sent."""
        self._dispatch.on_start_unsent(order, now)

    def on_stopped(self, order: StopOrder, taken: bool, now: float) -> None:
        """Take in an executor's answer to a stop.

        A stop that was taken keeps a run that is not there from ever starting. One
        that is there ends within the stop time and is then listed.
        """
        self._dispatch.on_stopped(order, taken, now)

    def tick(self, now: float) -> None:
        """Send stops again whose end was not listed, and settle finished jobs."""
        self._crashes.tick(now)
        self._adoption.tick(now)
        self._dispatch.tick(now)

    def stop(self, attempt: Attempt, now: float, *, reason: str) -> None:
        """Stop an attempt so that its task continues elsewhere."""
        self._dispatch.stop(attempt, now, reason=reason)

    def pace(self, attempt: Attempt, percent: int, now: float) -> None:
        """Let a run work at a share of full speed from now on."""
        self._dispatch.pace(attempt, percent, now)

    def describe(self) -> dict[str, Any]:
        """Return counts for a log line."""
        return {
            "jobs": len(self.jobs),
            "executors": len(self.executors),
            "adopting": len(self.awaiting_report_ids),
        }
