"""Decisions of a shard's owner, without I/O: takes events and times, produces orders.

To keep a task from running twice, a task gets an attempt only while it has none
(``Task.pending``), and an attempt is removed only when

- the executor lists its end or refuses its start,
- its start is certain not to have been sent, or is still queued,
- a stop of it was accepted, a report requested after that does not list it, and no start of it
  can arrive at a later incarnation any more,
- it is known only from a previous owner's record, and the executor has answered this owner's
  higher token without listing it, or lists a newer run of the task,
- its incarnation is proved to have ended, or another incarnation of the id answers, does not
  list it and cannot receive it any more, or
- every lease granted to its incarnation is certain to have expired.

There is one exception: a standing task that has been away for seconds abandons an unanswered start
that only an incarnation which has not answered yet could carry out (``_abandoned_starts``).

A new owner starts inherited work only once each inherited executor has answered the owner's
higher token, has ended, or has no unexpired lease (``ShardCore.may_start``). A standing task of
which the record names no attempt may start at once, if all former owners sent starts of such tasks
only once they were on record (``ShardCore.may_start_task``).

Each group of rules has its own module: ``_liveness`` (silent and ended executors), ``_restarts``
(incarnations of one id), ``_reconciliation`` (reports), ``_crashes`` (crashes), ``_ends`` (ends of
runs), ``_jobs`` (jobs), ``_delegations`` (delegated tasks) and ``_orders`` (orders and their
answers). All of them work on the state in ``_shard_state``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from linkspan.events import Event
from linkspan.shard._shard_state import Order, ShardState
from linkspan.shard.attempt import FULL_PACE
from linkspan.shard.done_repetitions import NO_REPETITIONS, DoneRepetitions
from linkspan.shard.handover._delegations import Delegations
from linkspan.shard.intake._jobs import JobIntake
from linkspan.shard.orders._orders import Orders
from linkspan.shard.reports._abandoned_starts import AbandonedStarts
from linkspan.shard.reports._acknowledgements import Acknowledgements
from linkspan.shard.reports._crashes import CrashTracker
from linkspan.shard.reports._liveness import ExecutorLiveness
from linkspan.shard.reports._reconciliation import ReportReconciler
from linkspan.shard.reports._restarts import RestartTracker

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from linkspan.jobs.records import Delegation, Submitted, TaskIndex
    from linkspan.model.configuration import Configuration
    from linkspan.model.evacuation import Evacuation
    from linkspan.model.settings import Bounds
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
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

    Each group of decisions has its own collaborator; all of them share this object's state.

    Args:
        shard: Number of the shard.
        bounds: Time limits of the deployment.
        log: Writes an event with its fields.
        token: The tenure's token.
        count: Increments the metric of the given name.
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
        self._acknowledgements = Acknowledgements(self)
        self._crashes = CrashTracker(self)
        self._abandoned = AbandonedStarts(self)
        self._restarts = RestartTracker(self, self._crashes, self._abandoned)
        self._liveness = ExecutorLiveness(self, self._crashes, self._restarts, self._abandoned)
        self._reconciler = ReportReconciler(
            self, self._liveness, self._restarts, self._crashes, self._abandoned
        )
        self._delegations = Delegations(self, self._crashes)
        self._intake = JobIntake(self, self._delegations)
        self._orders = Orders(self)

    @property
    def acknowledgements(self) -> Acknowledgements:
        """Polls that acknowledge ends."""
        return self._acknowledgements

    # Recovery

    def inherit(
        self,
        roster: Iterable[ExecutorRecord],
        until: float,
        *,
        read: bool = True,
        starts_recorded: bool = False,
        standing_starts_recorded: bool = False,
    ) -> None:
        """Take over executors on which a previous owner may have started work.

        Args:
            roster: Executors on the roster, or all registered ones if the roster is not readable.
            until: Steady time by which all leases granted to them have expired.
            read: Whether the roster was readable. If not, it may name further executors.
            starts_recorded: Whether all starts that previous owners have sent are on record.
            standing_starts_recorded: Whether those of standing tasks are.
        """
        self._liveness.inherit(
            roster,
            until,
            read=read,
            starts_recorded=starts_recorded,
            standing_starts_recorded=standing_starts_recorded,
        )

    @property
    def roster_readable(self) -> bool:
        """Whether the roster that a previous owner left was readable."""
        return self._liveness.roster_readable

    @property
    def awaiting_reports(self) -> bool:
        """Whether an inherited executor has not reported yet."""
        return bool(self.awaiting_report_ids)

    @property
    def starts_standing_tasks(self) -> bool:
        """Whether standing tasks that arrive now may start at once.

        Other work starts once all inherited executors have reported.
        """
        return not self.awaiting_reports or self._liveness.standing_starts_recorded

    def knows_all_starts(self, now: float) -> bool:
        """Return whether every start that may still be carried out belongs to a known attempt.

        Former owners may have sent others, and those of this tenure that it abandoned do not.
        """
        return not (self._liveness.awaits_former_starts or self._abandoned.any_late(now))

    def knows_inherited_starts(self, now: float) -> bool:
        """Return whether no executor of a previous owner may have a run that is unknown here."""
        return self._liveness.knows_inherited_runs(now)

    def may_start(self, job: ShardJob, now: float) -> bool:
        """Return whether no run of a job that a previous owner left unrecorded can be alive."""
        return self._liveness.may_start(job, now)

    def may_start_task(self, task: Task, now: float) -> bool:
        """Return whether no run of a task that a previous owner left unrecorded can be alive."""
        return self._liveness.may_start_task(task, now)

    def tasks_that_may_start(self, job: ShardJob, tasks: list[Task], now: float) -> list[Task]:
        """Return those tasks of a job of which no unrecorded run can be alive."""
        if self._liveness.may_start(job, now):
            return tasks
        return [task for task in tasks if self._liveness.may_start_task(task, now)]

    # Executors

    def list_executors(
        self,
        records: Iterable[ExecutorRecord],
        now: float,
        *,
        missing: Mapping[str, float] | None = None,
    ) -> None:
        """Apply the present registrations of the hall's executors.

        Args:
            records: The registered executors, including those whose entry vanished moments ago.
            now: Steady time.
            missing: Steady times since when entries are missing, by name of the executor.
        """
        self._liveness.list_executors(records, now, missing=missing or {})

    def on_incarnation_ended(
        self, executor_id: str, now: float, proof: str, *, since: float | None = None
    ) -> None:
        """Handle the proved end of an incarnation and of its runs.

        Args:
            executor_id: The incarnation.
            now: Steady time.
            proof: Description of the proof, for the log.
            since: Steady time up to which every answer certainly came from this incarnation; later
                answers may come from the next one. ``None`` if its id can have no next
                incarnation.
        """
        self._liveness.on_incarnation_ended(executor_id, now, proof, since=since)

    def on_other_answered(self, executor_id: str, address: str, now: float) -> None:
        """Handle the answer that another executor id runs at the address of a call.

        Args:
            executor_id: The incarnation that was called.
            address: The address to which the call was sent.
            now: Steady time.
        """
        self._liveness.on_other_answered(executor_id, address, now)

    def executors_to_poll_closely(self, now: float) -> list[ExecutorState]:
        """Return the executors to poll now, as a next incarnation of theirs must be found soon.

        They are recorded as polled.
        """
        return self._abandoned.executors_to_poll(now)

    def has_reported(self, executor_id: str) -> bool:
        """Return whether an incarnation has reported in this tenure."""
        executor = self.executors.get(executor_id)
        return executor is not None and executor.has_reported

    def first_report_may_omit_runs(self, executor_id: str) -> bool:
        """Return whether an executor's first report may lack a run that was started there."""
        return self._liveness.first_report_may_omit_runs(executor_id)

    def on_silent(self, executor_id: str, now: float, *, cause: str = "") -> None:
        """Handle a call to an executor that got no answer, or one that cannot be decoded."""
        self._liveness.on_silent(executor_id, now, cause=cause)

    def on_report(
        self, executor_id: str, report: ExecutorReport, *, asked: float, now: float
    ) -> None:
        """Apply an executor's report.

        Args:
            executor_id: The incarnation that was polled.
            report: The report, which may come from another incarnation of the same id.
            asked: Steady time at which the poll was sent.
            now: Steady time at which the report arrived.
        """
        self._reconciler.on_report(executor_id, report, asked=asked, now=now)

    def on_incarnation_found(
        self, executor_id: str, name: str, *, asked: float, now: float
    ) -> None:
        """Handle an answer from another incarnation of an executor, which is then polled by name.

        Args:
            executor_id: The incarnation that was called.
            name: The incarnation that answered.
            asked: Steady time at which the call was sent.
            now: Steady time at which the answer arrived.
        """
        self._restarts.on_incarnation_found(executor_id, name, asked=asked, now=now)

    def unknown_jobs(self, job_ids: set[str]) -> set[str]:
        """Return those of the given jobs that this tenure has never managed."""
        return {job_id for job_id in job_ids if job_id not in self.jobs} - self.departed_jobs

    # Jobs

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
        """Add an accepted job.

        Args:
            submitted: The job's submission.
            now: Steady time.
            inherited: Whether a previous owner may have started tasks of the job.
            moved: Whether the job was moved here from another shard.
            start_ordered: Whether a record shows that a start of a task may have been sent.
            begun: Whether a record shows that a task of the job has begun.
            progress: Progress records of the job's repetitions, by number.
            done_repetitions: Repetitions that are done, of which there need be no records.
            delegated_here: Delegations of the job's tasks to this shard; ``None`` if this is the
                job's home shard.
            delegated_elsewhere: Published delegations of the job's tasks to other shards, used if
                the job's own record of them is not readable.
            returned: Delegations of the job's tasks that other shards have returned. Without a
                readable record, later ones are numbered above them.
            completed: Tasks that are done by the records of other shards.
            wall_offset_s: Time of day minus steady time at this host, in seconds.

        Raises:
            RecordError: A progress record does not match the job. The job is added without it.
        """
        self._intake.add_job(
            submitted,
            now,
            inherited=inherited,
            moved=moved,
            start_ordered=start_ordered,
            begun=begun,
            progress=progress,
            done_repetitions=done_repetitions,
            delegated_here=delegated_here,
            delegated_elsewhere=delegated_elsewhere,
            returned=returned,
            completed=completed,
            wall_offset_s=wall_offset_s,
        )

    def release_due(self, wall: float, now: float) -> None:
        """Release the repetitions whose due time has come.

        Args:
            wall: Time of day, in seconds since 1970.
            now: Steady time.
        """
        self.repetitions.release_due(wall, now)

    def refresh_queue(self, job: ShardJob) -> None:
        """Apply the terms of a job's queue from the configuration in force.

        A job whose queue was removed keeps its previous terms.
        """
        self._intake.refresh_queue(job)

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration to all jobs."""
        self._intake.configure(configuration)

    def evacuate(self, evacuation: Evacuation | None, now: float) -> None:
        """Apply the evacuation of the hall that is in force, or ``None`` after its end.

        What runs in the hall goes on; only starts depend on it, by :meth:`admits_starts`.
        """
        former, self.evacuation = self.evacuation, evacuation
        if evacuation == former:
            return
        attempts = [a for e in self.executors.values() for a in e.attempts.values()]
        counts = {
            "running": len(attempts),
            "waiting": sum(len(step.pending()) for step in self.ready),
            "shard": self.shard,
            "token": self.token,
        }
        if former:
            lasted_s = round(now - former.read_at, 2)
            self.log(Event.HALL_REOPENED, offset=former.offset, lasted_s=lasted_s, **counts)
        if evacuation:
            fields = evacuation.log_fields(now)
            self.log(Event.HALL_EVACUATED, **fields, **counts)

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job, unless its final state is already decided."""
        self._intake.cancel_job(job_id)

    def record_progress_of_ended(self, job_id: str) -> None:
        """Record the progress of a job whose final record is not durable yet."""
        self._intake.record_progress_of_ended(job_id)

    def on_finished(self, job_id: str) -> None:
        """Handle the final record of a job becoming durable."""
        self._intake.on_finished(job_id)

    # Delegated tasks and moved jobs

    def accept_delegations(
        self, job_id: str, delegations: Iterable[Delegation], now: float
    ) -> None:
        """Apply all open delegations of a job's tasks to this shard."""
        self._delegations.accept_delegations(job_id, delegations, now)

    def hand_over_tasks(
        self, job_id: str, shard: int, tasks: Iterable[tuple[int, int]], repetition: int = 0
    ) -> tuple[Task, ...]:
        """Stop managing pending tasks of a job, which another shard manages from now on.

        In the job's home shard, this delegates the tasks under their next delegation number. In
        another shard, it returns them to the home shard under the number they were delegated with.

        Args:
            job_id: The job.
            shard: The other shard.
            tasks: Step and index of each task.
            repetition: Number of the job's repetition.

        Returns:
            The tasks that were handed over; a task is kept while the owner decides whether to give
            it up, and a gang is handed over as a whole or not at all.
        """
        return self._delegations.hand_over_tasks(job_id, shard, tasks, repetition)

    def complete_tasks(self, job_id: str, tasks: Collection[TaskIndex], now: float) -> None:
        """Mark tasks of a job as done of which another shard has found the end."""
        self._delegations.complete_tasks(job_id, tasks, now)

    def reclaim_tasks(self, job_id: str, returned: Iterable[Delegation], now: float) -> None:
        """Manage tasks again that another shard has returned."""
        self._delegations.reclaim_tasks(job_id, returned, now)

    def delegations(self, job_id: str, now: float) -> dict[int, tuple[Delegation, ...]]:
        """Return the open delegations of a job's tasks at a steady time, by shard."""
        return self._delegations.delegations(job_id, now)

    def remove_moved(self, job_id: str) -> None:
        """Remove a job that was moved to another shard."""
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
        """Place a task on an executor and queue the start order.

        Args:
            task: The task; it must be pending unless the attempt is a speculative copy.
            executor: The executor.
            now: Steady time.
            ticket: Permission of the queue's placement policy.
            run: Run number shared by the members of a gang, ``None`` for the task's next one.
            speculative: Whether the attempt is a copy that may run in parallel to another one.
            pace: Initial share of full speed, in percent.
        """
        return self._orders.place(
            task, executor, now, ticket=ticket, run=run, speculative=speculative, pace=pace
        )

    def unplace(self, attempt: Attempt) -> None:
        """Revert a placement whose start order is still queued."""
        self._orders.unplace(attempt)

    def waiting_time_s(self, order: StartOrder, now: float) -> float:
        """Return for how long the task of a start order had been ready, in seconds."""
        return self._orders.waiting_time_s(order, now)

    def on_start_sent(self, order: StartOrder, now: float) -> None:
        """Handle a start that is about to be sent."""
        self._orders.on_start_sent(order, now)

    def on_started(self, order: StartOrder, answer: StartAnswer, now: float) -> None:
        """Handle an executor's answer to a start."""
        self._orders.on_started(order, answer, now)

    def on_start_unanswered(self, order: StartOrder, now: float) -> None:
        """Handle an unanswered start, which may still arrive."""
        self._orders.on_start_unanswered(order, now)

    def on_pace_unknown(self, order: PaceOrder) -> None:
        """Handle a pace order with an unknown outcome: the pace will be set again."""
        self._orders.on_pace_unknown(order)

    def on_start_withheld(self, order: StartOrder) -> None:
        """Handle a start that is not sent yet, as failed runs of its task are not on record."""
        self._orders.on_start_withheld(order)

    def on_start_unsent(self, order: StartOrder, now: float) -> None:
        """Handle a start that is certain not to have been sent."""
        self._orders.on_start_unsent(order, now)

    def on_stopped(self, order: StopOrder, taken: bool, now: float) -> None:
        """Handle an executor's answer to a stop.

        An executor that accepts a stop never starts the run later. A run that is already there ends
        within the stop time, and the executor then lists its end.
        """
        self._orders.on_stopped(order, taken, now)

    def tick(self, now: float) -> None:
        """Apply rules that depend on time, such as resending stops and removing finished jobs."""
        self._liveness.tick(now)
        self._crashes.tick(now)
        self._reconciler.tick(now)
        self._orders.tick(now)
        self._abandoned.tick(now)
        if (
            self.unrecorded_starts.any
            and not self._abandoned.any_late(now)
            and self.knows_inherited_starts(now)
        ):
            self.unrecorded_starts.clear()
        self._acknowledgements.tick(now)

    def stop(self, attempt: Attempt, now: float, *, reason: str) -> None:
        """Stop an attempt so that its task continues elsewhere."""
        self._orders.stop(attempt, now, reason=reason)

    def pace(self, attempt: Attempt, percent: int, now: float) -> None:
        """Order a run to work at a share of full speed, in percent, from now on."""
        self._orders.pace(attempt, percent, now)

    def describe(self) -> dict[str, Any]:
        """Return counts for log lines."""
        return {
            "jobs": len(self.jobs),
            "executors": len(self.executors),
            "adopting": len(self.awaiting_report_ids),
        }
