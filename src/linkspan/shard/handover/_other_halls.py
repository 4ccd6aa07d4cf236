"""Room of all other halls, by their last summaries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.handover._hall_room import HallRoom

if TYPE_CHECKING:
    from collections.abc import Mapping

    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.planning.task_need import TaskNeed


class OtherHalls:
    """Room of the other halls, by shard.

    Until a hall publishes another summary, what was handed over to it stays counted.
    """

    def __init__(self) -> None:
        self._rooms: dict[int, HallRoom] = {}
        self._needs_without_room: set[TaskNeed] = set()

    def __repr__(self) -> str:
        return f"OtherHalls({self._rooms!r})"

    @property
    def rooms(self) -> Mapping[int, HallRoom]:
        """Room of each hall."""
        return self._rooms

    def read(self, summaries: Mapping[int, HallSummary], now: float) -> None:
        """Apply the last summaries at a steady time."""
        rooms = {}
        for shard, summary in summaries.items():
            known = self._rooms.get(shard)
            current = known is not None and known.current(summary, now)
            rooms[shard] = known if known and current else HallRoom(summary, now)
        if any(room is not self._rooms.get(shard) for shard, room in rooms.items()):
            self._needs_without_room.clear()
        self._rooms = rooms

    def with_room_for(self, need: TaskNeed) -> list[int]:
        """Return the halls with room for a task now, those with the most free cores first.

        Where all halls are full, hundreds of tasks with the same few needs wait.
        """
        if need in self._needs_without_room:
            return []
        found = [shard for shard, room in self._rooms.items() if room.slots(need) > 0]
        if not found:
            self._needs_without_room.add(need)
        return sorted(found, key=lambda shard: -self._rooms[shard].free_cpu)
