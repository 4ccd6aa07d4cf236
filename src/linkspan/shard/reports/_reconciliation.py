"""Reports of executors: runs that are found, and runs that are missing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.attempt import NEVER, Attempt, Phase
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.messages import StopOrder
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from linkspan.shard.reports._restarts import answering

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import ExecutorReport, RunningTask, TaskName
    from linkspan.shard.reports._crashes import CrashTracker
    from linkspan.shard.reports._ends import Ends
    from linkspan.shard.reports._liveness import ExecutorLiveness
    from linkspan.shard.reports._restarts import RestartTracker
    from linkspan.shard.task import Task


class ReportReconciler:
    """Compares what executors report with what this tenure believes.

    Args:
        state: The shard's state.
        ends: Acts on ends.
        presence: Tells who is there.
        successions: Tells whose a report is.
        crashes: Counts crashes.
    """

    def __init__(
        self,
        state: ShardState,
        ends: Ends,
        presence: ExecutorLiveness,
        successions: RestartTracker,
        crashes: CrashTracker,
    ) -> None:
        self._state = state
        self._ends = ends
        self._crashes = crashes
        self._presence = presence
        self._successions = successions
        self._awaited: dict[Attempt, None] = {}

    def __repr__(self) -> str:
        return f"ReportReconciler({self._state!r})"

    def on_report(
        self, executor_id: str, report: ExecutorReport, *, asked: float, now: float
    ) -> None:
        """Take in an executor's report."""
        executor = self._successions.meet(executor_id, report, asked=asked, now=now)
        if executor is None:
            self._crashes.on_ends(answering(executor_id, report), report.ended)
            return
        if report.clock_s < executor.reported_s:
            self._on_clock_behind(executor, asked, now)
            return
        if executor.clock is None:
            # Taken for lost, by this owner or a former one, it was only cut off.
            self._crashes.retract(executor.executor_id, "it answers")
        self._state.record_contact(executor, report.clock_s, now)
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
        if not report.is_complete:
            # What it leaves out may be the end of a run: nothing is missing yet.
            return
        self._on_missing(executor, listed, asked, now)
        if not executor.has_reported:
            executor.has_reported = True
            # What a former owner held and let go since is not listed any more.
            executor.withheld_ends.intersection_update(end.number for end in report.ended)
            self._state.resolve_inherited(executor.executor_id, "answered")
            self.tick(now)

    def tick(self, now: float) -> None:
        """Go on with starts of a former owner, once it is known that it began no run elsewhere."""
        awaited, self._awaited = self._awaited, {}
        for attempt in awaited:
            self._on_former_start(attempt, now)

    def _on_clock_behind(self, executor: ExecutorState, asked: float, now: float) -> None:
        """Take in a report whose clock is behind the newest one's."""
        self._successions.pass_over(
            executor.executor_id, "its clock is behind a report's that was read before", now
        )
        if asked > executor.reported_at:
            # Nothing overtook it. Without a clock that can be trusted its leases are waited out.
            self._presence.on_silent(executor.executor_id, now, cause="its clock went back")

    def _on_running(self, executor: ExecutorState, row: RunningTask, now: float) -> None:
        attempt = executor.attempts.get((row.task, row.run))
        if attempt is None:
            attempt = self._adopt(executor, row, now)
        if attempt is None:
            executor.unknown_runs = True
            return
        attempt.listed = True
        attempt.carried_over = False
        if attempt.sent_once and attempt.start_may_arrive_until != NEVER:
            # The only order for it was carried out.
            attempt.start_may_arrive_until = NEVER
            self._state.mark_dirty(attempt.task.step.run)
        if attempt.phase is Phase.INHERITED:
            attempt.pace_confirmed = False
        if attempt.phase is not Phase.STOPPING:
            if attempt.phase is not Phase.RUNNING:
                attempt.confirmed_at = now
            attempt.phase = Phase.RUNNING
        if row.progress > attempt.progress or attempt.progress_at == NEVER:
            attempt.progress = row.progress
            attempt.progress_at = now
        attempt.usage = row.usage
        if not attempt.speculative:
            attempt.task.save(row.run, row.checkpoint)

    def _adopt(self, executor: ExecutorState, row: RunningTask, now: float) -> Attempt | None:
        """Take over a run that this tenure did not start, or have it stopped.

        A run that is to stop counts as an attempt until it has ended, so that its task
        is not started elsewhere before.
        """
        task = self._state.find_task(row.task)
        if task is None:
            self._state.orders.append(StopOrder(executor.executor_id, row.task, row.run))
            self._log_unknown(executor, row)
            return None
        attempt = Attempt(
            task, row.run, executor.executor_id, Phase.RUNNING, now, now, recovered=True
        )
        # Its former owner may have slowed it down, and sent a second start that is on its way.
        attempt.pace_confirmed = False
        attempt.start_may_arrive_until = now + MAX_START_DELAY_S
        task.next_run = max(task.next_run, row.run + 1)
        if self._wanted(task, row.run):
            for older in list(task.attempts):
                self._state.detach(older)
            self._state.attach(executor, attempt)
            self._state.mark_begun(task.step.run.job)
        else:
            self._log_unknown(executor, row)
            self._state.attach(executor, attempt)
            self._state.order_stop(attempt, now)
        self._state.mark_dirty(task.step.run)
        return attempt

    def _wanted(self, task: Task, run: int) -> bool:
        """Whether a run found at an executor is its task's newest and only one.

        A former owner's record of a lower run is older than the run: it starts one
        only after the one before has ended.
        """
        if task.done or task.managed_by is not None or task.step.run.job.closing:
            return False
        return all(a.phase is Phase.INHERITED and a.run < run for a in task.attempts)

    def _log_unknown(self, executor: ExecutorState, row: RunningTask) -> None:
        self._state.log_run(Event.UNKNOWN_RUN_STOPPED, executor.executor_id, row.task, row.run)

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
                self._on_former_start(attempt, now)
            elif attempt.stop_taken_at is not None and attempt.stop_taken_at <= asked:
                self._on_refused_from_now(attempt, now)
            elif attempt.phase is Phase.DOUBT:
                self._state.start_again(attempt, now)
            elif attempt.phase is Phase.RUNNING and attempt.confirmed_at < asked:
                self._state.log_run(Event.RUN_LOST, executor.executor_id, *key)
                self._state.order_stop(attempt, now)

    def _on_refused_from_now(self, attempt: Attempt, now: float) -> None:
        """Resolve an attempt that was not there when its executor took a stop.

        That life refuses it. The next one under its id knows of no stop, and may get the start.
        """
        may_come_again = Incarnation.of(attempt.executor_id).started_at_ms is not None
        if not may_come_again or attempt.start_may_arrive_until <= now:
            self._state.close(attempt, now)

    def _on_former_start(self, attempt: Attempt, now: float) -> None:
        """Resolve an attempt on record that its executor does not name.

        It can no longer begin at that life, which has seen our higher token. At its next life it
        may, while the order is on its way: so the run begins there or nowhere.
        """
        executor = self._state.executors.get(attempt.executor_id)
        if executor is None or executor.attempts.get(attempt.key) is not attempt:
            return
        if attempt.phase is not Phase.INHERITED:
            return
        if attempt.start_may_arrive_until <= now:
            self._state.close(attempt, now)
        elif self._presence.may_start(attempt.task.step.run.job, now):
            attempt.phase = Phase.DOUBT
            self._state.start_again(attempt, now)
        else:
            # Its sender may have given it up since, and begun a later run.
            self._awaited[attempt] = None
