"""Where a step's tasks go: who can take one, and who takes it best."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.pacing import INNOCENT_PRESSURE

if TYPE_CHECKING:
    from linkspan.shard.colocation import ColocationBook
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.health import HealthBook
    from linkspan.shard.state import StepRun, Task

STANDING_USE = 0.55
"""Share of their reservation that reserved tasks use at a time, for reckoning what
is left to best-effort tasks; measured on calm days, where it was 0.45 to 0.7."""

BEST_EFFORT_LEAST_SHARE = 0.6
"""Least part of its demand that a best-effort task is to find left over. Below it
tasks only slow each other down."""

STANDING_HEADROOM = 0.1
"""Part of each executor that standing tasks leave to short ones, which earn four
times as much a core. Short tasks use a twentieth on average and come in bursts."""

SLOW_PENALTY = 2.0
"""Added to the score of an executor that was found slow: above any load."""

FAR_PENALTY = 1.0
"""Added away from the step's data: above any difference in load, below slowness."""

SAME_STEP_PENALTY = 0.03
"""Added for each task of the same standing step on the executor."""

OTHER_IMAGE_PENALTY = 1.0
"""Weight of the part of an executor that standing tasks of other images hold. Best-effort
work disturbs some images and leaves others alone, so an executor with one image
leaves more kinds of it a place than one with all."""

EMPTY_PENALTY = 0.3
"""Added to an executor with no standing task of the image: a new image takes the
emptiest one, and a known one fills those that it has."""

DISTURBANCE_WEIGHT = 3.0
"""Weight of the pressure that a best-effort task adds to a standing one beside it."""

MAX_PRESSURE = 0.78
"""Pressure on standing tasks up to which best-effort tasks are placed beside them; at
0.83 they are at their target."""


@dataclass
class StepPlacement:
    """Chooses executors for the pending tasks of one step.

    Args:
        step: The step.
        executors: Executors that may get new work.
        health: What is known of them.
        colocation: What is known of pairs of images.
        now: Steady time.
    """

    step: StepRun
    executors: list[ExecutorState]
    health: HealthBook
    colocation: ColocationBook
    now: float
    _on_executor: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        spec = self.step.spec
        service = self.step.run.job.service
        self.executors = [
            e
            for e in self.executors
            if e.record.service == service and (not spec.label or spec.label in e.record.labels)
        ]
        if not (spec.max_per_executor or spec.standing):
            return
        for task in self.step.tasks:
            for attempt in task.attempts:
                self._on_executor[attempt.executor_id] += 1

    def choose(self, task: Task, *, starved: bool = False) -> ExecutorState | None:
        """Return the best executor for a task, ``None`` if none has room.

        Args:
            task: The task.
            starved: Whether its job has had nothing running for long: it then goes
                where it presses least, and the pacer sees to what it disturbs there.
        """
        best: ExecutorState | None = None
        best_score = float("inf")
        for executor in self.executors:
            if executor.executor_id in task.avoid or not self.fits(
                executor, restart=task.displaced, starved=starved
            ):
                continue
            score = self._score(executor)
            if score < best_score:
                best, best_score = executor, score
        return best

    def took(self, executor: ExecutorState) -> None:
        """Count a task in that was placed on an executor."""
        self._on_executor[executor.executor_id] += 1

    def fits(
        self, executor: ExecutorState, *, restart: bool = False, starved: bool = False
    ) -> bool:
        """Whether an executor has room for one task of the step.

        Args:
            executor: The executor.
            restart: Whether the task has run before; standing tasks then may use the
                room that is kept for short ones.
            starved: Whether pressure on standing tasks is no reason against it.
        """
        spec = self.step.spec
        demand = spec.demand
        if demand.memory_mb > executor.free_memory or demand.gpus > executor.free_gpus:
            return False
        most = spec.max_per_executor
        if most and self._on_executor[executor.executor_id] >= most:
            return False
        if spec.best_effort:
            return self._fits_best_effort(executor, starved=starved)
        headroom = 0.0
        if spec.standing and not restart:
            headroom = STANDING_HEADROOM * executor.record.capacity.milli_cpu
        return demand.milli_cpu + headroom <= executor.free_cpu

    def _fits_best_effort(self, executor: ExecutorState, *, starved: bool) -> bool:
        """Whether the processor of an executor bears one more best-effort task."""
        if executor.disturbed:
            # A new run starts at full speed, whatever its neighbours were slowed to.
            return False
        if starved:
            return True
        image, milli_cpu = self.step.spec.image, self.step.spec.demand.milli_cpu
        if leftover_cpu(executor) < milli_cpu * BEST_EFFORT_LEAST_SHARE:
            return False
        added = self.colocation.worst_added(executor, image, milli_cpu)
        if added <= INNOCENT_PRESSURE:
            return True
        return self.colocation.worst_pressure(executor, image, milli_cpu) <= MAX_PRESSURE

    def _score(self, executor: ExecutorState) -> float:
        spec = self.step.spec
        capacity = max(executor.record.capacity.milli_cpu, 1)
        load = (executor.reserved_cpu + executor.best_effort_cpu + spec.demand.milli_cpu) / capacity
        score = load
        if spec.data_rack and spec.data_rack not in executor.record.labels:
            score += FAR_PENALTY
        if self.health.slow(executor.executor_id, self.now):
            score += SLOW_PENALTY
        if spec.standing:
            score += SAME_STEP_PENALTY * self._on_executor[executor.executor_id]
            score += self._image_score(executor, capacity)
        if spec.best_effort:
            added = self.colocation.worst_added(executor, spec.image, spec.demand.milli_cpu)
            score += DISTURBANCE_WEIGHT * added
        return score

    def _image_score(self, executor: ExecutorState, capacity: int) -> float:
        same = other = 0
        for attempt in executor.attempts.values():
            spec = attempt.task.step.spec
            if not spec.standing:
                continue
            if spec.image == self.step.spec.image:
                same += spec.demand.milli_cpu
            else:
                other += spec.demand.milli_cpu
        return OTHER_IMAGE_PENALTY * other / capacity + (0.0 if same else EMPTY_PENALTY)


def leftover_cpu(executor: ExecutorState) -> float:
    """Return thousandths of a core that best-effort tasks would find unused."""
    used = STANDING_USE * executor.reserved_cpu + executor.best_effort_cpu
    return executor.record.capacity.milli_cpu - used
