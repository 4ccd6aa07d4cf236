"""The users' rule for standing tasks that do not run: a sum of waits counts, not one wait alone."""

from __future__ import annotations

from collections.abc import Set
from typing import TYPE_CHECKING

from tests.host.disruptions import Disruptions
from tests.host.standing_room import MIN_FREE_SLOTS, room_for, standing_tasks, usages_of

if TYPE_CHECKING:
    from linkspan.shard.messages import TaskName
    from tests.hall_world import HallWorld

MAX_AWAY_S = 6.0
"""Time since a task's last run, or its acceptance, from which on it must run where it has room."""

MAX_BESIDE_ROOM_S = 3.0
"""Time without a break for which there may be room for such a task while it does not run."""

MIN_CALM_S = MAX_BESIDE_ROOM_S + 4.0
"""Time without a fault before a task is reported: the time beside room, and 4 s before it."""


class StandingRule:
    """Reports standing tasks that were away for 6 s and had room for two of them for the last 3 s.

    The time that a task is away counts whether or not there is room, and whether or not faults are
    in effect; only the end of it must be calm and beside room.

    Args:
        disruptions: Times of the injected faults.

    Attributes:
        longest_beside_room_s: Longest time for which a task that had been away for 6 s, in a calm
            time, had room and did not run, in seconds.
    """

    def __init__(self, disruptions: Disruptions) -> None:
        self._disruptions = disruptions
        self._away_since: dict[TaskName, float] = {}
        self._room_since: dict[TaskName, float] = {}
        self._reported: set[TaskName] = set()
        self.longest_beside_room_s = 0.0

    def check(self, world: HallWorld, now: float, excused: Set[str]) -> list[str]:
        """Return a line for each task that breaks the rule, once.

        Args:
            world: World whose jobs and executors are checked.
            now: Time in seconds.
            excused: Ids of jobs whose tasks need not run.
        """
        is_calm = self._disruptions.calm_s(world, now) >= MIN_CALM_S
        away = standing_tasks(world, excused)
        for executor in world.executors.values():
            for task in executor.running if executor.alive else ():
                away.pop(task, None)
        self._away_since = {task: self._away_since.get(task, now) for task in away}
        usages = usages_of(world) if away else []
        slots = {job_id: room_for(usages, job_id, step) for job_id, step in set(away.values())}
        beside_room = [task for task in away if slots[task.job_id] >= MIN_FREE_SLOTS]
        self._room_since = {task: self._room_since.get(task, now) for task in beside_room}
        late = [task for task in beside_room if is_calm and self._is_late(task, now)]
        return [self._line(world, task, now) for task in late]

    def _is_late(self, task: TaskName, now: float) -> bool:
        if now - self._away_since[task] < MAX_AWAY_S:
            return False
        beside_room_s = now - self._room_since[task]
        self.longest_beside_room_s = max(self.longest_beside_room_s, beside_room_s)
        if beside_room_s < MAX_BESIDE_ROOM_S or task in self._reported:
            return False
        self._reported.add(task)
        return True

    def _line(self, world: HallWorld, task: TaskName, now: float) -> str:
        ran = "ran before" if task in world.starts else "never ran"
        return (
            f"{now:.2f} LOST {task} does not run: {ran}, away since {self._away_since[task]:.2f},"
            f" beside room since {self._room_since[task]:.2f}, {world.step_of(task).demand}"
        )
