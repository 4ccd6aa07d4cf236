"""Room of executors during one plan, so that a step looks only at those that may have enough."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.colocation._plan_rooms import NONE_LEFT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.jobs.spec import Demand
    from linkspan.shard.colocation._plan_rooms import PlanRooms
    from linkspan.shard.executor import ExecutorState

ANY_CORES = math.nextafter(NONE_LEFT, 0.0)
"""Thousandths of a core that any executor has but those with none left."""


class RoomGroup(NamedTuple):
    """Executors that a kind of steps may use.

    Attributes:
        service: Service whose executors they are.
        label: Label that they carry, empty if any will do.
        best_effort: Whether cores that are reserved and not used count as free.
    """

    service: str
    label: str
    best_effort: bool


class FreeRoom:
    """What is free on each executor of a plan, told anew for those where something is placed.

    A hall that waits for room has many steps whose tasks fit nowhere, each of them a little
    different: comparing three numbers an executor spares them the reasons against each.

    Args:
        executors: Executors that may get new work, in order.
        rooms: What standing tasks bear beside them.
    """

    def __init__(self, executors: Iterable[ExecutorState], rooms: PlanRooms) -> None:
        self._executors = {e.record.executor_id: e for e in executors}
        self._rooms = rooms
        self._groups: dict[RoomGroup, dict[str, tuple[ExecutorState, int, int, float]]] = {}

    def __repr__(self) -> str:
        return f"FreeRoom({len(self._executors)} executors, {len(self._groups)} groups)"

    def enough(self, group: RoomGroup, demand: Demand, cores: float) -> list[ExecutorState]:
        """Return the executors of a group that have enough memory, accelerators and cores.

        Args:
            group: The group.
            demand: Memory and accelerators that one task takes.
            cores: Least thousandths of a core that must be free.
        """
        memory_mb, gpus = demand.memory_mb, demand.gpus
        rows = self._groups.get(group)
        if rows is None:
            rows = self._groups[group] = self._rows(group)
        return [
            executor
            for executor, free_memory, free_gpus, free_cores in rows.values()
            if free_cores >= cores and free_memory >= memory_mb and free_gpus >= gpus
        ]

    def changed(self, executor: ExecutorState) -> None:
        """Take in that something was placed on an executor, or taken back."""
        executor_id = executor.record.executor_id
        for group, rows in self._groups.items():
            if executor_id in rows:
                rows[executor_id] = self._row(executor, group)

    def drop(self, executor: ExecutorState) -> None:
        """Let no more work go to an executor."""
        executor_id = executor.record.executor_id
        self._executors.pop(executor_id, None)
        for rows in self._groups.values():
            rows.pop(executor_id, None)

    def _rows(self, group: RoomGroup) -> dict[str, tuple[ExecutorState, int, int, float]]:
        return {
            executor_id: self._row(executor, group)
            for executor_id, executor in self._executors.items()
            if executor.record.service == group.service
            and (not group.label or group.label in executor.record.labels)
        }

    def _row(
        self, executor: ExecutorState, group: RoomGroup
    ) -> tuple[ExecutorState, int, int, float]:
        cores = self._rooms.unused_cpu(executor) if group.best_effort else executor.free_cpu
        return executor, executor.free_memory, executor.free_gpus, cores
