"""Where tasks are started that may crash their executor."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.crash_history import EARLY_CRASH_S
from linkspan.shard.reports._executor_crashes import crash_prone_addresses

if TYPE_CHECKING:
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning.placement import StepPlacement
    from linkspan.shard.task import Task

MAX_SHARE = 0.25
"""Part of a hall's executors on which suspects are tried at a time. What they crash leaves
three quarters of the hall to others; and where more fall at once, it was not they."""

WAIT_S = 2.0
"""Time for which a suspect waits: after it on a larger part of the hall, and beside others if
it must be. Few of them are guilty, and standing tasks that are away for longer are missed."""

LAST_WAIT_S = 10.0
"""Time for which one waits to be alone that is given up at the next crash. The only other executor
may be full of work that lasts."""


class Trials:
    """Keeps suspects of crashes apart: one an executor, few at a time.

    A crash on a trial names its task; and where it is held least is lost.

    Args:
        core: The shard's state.
        usable: Number of executors that may get new work.
        now: Steady time of the plan.
    """

    def __init__(self, core: ShardCore, usable: int, now: float) -> None:
        self._core = core
        self._most = max(int(MAX_SHARE * usable), 1)
        self._now = now

    def __repr__(self) -> str:
        return f"Trials(at most {self._most})"

    def choose(self, placement: StepPlacement, task: Task) -> ExecutorState | None:
        """Return the executor for a suspect, ``None`` if it is to wait."""
        placement.forgive(task)
        running = self.running()
        waited = self._now - task.ready_since
        overdue = waited >= WAIT_S
        if len(running) >= self._most and not overdue:
            return None
        alone = task.at_crash_limit and not task.step.spec.gang and waited < LAST_WAIT_S
        sound = self._sound(placement, task)
        free = [e for e in sound if e.executor_id not in running]
        if free or alone or not overdue:
            return min(free, key=_held, default=None)
        return min(sound, key=_held, default=None) or placement.choose(task)

    def _sound(self, placement: StepPlacement, task: Task) -> list[ExecutorState]:
        """Return where a task fits, but not where executors fell under it, or again and again.

        What crashes its executors does so anywhere; where one fell before, it may be at fault
        itself. Where that leaves no executor, all of them count.
        """
        crashed_at = task.crash_history.addresses if task.crash_history else frozenset()
        crashed_at |= crash_prone_addresses(self._core.executor_crashes, self._now)
        fitting = placement.fitting(task)
        if all(e.record.address in crashed_at for e in placement.executors):
            return fitting
        return [e for e in fitting if e.record.address not in crashed_at]

    def reserved(self) -> set[str]:
        """Return the executors that take no other work: the next crash there gives a task up."""
        return {
            attempt.executor_id
            for task in self._core.suspects
            if task.at_crash_limit
            for attempt in task.attempts
            if self._now - attempt.placed_at < EARLY_CRASH_S
        }

    def running(self) -> set[str]:
        """Return the executors on which suspects are tried at present."""
        return {
            attempt.executor_id
            for task in self._core.suspects
            if task.needs_isolation
            for attempt in task.attempts
            if self._now - attempt.placed_at < EARLY_CRASH_S
        }


def _held(executor: ExecutorState) -> int:
    """Return thousandths of a core of all that would be lost with an executor."""
    return executor.reserved_cpu + executor.best_effort_cpu
