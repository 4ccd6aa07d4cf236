"""Stops runs that continue on another executor."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.attempt import Phase
from linkspan.shard.colocation.pacing import MOVE_BELOW_PACE_PERCENT
from linkspan.shard.planning._offloading import Offloading
from linkspan.shard.planning._plan_stage import PlanStage
from linkspan.shard.planning._stragglers import Stragglers

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.step_run import StepRun

MIN_REMAINING_WORK_S = 1.5
"""Minimum of remaining work for which an interfering best-effort run is moved: a move costs about a
second of work."""

MAX_INTERFERENCE_RATIO = 0.4
"""Limits the interference on the new executor, as a share of the interference on the present
one."""

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
        self._move_interfering()

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

    def _move_interfering(self) -> None:
        """Move best-effort runs with a reduced pace to executors where they interfere less."""
        for executor in list(self._core.executors.values()):
            for attempt in executor.paced_below(MOVE_BELOW_PACE_PERCENT):
                if self._interferes_less_elsewhere(attempt, executor):
                    self._core.stop(
                        attempt, self._now, reason="interferes with standing tasks here"
                    )

    def _interferes_less_elsewhere(self, attempt: Attempt, executor: ExecutorState) -> bool:
        step = attempt.task.step
        spec = step.spec
        remaining_work_s = spec.estimate_s * (1 - attempt.progress / 100)
        if not spec.checkpoints or spec.gang or remaining_work_s < MIN_REMAINING_WORK_S:
            return False
        if step.run.job.requires_ticket:
            # The policy may refuse a ticket for the other executor; the task would then wait.
            return False
        others = [e for e in self._view.usable() if e is not executor]
        best = self._view.placement(step, others).choose(attempt.task)
        if best is None:
            return False
        interference, image, cpu = self._core.interference, spec.image, spec.demand.milli_cpu
        present = interference.worst_added(executor, image, cpu)
        return interference.worst_added(best, image, cpu) < MAX_INTERFERENCE_RATIO * present
