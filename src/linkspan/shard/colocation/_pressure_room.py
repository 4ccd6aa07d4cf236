"""How much pressure the standing tasks of an executor still bear."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.colocation.interference import scaled_cores

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.colocation.interference import InterferenceEstimator
    from linkspan.shard.executor import ExecutorState

AIM_PRESSURE = 0.805
"""Pressure up to which best-effort tasks are placed, and given pace, beside a standing one;
its target is at 0.83, and loads are foreseen to about 0.04."""

KEPT_PRESSURE = 0.83
"""Pressure up to which they keep the pace that they have: just under the target, so that
the error of what is foreseen slows nobody down."""

INNOCENT_PRESSURE = 0.02
"""Pressure that a task adds at most, as believed, to count as innocent: less than the
noise of one figure tells apart."""


class PressureRoom:
    """Room that the standing tasks of one executor leave to best-effort ones.

    Args:
        executor: The executor.
        interference: What is known of pairs of images.
        now: Steady time.
        beside: Best-effort attempts that use part of the room at their present pace.
        limit: Pressure up to which there is room.
    """

    def __init__(
        self,
        executor: ExecutorState,
        interference: InterferenceEstimator,
        now: float,
        beside: Iterable[Attempt] = (),
        *,
        limit: float = AIM_PRESSURE,
    ) -> None:
        self._executor = executor
        self._interference = interference
        self._rooms: dict[str, float] = {}
        for attempt in executor.standing():
            image = attempt.task.step.spec.image
            left = limit - interference.load(attempt, now)
            self._rooms[image] = min(left, self._rooms.get(image, left))
        for attempt in beside:
            self.take(attempt.task.step.spec, attempt.pace / 100)

    def __repr__(self) -> str:
        return f"PressureRoom({self._executor.executor_id!r}, {self._rooms})"

    @property
    def overdrawn(self) -> bool:
        """Whether a standing task is expected to be under more pressure than the limit."""
        return any(left < 0.0 for left in self._rooms.values())

    def share(self, spec: StepSpec) -> float:
        """Return the share of full speed at which one more task may work, 0 to 1."""
        cores = scaled_cores(self._executor, spec.demand.milli_cpu)
        share = 1.0
        for image, left in self._rooms.items():
            part = self._interference.effect(image, spec.image) * cores
            if part > INNOCENT_PRESSURE:
                share = min(share, max(left, 0.0) / part)
        return share

    def take(self, spec: StepSpec, share: float) -> None:
        """Count a task in that works at a share of full speed."""
        cores = share * scaled_cores(self._executor, spec.demand.milli_cpu)
        for image in self._rooms:
            self._rooms[image] -= self._interference.effect(image, spec.image) * cores
