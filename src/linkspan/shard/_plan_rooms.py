"""What standing tasks bear during one plan, by the hope of the work beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard._pressure_room import PressureRoom
from linkspan.shard.urgency import Hope, urgency

if TYPE_CHECKING:
    from linkspan.shard.colocation import ColocationBook
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.state import StepRun


class PlanRooms:
    """Rooms of executors during one plan.

    Work of less hope is not counted: it gives way to a task of more.

    Args:
        book: What is known of pairs of images.
        now: Steady time.
        wall: Time of day, in seconds since 1970, for urgency.
    """

    def __init__(self, book: ColocationBook, now: float, wall: float) -> None:
        self._book = book
        self._now = now
        self._wall = wall
        self._rooms: dict[tuple[str, Hope], PressureRoom] = {}
        # Within a plan hope stays as it is, and each run beside a task asks for it.
        self._hopes: dict[StepRun, Hope] = {}

    def __repr__(self) -> str:
        return f"PlanRooms({len(self._rooms)})"

    def share(self, executor: ExecutorState, step: StepRun) -> float:
        """Return the share of full speed at which one more task of a step may work there."""
        return self._of(executor, step).share(step.spec)

    def changed(self, executor: ExecutorState) -> None:
        """Take in that something was placed on an executor."""
        for hope in Hope:
            self._rooms.pop((executor.executor_id, hope), None)

    def _hope(self, step: StepRun) -> Hope:
        hope = self._hopes.get(step)
        if hope is None:
            hope = self._hopes[step] = urgency(step, self._wall).hope
        return hope

    def _of(self, executor: ExecutorState, step: StepRun) -> PressureRoom:
        """Return the room that an executor has for a step's tasks."""
        hope = self._hope(step)
        key = executor.executor_id, hope
        room = self._rooms.get(key)
        if room is None:
            beside = (
                a
                for a in executor.attempts.values()
                if a.task.step.spec.best_effort and self._hope(a.task.step) <= hope
            )
            room = self._rooms[key] = PressureRoom(executor, self._book, self._now, beside)
        return room
