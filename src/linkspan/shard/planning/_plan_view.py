"""The state of a shard as one plan sees it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.shard.planning._blocked import held_cores
from linkspan.shard.planning._free_capacity import FreeCapacity
from linkspan.shard.planning._isolation import IsolatedPlacement, executors_for_new_work
from linkspan.shard.planning._step_scores import StepScores
from linkspan.shard.planning._task_kind import UnplaceableKinds
from linkspan.shard.planning.placement import StepPlacement

if TYPE_CHECKING:
    from linkspan.shard.colocation._best_effort_capacity import BestEffortCapacity
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.step_run import StepRun


@dataclass(slots=True)
class PlanView:
    """State of a shard at the time of a plan.

    Attributes:
        core: The shard's state.
        best_effort_capacity: Pressure that standing tasks tolerate from best-effort ones.
        now: Steady time of the plan.
        unserved: Steps with resources set aside for them that this plan has not served yet; they
            are less urgent than the step that it serves.
        unplaceable: Kinds of tasks that no usable executor has capacity for.
    """

    core: ShardCore
    best_effort_capacity: BestEffortCapacity
    now: float
    unserved: set[StepRun] = field(default_factory=set)
    unplaceable: UnplaceableKinds = field(default_factory=UnplaceableKinds)
    _usable: list[ExecutorState] | None = None
    _free_capacity: FreeCapacity | None = None
    _matching: dict[tuple[str, str], list[ExecutorState]] = field(default_factory=dict)
    _held_cores: dict[str, int] = field(default_factory=dict)
    _held_cores_orders: int = -1

    def usable(self) -> list[ExecutorState]:
        """Return the executors that may get new work, a list that stays the same during a plan.

        Only :meth:`reserve` takes executors out of it.
        """
        if self._usable is None:
            self._usable = executors_for_new_work(self.core, self.now)
        return self._usable

    def reserve(self, executor: ExecutorState) -> None:
        """Exclude an executor from all further placements of this plan."""
        if executor in self.usable():
            self.usable().remove(executor)
            self._matching.clear()
        self.free_capacity().remove(executor)

    def free_capacity(self) -> FreeCapacity:
        """Return the free capacity of the executors that may get new work.

        Placements update it, except those of speculative copies. A copy may therefore be compared
        with an executor that an earlier copy has filled; the full check excludes it.
        """
        if self._free_capacity is None:
            self._free_capacity = FreeCapacity(self.usable(), self.best_effort_capacity)
        return self._free_capacity

    def _matching_executors(self, step: StepRun) -> list[ExecutorState]:
        """Return the usable executors that run a step's tasks, in a list of its own.

        Hundreds of steps with the same few services and labels may wait.
        """
        key = step.run.job.service, step.spec.label
        found = self._matching.get(key)
        if found is None:
            found = self._matching[key] = [e for e in self.usable() if e.record.runs(*key)]
        return found.copy()

    def isolated_placement(self) -> IsolatedPlacement:
        """Return the placement of tasks with a crash history."""
        return IsolatedPlacement(self.core, len(self.usable()), self.now)

    def held_cores(self) -> dict[str, int]:
        """Return the hall's cores by what holds them, counted again only after another order."""
        if self._held_cores_orders != len(self.core.orders):
            self._held_cores_orders = len(self.core.orders)
            self._held_cores = held_cores(self.usable())
        return self._held_cores

    def placement(
        self, step: StepRun, executors: list[ExecutorState] | None = None
    ) -> StepPlacement:
        """Return a step's placement among the given executors, or among all usable ones."""
        core = self.core
        scores = StepScores(step, core.health, self.best_effort_capacity, self.now)
        if executors is None:
            return StepPlacement(
                step,
                self._matching_executors(step),
                scores,
                self.best_effort_capacity,
                self.now,
                self.unplaceable,
                self.free_capacity(),
                set_asides=core.set_asides,
                less_urgent=self.unserved,
            )
        service, label = step.run.job.service, step.spec.label
        return StepPlacement(
            step,
            [e for e in executors if e.record.runs(service, label)],
            scores,
            self.best_effort_capacity,
            self.now,
            free_capacity=self.free_capacity(),
            set_asides=core.set_asides,
        )
