"""Which runs are stopped to go on elsewhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.attempt import Phase
from linkspan.shard.colocation.pacing import MOVE_BELOW
from linkspan.shard.planning._overfull import Overfull
from linkspan.shard.planning._plan_part import PlanPart

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.step_run import StepRun

STRAGGLER_FACTOR = 3.0
"""Multiple of its siblings' median after which a run counts as a straggler; tasks
of one step differ by a third at most on a sound executor."""

STRAGGLER_SLACK_S = 0.5
"""Added to that, for short tasks: a stop and a new start cost about this much."""

LONE_FACTOR = 5.0
"""Multiple of the caller's guess that stands in where no sibling has ended; guesses
are wrong by a factor of two to three."""

LONE_SLACK_S = 2.0
"""Added to that."""

MAX_MOVES = 2
"""Times that a straggling task is moved, at most: each costs its work so far, and what takes
long on a third executor, too, takes that long."""

MOVE_LEFT_S = 1.5
"""Work that a disturbing best-effort run must have left to be moved: a move costs
about a second of it."""

MOVE_GAIN = 0.4
"""Part of the present disturbance that is to be left after a move."""

LEAVE_MARGIN_S = 1.5
"""Time before a draining executor may leave at which runs there are moved: a stop
of 0.9 s and its answer."""

LAST_CHANCE_S = 1.0
"""Added to that for runs that save checkpoints: from here on they are moved whatever
they may have left to do."""

ESTIMATE_MARGIN = 1.5
"""Factor on a caller's guess for whether a run ends before its executor leaves."""


class Moves(PlanPart):
    """Moves of one plan: each is a stop, after which the task is placed again."""

    def order(self) -> None:
        """Order the stops that are due now."""
        self._leave_draining()
        self._leave_missing()
        Overfull(self._view).order()
        self._move_stragglers()
        self._move_disturbing()

    def _leave_draining(self) -> None:
        for executor in self._core.executors.values():
            if not executor.record.draining or executor.silent_since is not None:
                continue
            left = executor.leaves_at - self._now
            for attempt in list(executor.attempts.values()):
                if attempt.phase is Phase.RUNNING and self._should_leave(attempt, left):
                    self._core.stop(attempt, self._now, reason="executor leaves")

    def _should_leave(self, attempt: Attempt, left: float) -> bool:
        step = attempt.task.step
        if step.spec.standing:
            return True
        if left > LEAVE_MARGIN_S and not step.spec.checkpoints:
            return False
        expected = step.spec.estimate_s * ESTIMATE_MARGIN - (self._now - attempt.placed_at)
        return left < LEAVE_MARGIN_S + LAST_CHANCE_S or (step.spec.checkpoints and expected > left)

    def _leave_missing(self) -> None:
        """Move standing tasks off executors whose entry is gone while they answer.

        Some end without having said that they drain. Others are sound and cut off from
        the store alone: so a step's tasks go one at a time, and only where there is room.
        """
        for executor in self._core.executors.values():
            if executor.missing_since > self._now or executor.silent_since is not None:
                continue
            for attempt in list(executor.attempts.values()):
                if self._all_at_work(attempt.task.step) and self._fits_elsewhere(attempt):
                    self._core.stop(attempt, self._now, reason="executor is registered no more")

    def _all_at_work(self, step: StepRun) -> bool:
        """Whether each task of a standing step is at work, all of them in this shard."""
        return step.spec.standing and not step.spec.gang and step.all_at_work

    def _fits_elsewhere(self, attempt: Attempt) -> bool:
        step = attempt.task.step
        if step.run.job.requires_ticket:
            # The other executor may have no ticket, and then it would only wait.
            return False
        return self._view.placement(step, self._view.usable()).choose(attempt.task) is not None

    def _move_stragglers(self) -> None:
        for executor in self._core.executors.values():
            if executor.silent_since is not None or executor.draining:
                continue
            for attempt in executor.timed():
                if self._straggles(attempt):
                    task = attempt.task
                    task.moves += 1
                    task.avoided_executors.add(executor.executor_id)
                    self._core.health.took(executor.executor_id, STRAGGLER_FACTOR * 2, self._now)
                    self._core.stop(attempt, self._now, reason="runs far longer than its like")

    def _straggles(self, attempt: Attempt) -> bool:
        step = attempt.task.step
        spec = step.spec
        if attempt.task.moves >= MAX_MOVES:
            # Not by what it avoids: that is forgotten where no other executor has room.
            return False
        took = self._now - max(attempt.placed_at, attempt.confirmed_at)
        if took <= STRAGGLER_SLACK_S:
            # Most runs are younger than that; neither bound is below it.
            return False
        if len(step.durations) >= 2:
            return took > STRAGGLER_FACTOR * step.median_s + STRAGGLER_SLACK_S
        return took > LONE_FACTOR * spec.estimate_s + LONE_SLACK_S

    def _move_disturbing(self) -> None:
        """Move best-effort runs that were slowed down to where they disturb less."""
        for executor in list(self._core.executors.values()):
            for attempt in executor.slowed(MOVE_BELOW):
                if self._better_elsewhere(attempt, executor):
                    self._core.stop(attempt, self._now, reason="disturbs standing tasks here")

    def _better_elsewhere(self, attempt: Attempt, executor: ExecutorState) -> bool:
        step = attempt.task.step
        spec = step.spec
        left_s = spec.estimate_s * (1 - attempt.progress / 100)
        if not spec.checkpoints or spec.gang or left_s < MOVE_LEFT_S:
            return False
        if step.run.job.requires_ticket:
            # The other executor may have no ticket, and then it would only wait.
            return False
        others = [e for e in self._view.usable() if e is not executor]
        best = self._view.placement(step, others).choose(attempt.task)
        if best is None:
            return False
        interference, image, cpu = self._core.interference, spec.image, spec.demand.milli_cpu
        here = interference.worst_added(executor, image, cpu)
        return interference.worst_added(best, image, cpu) < MOVE_GAIN * here
