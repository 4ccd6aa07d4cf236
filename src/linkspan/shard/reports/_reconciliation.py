"""Reconciles executor reports with the shard's state: runs that are found or missing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.attempt import NEVER, Attempt, Phase
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.messages import StopOrder
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from linkspan.shard.reports._ends import EndHandler
from linkspan.shard.reports._restarts import reporting_incarnation

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import ExecutorReport, RunningTask, TaskName
    from linkspan.shard.reports._abandoned_starts import AbandonedStarts
    from linkspan.shard.reports._crashes import CrashTracker
    from linkspan.shard.reports._liveness import ExecutorLiveness
    from linkspan.shard.reports._restarts import RestartTracker
    from linkspan.shard.task import Task


class ReportReconciler:
    """Compares executor reports with the attempts that this tenure knows.

    Args:
        state: The shard's state.
        liveness: Determines which executors are alive.
        restarts: Determines which incarnation a report is from.
        crashes: Records crashes.
        abandoned: Abandons starts that a next incarnation may carry out.
    """

    def __init__(
        self,
        state: ShardState,
        liveness: ExecutorLiveness,
        restarts: RestartTracker,
        crashes: CrashTracker,
        abandoned: AbandonedStarts,
    ) -> None:
        self._state = state
        self._abandoned = abandoned
        self._ends = EndHandler(state)
        self._crashes = crashes
        self._liveness = liveness
        self._restarts = restarts
        self._waiting_starts: dict[Attempt, None] = {}

    def __repr__(self) -> str:
        return f"ReportReconciler({self._state!r})"

    def on_report(
        self, executor_id: str, report: ExecutorReport, *, asked: float, now: float
    ) -> None:
        """Apply an executor's report."""
        executor = self._restarts.match_report(executor_id, report, asked=asked, now=now)
        if executor is None:
            self._crashes.on_ends(reporting_incarnation(executor_id, report), report.ended)
            return
        if report.clock_s < executor.reported_s:
            self._on_older_clock(executor, asked, now)
            return
        if executor.clock is None:
            # The executor counted as lost, at this owner or a former one, but was only cut off.
            self._crashes.retract(executor.executor_id, "the executor answers again")
        unpolled_s = asked - executor.reported_at
        self._state.record_contact(executor, report.clock_s, now, asked=asked)
        self._state.speed_evidence.on_report(max(unpolled_s, now - executor.alive_at))
        executor.reported_s = report.clock_s
        executor.reported_at = now
        for end in report.ended:
            if end.number > executor.last_handled_end:
                self._ends.on_end(executor, end, now)
        listed = set()
        executor.unknown_runs = not report.is_complete
        for row in report.running:
            listed.add((row.task, row.run))
            self._on_running(executor, row, now)
        self._state.speed_evidence.judge(executor.executor_id, now)
        if not report.is_complete:
            # A run that a partial report omits may have ended, so no run counts as missing yet.
            return
        self._on_missing(executor, listed, asked, now)
        if not executor.has_reported:
            executor.has_reported = True
            # Ends that a former owner withheld and has acknowledged since are no longer listed.
            executor.withheld_ends.intersection_update(end.number for end in report.ended)
            self._state.resolve_inherited(executor.executor_id, "answered")
            self._state.log_if_ready(executor)
            self.tick(now)

    def tick(self, now: float) -> None:
        """Resume a former owner's starts, once it is known that it started no run elsewhere."""
        waiting, self._waiting_starts = self._waiting_starts, {}
        for attempt in waiting:
            self._on_inherited_start(attempt, now)

    def _on_older_clock(self, executor: ExecutorState, asked: float, now: float) -> None:
        """Handle a report whose clock is behind the clock of the newest report."""
        self._restarts.log_ignored_report(
            executor.executor_id, "its clock is behind the clock of an earlier report", now
        )
        if asked > executor.reported_at:
            # No later report overtook this one, so the clock went backwards. It cannot be trusted,
            # so the leases there must expire.
            if executor.clock:
                executor.clock.alive_at = max(executor.clock.alive_at, asked)
            self._liveness.on_silent(executor.executor_id, now, cause="its clock went backwards")

    def _on_running(self, executor: ExecutorState, row: RunningTask, now: float) -> None:
        attempt = executor.attempts.get((row.task, row.run))
        if attempt is None:
            attempt = self._add_found_run(executor, row, now)
        if attempt is None:
            executor.unknown_runs = True
            return
        self._state.mark_begun(attempt.task.step.run.job)
        attempt.listed = True
        attempt.listed_at = now
        attempt.carried_over = False
        if attempt.sent_once and attempt.start_may_arrive_until != NEVER:
            # The only start sent for the run has arrived.
            attempt.start_may_arrive_until = NEVER
            self._state.mark_dirty(attempt.task.step.run)
        if attempt.phase is Phase.INHERITED:
            attempt.pace_confirmed = False
        if attempt.phase not in (Phase.STOPPING, Phase.RUNNING):
            attempt.confirm(now)
        if row.progress > attempt.progress or attempt.progress_at == NEVER:
            attempt.progress = row.progress
            attempt.progress_at = executor.alive_at
        attempt.usage = row.usage
        self._state.speed_evidence.on_listed(executor, attempt, row, now)
        if not attempt.speculative:
            attempt.task.save(row.run, row.checkpoint)

    def _add_found_run(
        self, executor: ExecutorState, row: RunningTask, now: float
    ) -> Attempt | None:
        """Add a run that this tenure did not start, or order its stop.

        A run to be stopped counts as an attempt until it has ended, so that its task is not started
        elsewhere before.
        """
        task = self._state.repetitions.reported_task(row.task)
        if task is None:
            self._state.orders.append(StopOrder(executor.executor_id, row.task, row.run))
            self._log_unwanted(executor, row)
            return None
        attempt = Attempt(
            task,
            row.run,
            executor.executor_id,
            Phase.RUNNING,
            now,
            confirmed_at=now,
            recovered=True,
        )
        # The former owner may have throttled the run, and a second start that it sent may still
        # arrive.
        attempt.pace_confirmed = False
        attempt.start_may_arrive_until = now + MAX_START_DELAY_S
        task.next_run = max(task.next_run, row.run + 1)
        if self._is_wanted(task, row.run):
            task.waiting_since = NEVER
            task.never_ran = False
            for inherited in list(task.attempts):
                self._state.detach(inherited)
            self._state.attach(executor, attempt)
        else:
            self._log_unwanted(executor, row)
            self._state.attach(executor, attempt)
            self._state.order_stop(attempt, now)
        self._state.mark_dirty(task.step.run)
        return attempt

    def _is_wanted(self, task: Task, run: int) -> bool:
        """Whether a run found at an executor is its task's newest and only one.

        A former owner's record of a lower run number is outdated: an owner starts a run only after
        the previous one has ended.
        """
        if task.done or task.managed_by is not None or task.step.run.job.closing:
            return False
        return all(a.phase is Phase.INHERITED and a.run < run for a in task.attempts)

    def _log_unwanted(self, executor: ExecutorState, row: RunningTask) -> None:
        self._state.log_run(Event.UNKNOWN_RUN_STOPPED, executor.executor_id, row.task, row.run)

    def _on_missing(
        self,
        executor: ExecutorState,
        listed: set[tuple[TaskName, int]],
        asked: float,
        now: float,
    ) -> None:
        """Resolve attempts that a report lists neither as running nor as ended."""
        for key, attempt in list(executor.attempts.items()):
            if key in listed:
                continue
            if attempt.phase is Phase.INHERITED:
                self._on_inherited_start(attempt, now)
            elif attempt.stop_taken_at is not None and attempt.stop_taken_at <= asked:
                self._on_refused(attempt, now)
            elif attempt.phase is Phase.DOUBT:
                self._on_doubtful(attempt, now)
            elif attempt.phase is Phase.RUNNING and attempt.confirmed_at < asked:
                self._state.log_run(Event.RUN_LOST, executor.executor_id, *key)
                self._state.order_stop(attempt, now)

    def _on_doubtful(self, attempt: Attempt, now: float) -> None:
        """Send an unanswered start again, or stop it."""
        if self._abandoned.stops_waiting(attempt, now):
            self._state.order_stop(attempt, now)
        else:
            self._state.resend_or_stop(attempt, now)

    def _on_refused(self, attempt: Attempt, now: float) -> None:
        """Resolve an attempt that was not running when its executor accepted a stop.

        This incarnation now refuses the run. The next incarnation of the same id does not know the
        stop, and the start may still arrive there.
        """
        may_restart = Incarnation.of(attempt.executor_id).started_at_ms is not None
        if not may_restart or attempt.start_may_arrive_until <= now:
            executor = self._state.executors.get(attempt.executor_id)
            if executor and attempt.start_unanswered:
                executor.refusals.on_refused(attempt.task.step.spec, now)
            self._state.close_attempt(attempt, now)
            return
        attempt.refused_for_good = True
        executor = self._state.executors[attempt.executor_id]
        if self._state.guards_room(executor.record.service):
            # Should the next incarnation carry the start out, it refuses work beyond its capacity.
            executor.release_capacity(attempt)
        self._abandoned.on_bound(attempt, now)

    def _on_inherited_start(self, attempt: Attempt, now: float) -> None:
        """Resolve a recorded attempt of a former owner that its executor does not list.

        The run can no longer start at this incarnation, which has seen the higher fencing token of
        this tenure. It may start at the next incarnation as long as the order may arrive. Until
        then the run is sent again to this executor and to no other.
        """
        executor = self._state.executors.get(attempt.executor_id)
        if executor is None or executor.attempts.get(attempt.key) is not attempt:
            return
        if attempt.phase is not Phase.INHERITED:
            return
        if attempt.start_may_arrive_until <= now:
            self._state.close_attempt(attempt, now)
        elif self._liveness.may_start_task(attempt.task, now):
            attempt.phase = Phase.DOUBT
            self._state.resend_or_stop(attempt, now)
        else:
            # The former owner may have abandoned this run since and started a later one.
            self._waiting_starts[attempt] = None
