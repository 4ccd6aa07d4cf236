"""Limits the paces of best-effort runs beside runs with precedence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.attempt import FULL_PACE
from linkspan.shard.colocation._best_effort_capacity import remaining_cpu
from linkspan.shard.planning.urgency import Precedence, timeliness_of

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState

MIN_RAISE_SHARE = 0.25
"""Minimum share of full speed by which a run beside one with precedence gets faster, unless it
reaches full speed: each raise is a call to the executor, and the cores may be taken again soon."""


class CoreLimits:
    """Highest shares of full speed that the cores of one executor allow its best-effort runs.

    A run beside one with precedence gets faster only by cores that all of them leave unused. The
    pressure alone would allow full speed, also where no standing task runs. Other runs share the
    cores without a limit, and no run is slowed down.

    Args:
        executor: The executor.
        wall: Time of day, in seconds since 1970, for the timeliness of the runs.
    """

    def __init__(self, executor: ExecutorState, wall: float) -> None:
        self._executor = executor
        self._wall = wall
        self._precedences = {
            step: Precedence(step.run.job.priority, timeliness_of(step, wall))
            for step in {a.task.step for a in executor.all_best_effort()}
        }

    def __repr__(self) -> str:
        return f"CoreLimits({self._executor.executor_id!r})"

    def share(self, attempt: Attempt) -> float:
        """Return the highest share of full speed for a run, at least its present one."""
        present = attempt.pace / FULL_PACE
        mine = self._precedences[attempt.task.step]
        if not any(mine.yields_to(other) for other in self._precedences.values()):
            return 1.0
        milli_cpu = max(attempt.task.step.spec.demand.milli_cpu, 1)
        unused = max(remaining_cpu(self._executor), 0.0)
        share = min(present + unused / milli_cpu, 1.0)
        return share if share >= min(present + MIN_RAISE_SHARE, 1.0) else present
