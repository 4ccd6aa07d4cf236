"""Which runs that take long get a copy beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard._reasons import start_reason
from linkspan.shard.planning._plan_part import PlanPart

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState

COPY_FACTOR = 1.6
"""Multiple of its siblings' median after which a run of a speculative step gets a copy:
objectives of short work are one and a half times its length."""

COPY_SLACK_S = 0.15
"""Added to that, for the shortest: about the time that a copy takes to start."""

COPIES_SHARE = 0.25
"""Part of a step's tasks that may have copies at a time: more would only load executors
that are all slow."""


class Copies(PlanPart):
    """Copies that one plan starts, where a step allows them."""

    def order(self) -> None:
        """Start copies of runs that take long beside their like."""
        for executor in list(self._core.executors.values()):
            for attempt in executor.copied():
                if self._wants_copy(attempt):
                    self._copy(attempt, executor)

    def _wants_copy(self, attempt: Attempt) -> bool:
        step = attempt.task.step
        if step.run.job.requires_ticket or len(attempt.task.attempts) > 1:
            return False
        if attempt.task.crash_history or self._now < attempt.task.not_before:
            # It would be one more executor to lose, or was refused a moment ago.
            return False
        if len(step.durations) < 2 or step.run.job.closing:
            return False
        if self._now - attempt.placed_at <= COPY_FACTOR * step.median_s + COPY_SLACK_S:
            return False
        copied = sum(len(task.attempts) > 1 for task in step.tasks)
        return copied < max(COPIES_SHARE * step.spec.count, 1)

    def _copy(self, attempt: Attempt, beside: ExecutorState) -> None:
        others = [e for e in self._view.usable() if e is not beside]
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
