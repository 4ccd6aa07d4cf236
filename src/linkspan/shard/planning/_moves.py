"""Stops runs that continue on another executor."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.attempt import Phase
from linkspan.shard.planning._offloading import Offloading
from linkspan.shard.planning._plan_stage import PlanStage
from linkspan.shard.planning._stragglers import Stragglers

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.step_run import StepRun


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
        Stragglers(self._view).add_orders()

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
