"""Chooses executors for tasks that may crash them."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from linkspan.shard.crash_history import EARLY_CRASH_S
from linkspan.shard.reports._executor_crashes import crash_prone_addresses

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning.placement import StepPlacement
    from linkspan.shard.task import Task

MAX_ISOLATED_SHARE = 0.25
"""Limits the share of a hall's executors on which tasks with a crash history run isolated at a
time. Crashes of these tasks leave three quarters of the hall to others; when more executors than
that crash at once, these tasks are not the cause."""

MAX_ISOLATION_WAIT_S = 2.0
"""Limits how long a task waits for an isolated start. After that it may exceed the share, and share
an executor with another such task. Few tasks with a crash history cause crashes, and standing tasks
that are away for longer are missed."""

MAX_AT_LIMIT_WAIT_S = 4.0
"""Limits how long a task that the next crash gives up waits for an executor of its own: the only
other executor may be full of long-running work. A standing task counts as lost after 9 s; finding
the crash, handovers and the answer to the start take their part of them."""


class IsolatedPlacement:
    """Keeps tasks with a crash history apart: one on each executor, few at a time.

    A crash during an isolated run identifies the task that caused it. Executors with the least work
    are chosen, so that a crash loses the least.

    Args:
        core: The shard's state.
        usable: Number of executors that may get new work.
        now: Steady time of the plan.
    """

    def __init__(self, core: ShardCore, usable: int, now: float) -> None:
        self._core = core
        self._max_running = max(int(MAX_ISOLATED_SHARE * usable), 1)
        # One executor stays for other work.
        self._max_reserved = min(self._max_running, max(usable - 1, 0))
        self._now = now

    def __repr__(self) -> str:
        return f"IsolatedPlacement(at most {self._max_running})"

    def choose(self, placement: StepPlacement, task: Task) -> ExecutorState | None:
        """Return the executor for a task with a crash history, ``None`` if the task has to wait."""
        executor = self._choose(placement, task)
        if executor is None and placement.clear_avoided(task):
            executor = self._choose(placement, task)
        return executor

    def _choose(self, placement: StepPlacement, task: Task) -> ExecutorState | None:
        running = self.running()
        waited = self._now - task.waiting_since
        overdue = waited >= MAX_ISOLATION_WAIT_S
        if len(running) >= self._max_running and not overdue:
            return None
        must_be_alone = (
            task.at_crash_limit and not task.step.spec.gang and waited < MAX_AT_LIMIT_WAIT_S
        )
        candidates = self._without_crashes(placement, task)
        free = [
            e for e in candidates if e.executor_id not in running and not e.has_unanswered_start
        ]
        if free or must_be_alone or not overdue:
            return self._best(free, task)
        return self._best(candidates, task) or placement.choose(task)

    def _best(self, executors: list[ExecutorState], task: Task) -> ExecutorState | None:
        """Return the executor with the least work among those that did not refuse such a task.

        If all refused one recently, the executor with the least work of all is returned.
        """
        spec = task.step.spec
        return min(
            executors,
            key=lambda e: (e.refusals.concern(spec, self._now), _used_cpu(e)),
            default=None,
        )

    def _without_crashes(self, placement: StepPlacement, task: Task) -> list[ExecutorState]:
        """Return the executors where a task fits, without addresses where executors crashed.

        Excludes addresses where an executor crashed under this task or crashes repeatedly. A task
        that causes crashes does so on any executor, and an executor that crashed before may itself
        be faulty. If every executor is excluded by its address, all that fit are returned.
        """
        crashed_at = task.crash_history.addresses if task.crash_history else frozenset()
        crashed_at |= crash_prone_addresses(self._core.executor_crashes, self._now)
        fitting = placement.fitting_executors(task)
        if all(e.record.address in crashed_at for e in placement.executors):
            return fitting
        return [e for e in fitting if e.record.address not in crashed_at]

    def reserved(self) -> set[str]:
        """Return the executors that take no other work for a while.

        A start of an isolated task is unanswered there, or the next crash may give up a task. An
        executor's silence shows that it crashed at a start only if there was no other. For tasks
        at their crash limit no more than the isolated share of the hall is reserved, that of the
        newest starts: otherwise many of them would keep all other work waiting.
        """
        recent = self._recent_isolated()
        unanswered = {attempt.executor_id for attempt in recent if attempt.start_unanswered}
        at_limit = sorted(
            (attempt for attempt in recent if attempt.task.at_crash_limit),
            key=lambda attempt: attempt.placed_at,
            reverse=True,
        )
        newest = dict.fromkeys(attempt.executor_id for attempt in at_limit)
        return unanswered | set(islice(newest, self._max_reserved))

    def running(self) -> set[str]:
        """Return the executors where an isolated run started within :data:`EARLY_CRASH_S`."""
        return {attempt.executor_id for attempt in self._recent_isolated()}

    def _recent_isolated(self) -> list[Attempt]:
        """Return the attempts of isolated tasks placed within :data:`EARLY_CRASH_S`."""
        return [
            attempt
            for task in self._core.tasks_with_crash_history
            if task.needs_isolation
            for attempt in task.attempts
            if self._now - attempt.placed_at < EARLY_CRASH_S
        ]


def _used_cpu(executor: ExecutorState) -> int:
    """Return the thousandths of a core of all work that a crash of an executor would lose."""
    return executor.reserved_cpu + executor.best_effort_cpu


def executors_for_new_work(core: ShardCore, now: float) -> list[ExecutorState]:
    """Return the executors that may get new work, without those reserved for isolated tasks."""
    usable = [e for e in core.executors.values() if e.clock and core.takes_work(e, now)]
    reserved = IsolatedPlacement(core, len(usable), now).reserved()
    return [e for e in usable if e.executor_id not in reserved]
