"""What a task may use now: the one rule on whether an executor has room for it.

The hall's own placement asks it of executors that it manages; handovers and the choice of a hall
ask it of the rooms that other halls publish.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from linkspan.jobs.spec import Demand
from linkspan.shard.planning.set_asides import NOTHING

if TYPE_CHECKING:
    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.task import Task

DEFAULT_HEADROOM_SHARE = 0.1
"""Share of each executor's cores that standing tasks leave to short ones where its hall has not
decided on pieces, or publishes none."""

HEADROOM_WAIT_S = 3.0
"""Time after which a standing task may use the headroom, too: running, the task is then worth more
than the headroom is to short tasks."""


class Obstacle(Enum):
    """Why an executor has no room for a task."""

    MEMORY = "memory"
    ACCELERATORS = "accelerators"
    SPREAD = "spread limit"
    CORES = "cores"
    HEADROOM = "kept for short work"
    SET_ASIDE = "set aside for waiting work"


class Room(Protocol):
    """Free resources of one executor."""

    @property
    def total_cpu(self) -> int:
        """Thousandths of a core that the executor has."""

    @property
    def free_cpu(self) -> int:
        """Thousandths of a core that are not reserved."""

    @property
    def free_memory(self) -> int:
        """Megabytes of memory that no attempt uses."""

    @property
    def best_effort_memory(self) -> int:
        """Megabytes of memory that best-effort attempts use."""

    @property
    def free_gpus(self) -> int:
        """Accelerators that no attempt uses."""

    @property
    def headroom(self) -> Demand:
        """Free resources that standing tasks leave to short ones."""

    def runs(self, service: str, label: str) -> bool:
        """Return whether the executor runs tasks of a service that require a label."""


@dataclass(frozen=True, slots=True)
class TaskNeed:
    """What one task of a step needs of an executor now.

    Attributes:
        service: Service whose executors run the task.
        label: Label that the executor must have; empty for any executor.
        demand: Resources that the task takes.
        leaves_headroom: Whether the headroom for short tasks must stay free beside the task.
        max_per_executor: Maximum tasks of the step on one executor; 0 for no limit.
        reserves_cpu: Whether the task reserves its cores. Best-effort tasks use those that others
            leave unused, which only the executor's own hall knows.
        preempts: Whether memory of best-effort runs counts as free, as these runs are stopped for
            the task.
        standing: Whether it is a standing task.
    """

    service: str
    label: str
    demand: Demand
    leaves_headroom: bool
    max_per_executor: int
    reserves_cpu: bool
    preempts: bool = False
    standing: bool = False

    @classmethod
    def of(cls, spec: StepSpec, service: str, *, use_headroom: bool) -> TaskNeed:
        """Return the need of a step's tasks.

        Args:
            spec: The step.
            service: Service whose executors run it.
            use_headroom: Whether a standing task may use the headroom for short ones.
        """
        return cls(
            service,
            spec.label,
            spec.demand,
            spec.standing and not use_headroom,
            spec.max_per_executor,
            reserves_cpu=not spec.best_effort,
            standing=spec.standing,
        )

    def preempting(self) -> TaskNeed:
        """Return the need of such tasks if best-effort runs are stopped for them."""
        return replace(self, preempts=self.reserves_cpu)

    def matches(self, room: Room) -> bool:
        """Return whether an executor runs such tasks at all."""
        return room.runs(self.service, self.label)

    def obstacle(
        self, room: Room, *, placed: int = 0, set_aside: Demand = NOTHING
    ) -> Obstacle | None:
        """Return why a matching executor has no room for one more task, ``None`` if it has.

        Args:
            room: Free resources of the executor.
            placed: Number of the step's tasks that are there.
            set_aside: What is set aside there for other tasks.
        """
        obstacle = self._obstacle(room, placed)
        if obstacle is None and not self._fits_beside(room, set_aside):
            return Obstacle.SET_ASIDE
        return obstacle

    def _fits_beside(self, room: Room, set_aside: Demand) -> bool:
        """Return whether a task that fits also does beside what is set aside for others.

        A task that needs none of a resource does not take it from others.
        """
        if set_aside is NOTHING:
            return True
        demand = self.demand
        if demand.memory_mb and demand.memory_mb > room.free_memory - set_aside.memory_mb:
            return False
        if demand.gpus and demand.gpus > room.free_gpus - set_aside.gpus:
            return False
        if not self.reserves_cpu or not demand.milli_cpu:
            return True
        return demand.milli_cpu <= room.free_cpu - set_aside.milli_cpu

    def _obstacle(self, room: Room, placed: int) -> Obstacle | None:
        demand = self.demand
        if demand.memory_mb > self._memory(room):
            return Obstacle.MEMORY
        if demand.gpus > room.free_gpus:
            return Obstacle.ACCELERATORS
        if self.max_per_executor and placed >= self.max_per_executor:
            return Obstacle.SPREAD
        if not self.reserves_cpu:
            return None
        if demand.milli_cpu > room.free_cpu:
            return Obstacle.CORES
        if self.leaves_headroom and not self._fits_beside_headroom(room):
            return Obstacle.HEADROOM
        return None

    def _fits_beside_headroom(self, room: Room) -> bool:
        """Return whether a task that fits leaves the headroom free.

        Best-effort runs give their memory back to short tasks.
        """
        demand, headroom = self.demand, room.headroom
        if demand.milli_cpu + headroom.milli_cpu > room.free_cpu:
            return False
        if demand.gpus and demand.gpus + headroom.gpus > room.free_gpus:
            return False
        if not demand.memory_mb:
            return True
        return demand.memory_mb + headroom.memory_mb <= room.free_memory + room.best_effort_memory

    def _memory(self, room: Room) -> int:
        """Return the megabytes of memory that count as free."""
        return room.free_memory + (room.best_effort_memory if self.preempts else 0)

    def slots(self, room: Room) -> int:
        """Return for how many tasks an executor without others of the step has room now."""
        if not self.matches(room) or self.obstacle(room) is not None:
            return 0
        demand = self.demand
        limits = [self.max_per_executor] if self.max_per_executor else []
        if demand.memory_mb:
            limits.append(self._memory(room) // demand.memory_mb)
        headroom = room.headroom if self.leaves_headroom else NOTHING
        if demand.gpus:
            limits.append((room.free_gpus - headroom.gpus) // demand.gpus)
        if self.reserves_cpu and demand.milli_cpu:
            limits.append((room.free_cpu - headroom.milli_cpu) // demand.milli_cpu)
        if headroom.memory_mb and demand.memory_mb:
            memory_mb = room.free_memory + room.best_effort_memory - headroom.memory_mb
            limits.append(memory_mb // demand.memory_mb)
        return min(limits, default=1)

    def usable(self, room: Room) -> Demand:
        """Return the free resources of an executor that such tasks may use."""
        headroom = room.headroom if self.leaves_headroom else NOTHING
        free_memory = self._memory(room)
        if headroom.memory_mb:
            beside = room.free_memory + room.best_effort_memory - headroom.memory_mb
            free_memory = min(free_memory, beside)
        free_cpu = room.free_cpu - headroom.milli_cpu
        free_gpus = room.free_gpus - headroom.gpus
        return Demand(max(free_cpu, 0), max(free_memory, 0), max(free_gpus, 0))


def default_headroom(total_cpu: int) -> Demand:
    """Return the headroom of an executor of which its hall has not decided any.

    Args:
        total_cpu: Thousandths of a core that the executor has.
    """
    return Demand(int(DEFAULT_HEADROOM_SHARE * total_cpu))


def may_use_headroom(task: Task, now: float) -> bool:
    """Return whether a standing task may use the headroom for short ones at a steady time."""
    return task.has_run_before or now - task.waiting_since >= HEADROOM_WAIT_S
