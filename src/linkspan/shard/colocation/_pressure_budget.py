"""Computes how much more pressure the standing tasks of an executor tolerate."""

from __future__ import annotations

from copy import copy
from typing import TYPE_CHECKING

from linkspan.shard.colocation.interference import scaled_cores

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.colocation.interference import InterferenceEstimator
    from linkspan.shard.executor import ExecutorState

MAX_PLACEMENT_PRESSURE = 0.805
"""Limits the pressure on a standing task up to which colocated best-effort tasks are placed and
their pace is raised. It is below 0.83, at which the latency target is reached, because predicted
loads may be too low."""

MAX_KEPT_PACE_PRESSURE = 0.83
"""Limits the pressure up to which best-effort tasks keep their current pace: just under the latency
target, so that prediction errors slow nothing down."""

MAX_NEGLIGIBLE_PRESSURE = 0.02
"""Limits the estimated pressure of a task that is never slowed down: less than the noise of one
measurement."""


ROUNDING_FACTOR = 1.0 + 1e-9
"""Factor on a limit that is computed in another order than the shares that it stands for."""


class PressureBudget:
    """Pressure that the standing tasks of one executor still tolerate from best-effort tasks.

    Args:
        executor: The executor.
        interference: Estimated interference between pairs of images.
        now: Steady time.
        best_effort: Best-effort attempts that already add pressure, at their current pace.
        limit: Limit of the pressure on a standing task.
    """

    def __init__(
        self,
        executor: ExecutorState,
        interference: InterferenceEstimator,
        now: float,
        best_effort: Iterable[Attempt] = (),
        *,
        limit: float = MAX_PLACEMENT_PRESSURE,
    ) -> None:
        self._executor = executor
        self._interference = interference
        self._remaining: dict[str, float] = {}
        self._max_full_speed_cpu: dict[str, float] = {}
        self._shares: dict[tuple[str, int], float] = {}
        for attempt in executor.latency_targeted():
            image = attempt.task.step.spec.image
            remaining = limit - interference.load(attempt, now)
            self._remaining[image] = min(remaining, self._remaining.get(image, remaining))
        for attempt in best_effort:
            self.add(attempt.task.step.spec, attempt.pace / 100)

    def __repr__(self) -> str:
        return f"PressureBudget({self._executor.executor_id!r}, {self._remaining})"

    @property
    def is_exceeded(self) -> bool:
        """Whether the expected pressure on a standing task exceeds the limit."""
        return any(remaining < 0.0 for remaining in self._remaining.values())

    def share(self, spec: StepSpec) -> float:
        """Return the share of full speed at which one more task may run, 0 to 1."""
        key = spec.image, spec.demand.milli_cpu
        share = self._shares.get(key)
        if share is None:
            share = self._shares[key] = self._compute_share(spec)
        return share

    def _compute_share(self, spec: StepSpec) -> float:
        cores = scaled_cores(self._executor, spec.demand.milli_cpu)
        share = 1.0
        for image, remaining in self._remaining.items():
            added = self._interference.effect(image, spec.image) * cores
            if added > MAX_NEGLIGIBLE_PRESSURE:
                share = min(share, max(remaining, 0.0) / added)
        return share

    def max_full_speed_cpu(self, image: str) -> float:
        """Return the thousandths of a core above which a task has a :meth:`share` of less than 1.

        Args:
            image: The task's image.
        """
        limit = self._max_full_speed_cpu.get(image)
        if limit is None:
            limit = self._max_full_speed_cpu[image] = self._compute_max_full_speed_cpu(image)
        return limit

    def _compute_max_full_speed_cpu(self, image: str) -> float:
        limit = float("inf")
        cores_of_one = scaled_cores(self._executor, 1.0)
        for standing, remaining in self._remaining.items():
            added = self._interference.effect(standing, image) * cores_of_one
            if added > 0.0:
                limit = min(limit, max(remaining, MAX_NEGLIGIBLE_PRESSURE) / added)
        return limit * ROUNDING_FACTOR

    def lowered(self, pressure: float) -> PressureBudget:
        """Return the budget under a limit that is lower by a pressure."""
        lowered = copy(self)
        lowered._remaining = {image: r - pressure for image, r in self._remaining.items()}
        lowered._max_full_speed_cpu = {}
        lowered._shares = {}
        return lowered

    def add(self, spec: StepSpec, share: float) -> None:
        """Add the pressure of a task that runs at a share of full speed."""
        self._max_full_speed_cpu.clear()
        self._shares.clear()
        cores = share * scaled_cores(self._executor, spec.demand.milli_cpu)
        for image in self._remaining:
            self._remaining[image] -= self._interference.effect(image, spec.image) * cores
