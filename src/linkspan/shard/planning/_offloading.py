"""Moves work off executors whose capacity has shrunk below what they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.attempt import Phase
from linkspan.shard.planning._plan_stage import PlanStage

if TYPE_CHECKING:
    from linkspan.jobs.spec import Demand
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning._plan_view import PlanView

OFFLOAD_DELAY_S = 1.0
"""Time for which an executor may hold more than its capacity before work is moved off. Capacity
that is back within a heartbeat costs no run. Three seconds after a reduction all work has to
fit."""

OFFLOAD_INTERVAL_S = 0.25
"""Time between checks of an executor that work is moved off. Each check compares all runs there
with all other executors, which takes milliseconds with a hundred executors."""


class Offloading(PlanStage):
    """Stops runs on executors that hold more than their capacity, if other executors have capacity.

    Best-effort work is stopped first, as delay costs it least, then work of the lowest priority
    with the least progress. Runs that fit nowhere else continue: stopping them would only lose
    their work.

    Args:
        view: The plan's view of the shard.
    """

    def __init__(self, view: PlanView) -> None:
        super().__init__(view)
        self._reserved_cpu_elsewhere: int | None = None

    def add_orders(self) -> None:
        """Add the stops that are due now."""
        for executor in self._core.executors.values():
            if not executor.over_capacity:
                executor.offload_at = None
            elif executor.offload_at is None:
                executor.offload_at = self._now + OFFLOAD_DELAY_S
            elif self._now >= executor.offload_at:
                executor.offload_at = self._now + OFFLOAD_INTERVAL_S
                self._offload(executor)

    def _offload(self, executor: ExecutorState) -> None:
        if executor.silent_since is not None:
            return
        excess = _Excess(executor)
        running = [a for a in executor.attempts.values() if a.phase is Phase.RUNNING]
        for attempt in sorted(running, key=_stop_order):
            if excess.remains and excess.reduced_by(attempt) and self._can_move(attempt, executor):
                self._core.stop(attempt, self._now, reason="executor's capacity shrank")
                excess.subtract(attempt)

    def _can_move(self, attempt: Attempt, executor: ExecutorState) -> bool:
        """Whether a run may be stopped and its task fits on another executor."""
        step = attempt.task.step
        if step.spec.gang or step.run.job.requires_ticket or step.run.job.closing:
            # Stopping one task of a gang loses the work of all; the policy may refuse a ticket
            # for any other executor.
            return False
        if step.spec.standing and not step.all_running:
            return False
        others = [e for e in self._view.usable() if e is not executor]
        if self._view.placement(step, others).choose(attempt.task) is None:
            return False
        return self._reserve_elsewhere(step.spec.demand.milli_cpu, others)

    def _reserve_elsewhere(self, milli_cpu: int, others: list[ExecutorState]) -> bool:
        """Reserve capacity on other executors for a run that is about to move, if there is enough.

        A moving task takes no capacity there until its old run has ended. Without the reservation
        the next run would count on the same capacity.
        """
        if self._reserved_cpu_elsewhere is None:
            executors = self._core.executors.values()
            moving = (a for e in executors for a in e.attempts.values() if a.moved)
            self._reserved_cpu_elsewhere = sum(a.task.step.spec.demand.milli_cpu for a in moving)
        free_cpu = sum(max(e.free_cpu, 0) for e in others)
        if free_cpu - self._reserved_cpu_elsewhere < milli_cpu:
            return False
        self._reserved_cpu_elsewhere += milli_cpu
        return True


class _Excess:
    """What an executor holds beyond its capacity, without the runs that are being stopped."""

    def __init__(self, executor: ExecutorState) -> None:
        self._cpu = -executor.free_cpu
        self._memory = -executor.free_memory
        self._gpus = -executor.free_gpus
        for attempt in executor.attempts.values():
            if attempt.phase is Phase.STOPPING:
                self.subtract(attempt)

    @property
    def remains(self) -> bool:
        """Whether the executor still holds more than its capacity."""
        return max(self._cpu, self._memory, self._gpus) > 0

    def reduced_by(self, attempt: Attempt) -> bool:
        """Whether the end of a run would free a resource that is short."""
        cpu, demand = _reserved_cpu(attempt), attempt.task.step.spec.demand
        return (
            (self._cpu > 0 and cpu > 0)
            or (self._memory > 0 and demand.memory_mb > 0)
            or (self._gpus > 0 and demand.gpus > 0)
        )

    def subtract(self, attempt: Attempt) -> None:
        """Subtract the resources of a run that is being stopped."""
        demand: Demand = attempt.task.step.spec.demand
        self._cpu -= _reserved_cpu(attempt)
        self._memory -= demand.memory_mb
        self._gpus -= demand.gpus


def _reserved_cpu(attempt: Attempt) -> int:
    """Return the thousandths of a core that a run has reserved."""
    spec = attempt.task.step.spec
    return 0 if spec.best_effort else spec.demand.milli_cpu


def _stop_order(attempt: Attempt) -> tuple[bool, int, int]:
    """Return the sort key of runs to stop, the first to stop lowest."""
    step = attempt.task.step
    return not step.spec.best_effort, -step.run.job.priority, attempt.progress
