"""Free capacity of executors during one plan, to preselect executors that may fit a task."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.colocation._best_effort_capacity import NO_UNUSED_CPU

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.jobs.spec import Demand
    from linkspan.shard.colocation._best_effort_capacity import BestEffortCapacity
    from linkspan.shard.executor import ExecutorState

ANY_MILLI_CPU = math.nextafter(NO_UNUSED_CPU, 0.0)
"""Lower bound of free thousandths of a core that excludes only :data:`NO_UNUSED_CPU`."""


class ExecutorGroup(NamedTuple):
    """Executors that steps of one kind may use.

    Attributes:
        service: Service that the executors belong to.
        label: Label that they carry, empty if none is required.
        best_effort: Whether reserved but unused cores count as free.
    """

    service: str
    label: str
    best_effort: bool


class FreeCapacity:
    """Caches the free capacity of the executors of a plan, updated after each placement.

    A fully loaded hall has many steps, each a little different, whose tasks fit nowhere. Comparing
    three numbers for each executor avoids checking every reason against it.

    Args:
        executors: Executors that may get new work, in order.
        best_effort_capacity: Pressure that standing tasks tolerate from best-effort ones.
    """

    def __init__(
        self, executors: Iterable[ExecutorState], best_effort_capacity: BestEffortCapacity
    ) -> None:
        self._executors = {e.record.executor_id: e for e in executors}
        self._best_effort_capacity = best_effort_capacity
        self._groups: dict[ExecutorGroup, dict[str, tuple[ExecutorState, int, int, float]]] = {}

    def __repr__(self) -> str:
        return f"FreeCapacity({len(self._executors)} executors, {len(self._groups)} groups)"

    def with_capacity(
        self, group: ExecutorGroup, demand: Demand, milli_cpu: float
    ) -> list[ExecutorState]:
        """Return the executors of a group that have enough memory, accelerators and cores.

        Args:
            group: The group.
            demand: Memory and accelerators that one task takes.
            milli_cpu: Minimum of free thousandths of a core.
        """
        memory_mb, gpus = demand.memory_mb, demand.gpus
        rows = self._groups.get(group)
        if rows is None:
            rows = self._groups[group] = self._rows(group)
        return [
            executor
            for executor, free_memory_mb, free_gpus, free_cpu in rows.values()
            if free_cpu >= milli_cpu and free_memory_mb >= memory_mb and free_gpus >= gpus
        ]

    def update(self, executor: ExecutorState) -> None:
        """Update an executor's row after a placement there was made or undone."""
        executor_id = executor.record.executor_id
        for group, rows in self._groups.items():
            if executor_id in rows:
                rows[executor_id] = self._row(executor, group)

    def remove(self, executor: ExecutorState) -> None:
        """Exclude an executor from further placements."""
        executor_id = executor.record.executor_id
        self._executors.pop(executor_id, None)
        for rows in self._groups.values():
            rows.pop(executor_id, None)

    def _rows(self, group: ExecutorGroup) -> dict[str, tuple[ExecutorState, int, int, float]]:
        return {
            executor_id: self._row(executor, group)
            for executor_id, executor in self._executors.items()
            if executor.record.service == group.service
            and (not group.label or group.label in executor.record.labels)
        }

    def _row(
        self, executor: ExecutorState, group: ExecutorGroup
    ) -> tuple[ExecutorState, int, int, float]:
        free_cpu = (
            self._best_effort_capacity.unused_cpu(executor)
            if group.best_effort
            else executor.free_cpu
        )
        return executor, executor.free_memory, executor.free_gpus, free_cpu
