"""Stops runs that continue on another executor."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.attempt import Phase
from linkspan.shard.planning._offloading import Offloading
from linkspan.shard.planning._plan_stage import PlanStage

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.step_run import StepRun

STRAGGLER_FACTOR = 3.0
"""Multiple of the median of its siblings after which a run counts as a straggler. Tasks of one step
differ by a third at most on a healthy executor."""

STRAGGLER_SLACK_S = 0.5
"""Added to that bound for short tasks: about the cost of a stop and a new start."""

ESTIMATE_STRAGGLER_FACTOR = 5.0
"""Multiple of the caller's estimate after which a run counts as a straggler while fewer than two of
its siblings have ended. Estimates are wrong by a factor of two to three."""

ESTIMATE_STRAGGLER_SLACK_S = 2.0
"""Added to the bound from the estimate."""

MAX_STRAGGLER_MOVES = 2
"""Limits how often a straggling task is moved. Each move loses the work so far, and a task that is
slow on a third executor, too, is slow by itself."""

DRAIN_MARGIN_S = 1.5
"""Time before a draining executor may leave at which its runs are moved: a stop takes 0.9 s, and
its answer must arrive, too."""

CHECKPOINT_DRAIN_MARGIN_S = 1.0
"""Added to that margin for runs that save checkpoints: from then on they are moved even if they are
expected to end in time."""

REMAINING_ESTIMATE_FACTOR = 1.5
"""Factor on a caller's estimate when predicting whether a run ends before its executor leaves."""


class Moves(PlanStage):
    """Moves runs to other executors: stops each one, after which its task is placed again."""

    def add_orders(self) -> None:
        """Add the stops that are due now."""
        self._move_off_draining()
        self._move_off_unregistered()
        Offloading(self._view).add_orders()
        self._move_stragglers()

    def _move_off_draining(self) -> None:
        for executor in self._core.executors.values():
            if not executor.record.draining or executor.silent_since is not None:
                continue
            remaining_s = executor.leaves_at - self._now
            for attempt in list(executor.attempts.values()):
                if attempt.phase is Phase.RUNNING and self._should_move_off(attempt, remaining_s):
                    self._core.stop(attempt, self._now, reason="executor leaves")

    def _should_move_off(self, attempt: Attempt, remaining_s: float) -> bool:
        step = attempt.task.step
        if step.spec.standing:
            return True
        if remaining_s > DRAIN_MARGIN_S and not step.spec.checkpoints:
            return False
        expected_s = step.spec.estimate_s * REMAINING_ESTIMATE_FACTOR - (
            self._now - attempt.placed_at
        )
        return remaining_s < DRAIN_MARGIN_S + CHECKPOINT_DRAIN_MARGIN_S or (
            step.spec.checkpoints and expected_s > remaining_s
        )

    def _move_off_unregistered(self) -> None:
        """Move standing tasks off executors that still answer but are no longer registered.

        Some of these executors are terminating without having announced a drain. Others are healthy
        and have lost only their connection to the store. A step's tasks therefore move one at a
        time, and only to executors that have capacity.
        """
        for executor in self._core.executors.values():
            if executor.missing_since > self._now or executor.silent_since is not None:
                continue
            for attempt in list(executor.attempts.values()):
                if self._all_running(attempt.task.step) and self._fits_elsewhere(attempt):
                    self._core.stop(attempt, self._now, reason="executor is no longer registered")

    def _all_running(self, step: StepRun) -> bool:
        """Whether every task of a standing step is running, all of them in this shard."""
        return step.spec.standing and not step.spec.gang and step.all_running

    def _fits_elsewhere(self, attempt: Attempt) -> bool:
        step = attempt.task.step
        if step.run.job.requires_ticket:
            # The policy may refuse a ticket for the other executor; the task would then wait.
            return False
        return self._view.placement(step, self._view.usable()).choose(attempt.task) is not None

    def _move_stragglers(self) -> None:
        for executor in self._core.executors.values():
            if executor.silent_since is not None or executor.draining:
                continue
            for attempt in executor.duration_checked():
                if self._is_straggler(attempt):
                    task = attempt.task
                    task.moves += 1
                    task.avoided_executors.add(executor.executor_id)
                    self._core.health.record_duration_ratio(
                        executor.executor_id, STRAGGLER_FACTOR * 2, self._now
                    )
                    self._core.stop(attempt, self._now, reason="runs far longer than its siblings")

    def _is_straggler(self, attempt: Attempt) -> bool:
        step = attempt.task.step
        spec = step.spec
        if attempt.task.moves >= MAX_STRAGGLER_MOVES:
            # Counts moves, as avoided executors are cleared when no other one has capacity.
            return False
        duration_s = self._now - max(attempt.placed_at, attempt.confirmed_at)
        if duration_s <= STRAGGLER_SLACK_S:
            # Fast path for most runs: both bounds below are at least this long.
            return False
        if len(step.durations) >= 2:
            return duration_s > STRAGGLER_FACTOR * step.median_s + STRAGGLER_SLACK_S
        return duration_s > ESTIMATE_STRAGGLER_FACTOR * spec.estimate_s + ESTIMATE_STRAGGLER_SLACK_S
