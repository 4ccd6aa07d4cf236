"""Room that another hall has for work, by its last summary."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.handover.executor_room import ExecutorRoom
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.planning.task_need import TaskNeed

MAX_TAKEN_S = 3.0
"""Time for which work that was handed over counts as taking room of a hall whose summary stays the
same: about two summaries. After that the hall has shown that it does not take the work."""


@dataclass(slots=True)
class _Slots:
    """For how many tasks of one need the executors of a hall have room.

    Attributes:
        by_room: Number of tasks on each executor.
        total: Number of tasks on all of them.
        changes_seen: How many changes of the hall's rooms are included.
    """

    by_room: list[int]
    total: int
    changes_seen: int


class HallRoom:
    """Room that a hall's last summary tells, less what was handed over to the hall since.

    Many tasks that wait have the same need: what was found for a need is kept, as a hall has
    hundreds of executors.

    Args:
        summary: The summary.
        now: Steady time.
    """

    def __init__(self, summary: HallSummary, now: float) -> None:
        self._summary = summary
        self._read_at = now
        self._rooms: list[ExecutorRoom] | None = None
        self._changed: list[int] = []
        self._slots: dict[TaskNeed, _Slots] = {}
        self._free_cpu = summary.free
        self._best_effort_cpu = summary.best_effort + summary.waiting
        self._queued_cpu = summary.queued

    def __repr__(self) -> str:
        return f"HallRoom({self._free_cpu} of {self._summary.capacity} free)"

    @property
    def read_at(self) -> float:
        """Steady time at which the summary was first seen, or was seen to stay the same."""
        return self._read_at

    @property
    def published_cpu(self) -> int:
        """Free thousandths of a core of all executors, by the summary alone."""
        return self._summary.published_cpu

    @property
    def free_cpu(self) -> int:
        """Thousandths of a core that are not reserved."""
        return self._free_cpu

    @property
    def queued_cpu(self) -> int:
        """Thousandths of a core that work with a reservation waits for."""
        return self._queued_cpu

    @property
    def best_effort_load(self) -> float:
        """Cores that best-effort work uses or waits for, as a share of all cores."""
        return self._best_effort_cpu / max(self._summary.capacity, 1)

    @property
    def half_idle(self) -> bool:
        """Whether half of the cores are neither reserved nor wanted by best-effort work."""
        return self._free_cpu - self._best_effort_cpu >= self._summary.capacity / 2

    def current(self, summary: HallSummary, now: float) -> bool:
        """Return whether this still tells the room of a hall with the given last summary."""
        return now - self._read_at < MAX_TAKEN_S and summary == self._summary

    def load_with(self, milli_cpu: int) -> float:
        """Return the best-effort load with more best-effort work."""
        return self.best_effort_load + milli_cpu / max(self._summary.capacity, 1)

    def free_beside(self, need: TaskNeed) -> int:
        """Return the free thousandths of a core that tasks of a need may use, on all executors."""
        if not need.leaves_headroom:
            return self._free_cpu
        return self._free_cpu - sum(room.headroom.milli_cpu for room in self._all_rooms())

    def slots(self, need: TaskNeed) -> int:
        """Return for how many tasks the hall has room now."""
        if need.preempts and not self._summary.best_effort_memory:
            return 0
        if not self._summary.takes(need):
            return 0
        return self._slots_of(need).total

    def take(self, need: TaskNeed, count: int) -> None:
        """Count tasks as taking room, on the executors with the most room for them first."""
        self._free_cpu -= count * need.demand.milli_cpu
        by_room = self._slots_of(need).by_room
        for index in sorted(range(len(by_room)), key=by_room.__getitem__, reverse=True):
            taken = min(by_room[index], count)
            if taken < 1:
                return
            rooms = self._all_rooms()
            rooms[index] = rooms[index].without(need.demand, taken)
            self._changed.append(index)
            count -= taken

    def queue(self, milli_cpu: int) -> None:
        """Count work with a reservation as waiting there."""
        self._queued_cpu += milli_cpu

    def add_best_effort(self, milli_cpu: int) -> None:
        """Count best-effort work as waiting there."""
        self._best_effort_cpu += milli_cpu

    def _all_rooms(self) -> list[ExecutorRoom]:
        if self._rooms is None:
            self._rooms = list(self._summary.rooms())
        return self._rooms

    def _slots_of(self, need: TaskNeed) -> _Slots:
        """Return the slots for a need, with all changes of the rooms included."""
        rooms = self._all_rooms()
        known = self._slots.get(need)
        if known is None:
            by_room = [need.slots(room) for room in rooms]
            known = self._slots[need] = _Slots(by_room, sum(by_room), len(self._changed))
        for index in set(self._changed[known.changes_seen :]):
            slots = need.slots(rooms[index])
            known.total += slots - known.by_room[index]
            known.by_room[index] = slots
        known.changes_seen = len(self._changed)
        return known
