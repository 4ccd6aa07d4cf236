"""What standing tasks bear during one plan, by the hope of the work beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.colocation._pressure_room import PressureRoom
from linkspan.shard.planning.urgency import Timeliness, timeliness_of

if TYPE_CHECKING:
    from linkspan.shard.colocation.interference import InterferenceEstimator
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.step_run import StepRun

STANDING_USE = 0.55
"""Share of their reservation that reserved tasks use at a time, for reckoning what
is left to best-effort tasks; measured on calm days, where it was 0.45 to 0.7."""

NONE_LEFT = float("-inf")
"""Unused cores of an executor where a standing task is over its latency target."""


class PlanRooms:
    """Rooms of executors during one plan.

    Work of less hope is not counted: it gives way to a task of more.

    Args:
        interference: What is known of pairs of images.
        now: Steady time.
        wall: Time of day, in seconds since 1970, for urgency.
    """

    def __init__(self, interference: InterferenceEstimator, now: float, wall: float) -> None:
        self._interference = interference
        self._now = now
        self._wall = wall
        self._rooms: dict[tuple[str, Timeliness], PressureRoom] = {}
        self._hopes: dict[StepRun, Timeliness] = {}
        self._unused: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"PlanRooms({len(self._rooms)})"

    def share(self, executor: ExecutorState, step: StepRun) -> float:
        """Return the share of full speed at which one more task of a step may work there."""
        return self._of(executor, step).share(step.spec)

    def changed(self, executor: ExecutorState) -> None:
        """Take in that something was placed on an executor."""
        for hope in Timeliness:
            self._rooms.pop((executor.executor_id, hope), None)
        self._unused.pop(executor.executor_id, None)

    def unused_cpu(self, executor: ExecutorState) -> float:
        """Return thousandths of a core that best-effort tasks would find unused there.

        None where a standing task is over its target: a new run starts at full speed,
        whatever its neighbours were slowed to.
        """
        unused = self._unused.get(executor.record.executor_id)
        if unused is None:
            unused = NONE_LEFT if executor.disturbed else leftover_cpu(executor)
            self._unused[executor.record.executor_id] = unused
        return unused

    def _of(self, executor: ExecutorState, step: StepRun) -> PressureRoom:
        """Return the room that an executor has for a step's tasks."""
        hope = self.hope(step)
        key = executor.executor_id, hope
        room = self._rooms.get(key)
        if room is None:
            beside = (a for a in executor.best_effort_attempts() if self.hope(a.task.step) <= hope)
            room = self._rooms[key] = PressureRoom(executor, self._interference, self._now, beside)
        return room

    def hope(self, step: StepRun) -> Timeliness:
        """Return a step's hope, which no placement of a plan changes."""
        hope = self._hopes.get(step)
        if hope is None:
            hope = self._hopes[step] = timeliness_of(step, self._wall)
        return hope


def leftover_cpu(executor: ExecutorState) -> float:
    """Return thousandths of a core that best-effort tasks would find unused."""
    used = STANDING_USE * executor.reserved_cpu + executor.paced_cpu
    return executor.record.capacity.milli_cpu - used
