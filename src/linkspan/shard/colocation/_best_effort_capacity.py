"""Capacity for best-effort work during one plan, by the timeliness of the work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.colocation._pressure_budget import PressureBudget
from linkspan.shard.colocation.interference import scaled_cores
from linkspan.shard.planning.urgency import Timeliness, timeliness_of

if TYPE_CHECKING:
    from linkspan.shard.colocation.interference import InterferenceEstimator
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.step_run import StepRun

STANDING_USE_SHARE = 0.55
"""Share of their reservation that reserved tasks are assumed to use at a time, for computing the
unused cores. On calm days it is 0.45 to 0.7."""

NO_UNUSED_CPU = float("-inf")
"""Unused cores of an executor where a standing task is over its latency target."""


class BestEffortCapacity:
    """Caches how much best-effort work the executors can take during one plan.

    Best-effort work of lower timeliness is not counted, as it gives way to work of higher
    timeliness.

    Args:
        interference: Estimated interference between pairs of images.
        now: Steady time.
        wall: Time of day, in seconds since 1970, for urgency.
    """

    def __init__(self, interference: InterferenceEstimator, now: float, wall: float) -> None:
        self._interference = interference
        self._now = now
        self._wall = wall
        self._pressure_budgets: dict[tuple[str, Timeliness], PressureBudget] = {}
        self._timeliness: dict[StepRun, Timeliness] = {}
        self._unused: dict[str, float] = {}
        self._worst_effect: dict[tuple[str, str], float] = {}

    def __repr__(self) -> str:
        return f"BestEffortCapacity({len(self._pressure_budgets)})"

    def share(self, executor: ExecutorState, step: StepRun) -> float:
        """Return the share of full speed at which an executor can run one more task of a step."""
        return self._pressure_budget(executor, step).share(step.spec)

    def may_run_at_full_speed(self, executor: ExecutorState, step: StepRun) -> bool:
        """Return whether :meth:`share` may be 1; if not, it is certainly less."""
        limit = self._pressure_budget(executor, step).max_full_speed_cpu(step.spec.image)
        return step.spec.demand.milli_cpu <= limit

    def worst_added(self, executor: ExecutorState, image: str, milli_cpu: float) -> float:
        """Return the maximum pressure that best-effort work would add to a standing task there.

        Placements of a plan do not change it, as their runs are not confirmed yet.
        """
        key = executor.record.executor_id, image
        worst = self._worst_effect.get(key)
        if worst is None:
            worst = self._worst_effect[key] = self._interference.worst_effect(executor, image)
        return worst * scaled_cores(executor, milli_cpu)

    def changed(self, executor: ExecutorState, step: StepRun) -> None:
        """Discard cached values of an executor after a placement there was made or undone.

        Placements do not change the standing tasks that count for pressure, as their runs are not
        confirmed yet, and work of lower timeliness is not counted for work of higher timeliness.

        Args:
            executor: The executor.
            step: The step of which a task was placed.
        """
        self._unused.pop(executor.executor_id, None)
        if not step.spec.best_effort:
            return
        placed = self.timeliness(step)
        for timeliness in Timeliness:
            if timeliness >= placed:
                self._pressure_budgets.pop((executor.executor_id, timeliness), None)

    def unused_cpu(self, executor: ExecutorState) -> float:
        """Return thousandths of a core that best-effort tasks would find unused on an executor.

        Returns :data:`NO_UNUSED_CPU` where a standing task is over its target: a new run starts at
        full speed, even if the colocated best-effort runs have been slowed down.
        """
        unused = self._unused.get(executor.record.executor_id)
        if unused is None:
            unused = NO_UNUSED_CPU if executor.over_latency_target else remaining_cpu(executor)
            self._unused[executor.record.executor_id] = unused
        return unused

    def _pressure_budget(self, executor: ExecutorState, step: StepRun) -> PressureBudget:
        """Return the pressure that standing tasks there still tolerate from a step's tasks."""
        timeliness = self.timeliness(step)
        key = executor.executor_id, timeliness
        budget = self._pressure_budgets.get(key)
        if budget is None:
            best_effort = (
                a for a in executor.all_best_effort() if self.timeliness(a.task.step) <= timeliness
            )
            budget = self._pressure_budgets[key] = PressureBudget(
                executor, self._interference, self._now, best_effort
            )
        return budget

    def timeliness_if_best_effort(self, step: StepRun) -> Timeliness | None:
        """Return a best-effort step's timeliness, ``None`` for others."""
        return self.timeliness(step) if step.spec.best_effort else None

    def timeliness(self, step: StepRun) -> Timeliness:
        """Return a step's timeliness, which no placement of a plan changes."""
        timeliness = self._timeliness.get(step)
        if timeliness is None:
            timeliness = self._timeliness[step] = timeliness_of(step, self._wall)
        return timeliness


def remaining_cpu(executor: ExecutorState) -> float:
    """Return thousandths of a core that reserved and best-effort tasks leave unused."""
    used = STANDING_USE_SHARE * executor.reserved_cpu + executor.paced_cpu
    return executor.record.capacity.milli_cpu - used
