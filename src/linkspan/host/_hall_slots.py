"""For how many tasks each hall has room, by its last summary."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.handover.executor_room import ExecutorRoom
    from linkspan.shard.handover.hall_readings import HallReading
    from linkspan.shard.planning.task_need import TaskNeed

MAX_KEPT_NEEDS = 256
"""Limits the needs whose slots are kept for one summary: demands may be all different."""


class HallSlots:
    """Slots of halls by need, kept until the next summary.

    A hall has hundreds of executors, and jobs that follow one another have few different needs.
    """

    def __init__(self) -> None:
        self._halls: dict[int, _KeptSlots] = {}

    def __repr__(self) -> str:
        return f"HallSlots({list(self._halls)})"

    def of(self, shard: int, reading: HallReading, need: TaskNeed) -> int:
        """Return for how many tasks of a need a hall has room now."""
        kept = self._halls.get(shard)
        if kept is None or kept.reading is not reading:
            kept = self._halls[shard] = _KeptSlots(reading)
        return kept.slots(need)


class _KeptSlots:
    """Slots of one hall by need.

    Args:
        reading: The hall.
    """

    def __init__(self, reading: HallReading) -> None:
        self.reading = reading
        self._rooms: tuple[ExecutorRoom, ...] = tuple(reading.summary.rooms())
        self._slots: dict[TaskNeed, int] = {}

    def __repr__(self) -> str:
        return f"_KeptSlots({len(self._rooms)} executors, {len(self._slots)} needs)"

    def slots(self, need: TaskNeed) -> int:
        found = self._slots.get(need)
        if found is None:
            if len(self._slots) >= MAX_KEPT_NEEDS:
                self._slots.clear()
            found = self._slots[need] = sum(need.slots(room) for room in self._rooms)
        return found
