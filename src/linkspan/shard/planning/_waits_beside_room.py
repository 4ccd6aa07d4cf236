"""How long standing tasks have been away beside room for them, in whichever hall."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

from linkspan.shard.planning.task_need import TaskNeed

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.planning.task_need import Room
    from linkspan.shard.step_run import StepRun

MIN_SLOTS = 2
"""Number of tasks for which there must be room. Room for one may be taken by another task."""


R = TypeVar("R", bound="Room")


class _Row(NamedTuple, Generic[R]):
    """Free thousandths of a core and megabytes of memory of a room."""

    free_cpu: int
    free_memory: int
    room: R


class WaitsBesideRoom:
    """Knows since when there has been room for two tasks of each step that waits.

    Room is what executors of all halls have free, headroom for short work and memory of best-effort
    runs included. Executors of this hall count unless they leave, also those that get no work at
    present; in other halls those that take new work count, by the hall's last summary, without what
    is set aside there.

    Args:
        core: The shard's state.
    """

    def __init__(self, core: ShardCore) -> None:
        self._core = core
        self._since: dict[StepRun, float] = {}

    def __repr__(self) -> str:
        return f"WaitsBesideRoom({len(self._since)} steps)"

    def look(
        self,
        waiting_since: Mapping[StepRun, float],
        summaries: Mapping[int, HallSummary],
        now: float,
    ) -> dict[StepRun, float]:
        """Return for how long there has been room for each step that has room, in seconds.

        Args:
            waiting_since: Steps with tasks that wait, each with the time from which on room counts.
            summaries: Last summaries of the other halls that may get work, by shard.
            now: Steady time.
        """
        found = self._steps_with_room(waiting_since, summaries) if waiting_since else []
        self._since = {step: self._since.get(step, now) for step in found}
        return {step: now - max(self._since[step], waiting_since[step]) for step in found}

    def _steps_with_room(
        self, steps: Iterable[StepRun], summaries: Mapping[int, HallSummary]
    ) -> list[StepRun]:
        elsewhere = _by_cores(room for hall in summaries.values() for room in hall.rooms())
        here = _by_cores(self._executors_here())
        slots_elsewhere: dict[TaskNeed, int] = {}
        found = []
        for step in steps:
            need = TaskNeed.of(step.spec, step.run.job.service, use_headroom=True).preempting()
            if need not in slots_elsewhere:
                slots_elsewhere[need] = _count(need.slots(room) for room in _large(elsewhere, need))
            slots = slots_elsewhere[need]
            if slots >= MIN_SLOTS or slots + _slots_here(step, need, here) >= MIN_SLOTS:
                found.append(step)
        return found

    def _executors_here(self) -> Iterator[ExecutorState]:
        if self._core.evacuation:
            return
        for executor in self._core.executors.values():
            if executor.listed and executor.record.takes_new_work and not executor.is_placeholder:
                yield executor


def _by_cores(rooms: Iterable[R]) -> list[_Row[R]]:
    """Return rooms with their cores and memory, those with the most free cores first.

    Full halls have hundreds of executors, and many different tasks that wait there: a search ends
    where the cores no longer suffice, and compares two numbers before it asks a room.
    """
    rows = [_Row(r.free_cpu, r.free_memory + r.best_effort_memory, r) for r in rooms]
    return sorted(rows, key=lambda row: -row.free_cpu)


def _large(rows: list[_Row[R]], need: TaskNeed) -> Iterator[R]:
    """Iterate over the rooms that have enough cores and memory for a task."""
    least_cpu, least_memory = need.demand.milli_cpu, need.demand.memory_mb
    for free_cpu, free_memory, room in rows:
        if free_cpu < least_cpu:
            return
        if free_memory >= least_memory:
            yield room


def _slots_here(step: StepRun, need: TaskNeed, executors: list[_Row[ExecutorState]]) -> int:
    """Return for how many more tasks of a step this hall's executors have room, two at most."""
    if not need.max_per_executor:
        return _count(need.slots(executor) for executor in _large(executors, need))
    placed = Counter(attempt.executor_id for task in step.tasks for attempt in task.attempts)
    return _count(
        max(min(need.slots(e), need.max_per_executor - placed[e.executor_id]), 0)
        for e in _large(executors, need)
    )


def _count(slots: Iterable[int]) -> int:
    """Return the sum of slots, which ends where there is room for two tasks."""
    found = 0
    for count in slots:
        found += count
        if found >= MIN_SLOTS:
            break
    return found
