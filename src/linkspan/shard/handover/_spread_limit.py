"""Whether a step's spread limit is what keeps a task from the executors with room for it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from linkspan.shard.planning.task_need import TaskNeed

if TYPE_CHECKING:
    from linkspan.shard.core import ShardCore
    from linkspan.shard.step_run import StepRun


class SpreadLimits:
    """Answers, for one search for handovers, where spread limits are in the way.

    Many tasks that wait have the same need: the executors with room for it are looked up once.

    Args:
        core: The shard's state.
        now: Steady time.
    """

    def __init__(self, core: ShardCore, now: float) -> None:
        self._core = core
        self._now = now
        self._with_room: dict[TaskNeed, list[str]] = {}

    def __repr__(self) -> str:
        return f"SpreadLimits({self._core!r})"

    def keep_out(self, step: StepRun) -> bool:
        """Return whether each executor with room for a step's tasks runs as many as it may.

        That is no matter of seconds, unlike room that other work is about to free: standing tasks
        don't end.
        """
        limit = step.spec.max_per_executor
        if not limit:
            return False
        need = TaskNeed.of(step.spec, step.run.job.service, use_headroom=True)
        with_room = self._with_room.get(need)
        if with_room is None:
            with_room = self._with_room[need] = self._executors_with_room(need)
        placed = Counter(a.executor_id for task in step.tasks for a in task.attempts)
        return bool(with_room) and all(placed[name] >= limit for name in with_room)

    def _executors_with_room(self, need: TaskNeed) -> list[str]:
        return [
            name
            for name, executor in self._core.executors.items()
            if need.matches(executor)
            and self._core.takes_work(executor, self._now)
            and not need.obstacle(executor)
        ]
