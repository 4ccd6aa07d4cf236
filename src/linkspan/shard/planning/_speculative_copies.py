"""Starts speculative copies of runs that take unusually long."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard._reasons import start_reason
from linkspan.shard.planning._plan_stage import PlanStage
from linkspan.shard.planning._run_forecast import forecast
from linkspan.shard.reports.executor_speeds import ORDINARY

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState

COPY_DURATION_FACTOR = 1.6
"""Multiple of the median of its siblings after which a run of a speculative step gets a copy.
Objectives of short work are 1.5 times its duration."""

COPY_DURATION_SLACK_S = 0.15
"""Added to that bound for the shortest tasks: about the time that a copy takes to start."""

MAX_COPIED_SHARE = 0.25
"""Limits the share of a step's tasks that have copies at a time. More copies would only add load to
executors that are all slow."""


class SpeculativeCopies(PlanStage):
    """Starts the speculative copies of one plan, for steps that allow them."""

    def add_orders(self) -> None:
        """Start copies of runs that take much longer than their siblings."""
        for executor in list(self._core.executors.values()):
            for attempt in executor.copyable():
                if self._needs_copy(attempt):
                    self._copy(attempt, executor)

    def _needs_copy(self, attempt: Attempt) -> bool:
        step = attempt.task.step
        if step.run.job.requires_ticket or len(attempt.task.attempts) > 1:
            return False
        if attempt.task.crash_history or not attempt.task.startable(self._now):
            # A copy could crash a second executor, or a start was refused a moment ago.
            return False
        if step.run.job.closing or not self._is_worth_a_copy(attempt):
            return False
        copied = sum(len(task.attempts) > 1 for task in step.tasks)
        return copied < max(MAX_COPIED_SHARE * step.spec.count, 1)

    def _is_worth_a_copy(self, attempt: Attempt) -> bool:
        """Whether a copy is expected to end sooner or, without a forecast, the run is overdue."""
        speeds = self._core.health.speeds
        durations = attempt.task.step.durations
        overdue = len(durations) >= 2 and (
            self._now - attempt.placed_at
            > COPY_DURATION_FACTOR * attempt.task.step.median_s + COPY_DURATION_SLACK_S
        )
        if not overdue and speeds.slowdown(attempt.executor_id) <= ORDINARY:
            # Fast path for most runs.
            return False
        expected = forecast(attempt, speeds, stop_s=self._core.bounds.stop_s, now=self._now)
        return overdue if expected is None else expected.copied_s < expected.here_s

    def _copy(self, attempt: Attempt, present: ExecutorState) -> None:
        others = [e for e in self._view.usable() if e is not present]
        executor = self._view.placement(attempt.task.step, others).choose(attempt.task)
        if executor is None:
            return
        copy = self._core.place(attempt.task, executor, self._now, speculative=True)
        self._core.log_run(
            Event.RUN_COPIED,
            copy.executor_id,
            attempt.task.name,
            copy.run,
            beside=attempt.executor_id,
            running_s=round(self._now - attempt.placed_at, 2),
            **start_reason(self._core, attempt.task.step.run.job, [copy]),
        )
