"""Work that an executor has no room for any more, since its room shrank."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.attempt import Phase
from linkspan.shard.planning._plan_part import PlanPart

if TYPE_CHECKING:
    from linkspan.jobs.spec import Demand
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning._plan_view import PlanView

OVERFULL_S = 1.0
"""Time for which an executor may hold more than its room before work leaves it: what grows
again within a heartbeat costs nobody a run. Three seconds after it shrank all is to fit."""

AGAIN_S = 0.25
"""Time between looks at an executor that work is to leave: each weighs all that runs there
against all other executors, milliseconds where there are a hundred."""


class Overfull(PlanPart):
    """Moves work off executors that hold more than their room, where there is room elsewhere.

    Best-effort work goes first, as it waits most easily, then what is of the lowest priority
    and has done least. What fits nowhere else stays: stopped, it would only lose its work.

    Args:
        view: What the plan works with.
    """

    def __init__(self, view: PlanView) -> None:
        super().__init__(view)
        self._promised_cpu: int | None = None

    def order(self) -> None:
        """Order the stops that are due now."""
        for executor in self._core.executors.values():
            if not executor.overfull:
                executor.offload_at = None
            elif executor.offload_at is None:
                executor.offload_at = self._now + OVERFULL_S
            elif self._now >= executor.offload_at:
                executor.offload_at = self._now + AGAIN_S
                self._relieve(executor)

    def _relieve(self, executor: ExecutorState) -> None:
        if executor.silent_since is not None:
            return
        left = _Excess(executor)
        running = [a for a in executor.attempts.values() if a.phase is Phase.RUNNING]
        for attempt in sorted(running, key=_order):
            if left.over and left.lightened_by(attempt) and self._may_leave(attempt, executor):
                self._core.stop(attempt, self._now, reason="executor has less room than before")
                left.stop(attempt)

    def _may_leave(self, attempt: Attempt, executor: ExecutorState) -> bool:
        """Whether a run may be stopped, and finds room elsewhere once it has ended."""
        step = attempt.task.step
        if step.spec.gang or step.run.job.requires_ticket or step.run.job.closing:
            # A gang would lose the work of all; elsewhere there may be no ticket.
            return False
        if step.spec.standing and not step.all_at_work:
            return False
        others = [e for e in self._view.usable() if e is not executor]
        if self._view.placement(step, others).choose(attempt.task) is None:
            return False
        return self._promise(step.spec.demand.milli_cpu, others)

    def _promise(self, milli_cpu: int, others: list[ExecutorState]) -> bool:
        """Count room elsewhere as taken by a run that is to move, if there is that much.

        Until it has ended its task takes none there, and the next would find the same room.
        """
        if self._promised_cpu is None:
            executors = self._core.executors.values()
            moving = (a for e in executors for a in e.attempts.values() if a.moved)
            self._promised_cpu = sum(a.task.step.spec.demand.milli_cpu for a in moving)
        room = sum(max(e.free_cpu, 0) for e in others)
        if room - self._promised_cpu < milli_cpu:
            return False
        self._promised_cpu += milli_cpu
        return True


class _Excess:
    """What an executor holds beyond its room, less what is being stopped there."""

    def __init__(self, executor: ExecutorState) -> None:
        self._cpu = -executor.free_cpu
        self._memory = -executor.free_memory
        self._gpus = -executor.free_gpus
        for attempt in executor.attempts.values():
            if attempt.phase is Phase.STOPPING:
                self.stop(attempt)

    @property
    def over(self) -> bool:
        """Whether something is left to be stopped."""
        return max(self._cpu, self._memory, self._gpus) > 0

    def lightened_by(self, attempt: Attempt) -> bool:
        """Whether the end of a run frees something of what is short."""
        cpu, demand = _held_cpu(attempt), attempt.task.step.spec.demand
        return (
            (self._cpu > 0 and cpu > 0)
            or (self._memory > 0 and demand.memory_mb > 0)
            or (self._gpus > 0 and demand.gpus > 0)
        )

    def stop(self, attempt: Attempt) -> None:
        """Count out what a run holds."""
        demand: Demand = attempt.task.step.spec.demand
        self._cpu -= _held_cpu(attempt)
        self._memory -= demand.memory_mb
        self._gpus -= demand.gpus


def _held_cpu(attempt: Attempt) -> int:
    """Return the thousandths of a core that a run has reserved."""
    spec = attempt.task.step.spec
    return 0 if spec.best_effort else spec.demand.milli_cpu


def _order(attempt: Attempt) -> tuple[bool, int, int]:
    """Return what runs are stopped by, lowest first."""
    step = attempt.task.step
    return not step.spec.best_effort, -step.run.job.priority, attempt.progress
