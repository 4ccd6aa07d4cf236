"""Finds executors on which a waiting task fits once runs there have ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from linkspan.jobs.spec import Demand
from linkspan.shard.planning._preemption import (
    NEVER_ENDS,
    Preemption,
    cheapest_preemption,
    covered_in_s,
)

if TYPE_CHECKING:
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning.placement import StepPlacement
    from linkspan.shard.planning.set_asides import SetAsides
    from linkspan.shard.task import Task


@dataclass(frozen=True, slots=True)
class _FreedRoom:
    """Free resources of an executor once runs that may end have ended."""

    total_cpu: int
    free_cpu: int
    free_memory: int
    free_gpus: int
    executor: ExecutorState
    best_effort_memory: int = 0

    @property
    def headroom(self) -> Demand:
        return self.executor.headroom

    def runs(self, service: str, label: str) -> bool:
        return self.executor.runs(service, label)


@dataclass(frozen=True, slots=True)
class Candidate:
    """An executor on which a waiting task could fit.

    Attributes:
        executor: The executor.
        covered_in_s: Seconds until it is expected to fit without a stop.
        preemption: Stops after which it fits; ``None`` if there are none.
        score: Score of the executor for the step, lower is better.
    """

    executor: ExecutorState
    covered_in_s: float
    preemption: Preemption | None
    score: float

    def rank(self, patience_s: float) -> tuple[int, float, float]:
        """Return the sort key, the best executor lowest."""
        if self.covered_in_s <= patience_s:
            return 0, self.covered_in_s, self.score
        if self.preemption is not None:
            return 1, self.preemption.loss, self.score
        return 2, self.covered_in_s, self.score


def find_candidate(
    set_asides: SetAsides, placement: StepPlacement, executor: ExecutorState, task: Task
) -> Candidate | None:
    """Return an executor where a task lacks only memory or accelerators that get free.

    For a gang, executors that lack nothing count, too.
    """
    demand = task.step.spec.demand
    held = set_asides.held(executor.executor_id)
    shortage = shortage_of(executor, held, demand)
    if shortage is None and not task.step.spec.gang:
        return None
    ending = [a for a in executor.attempts.values() if not a.task.step.spec.standing]
    memory_mb = sum(a.task.step.spec.demand.memory_mb for a in ending)
    gpus = sum(a.task.step.spec.demand.gpus for a in ending)
    room = _FreedRoom(
        executor.total_cpu,
        executor.free_cpu - held.milli_cpu,
        executor.free_memory + memory_mb - held.memory_mb,
        executor.free_gpus + gpus - held.gpus,
        executor,
    )
    mine = set_asides.of(task.step)
    more_placed = sum(s.executor_id == executor.executor_id for s in mine)
    if placement.obstacle_in(executor, room, task, more_placed=more_placed) is not None:
        return None
    score = placement.score(executor)
    if shortage is None:
        # Other members of the gang have to wait for room.
        return Candidate(executor, 0.0, None, score)
    covered = covered_in_s(executor, shortage, placement.now)
    preemption = cheapest_preemption(executor, shortage, placement.now)
    if covered == NEVER_ENDS and preemption is None:
        return None
    return Candidate(executor, covered, preemption, score)


def shortage_of(executor: ExecutorState, held: Demand, demand: Demand) -> Demand | None:
    """Return the memory and accelerators that an executor lacks; ``None`` if it lacks neither.

    Args:
        executor: The executor.
        held: What is set aside there.
        demand: What a further task takes.
    """
    memory_mb = held.memory_mb + demand.memory_mb - executor.free_memory
    gpus = held.gpus + demand.gpus - executor.free_gpus
    if memory_mb <= 0 and gpus <= 0:
        return None
    return Demand(0, max(memory_mb, 0), max(gpus, 0))
