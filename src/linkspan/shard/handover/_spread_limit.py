"""Whether a step's spread limit is what keeps a task from the executors with room for it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from linkspan.shard.planning.task_need import TaskNeed

if TYPE_CHECKING:
    from linkspan.shard.core import ShardCore
    from linkspan.shard.step_run import StepRun


def has_room_only_at_spread_limit(core: ShardCore, step: StepRun, now: float) -> bool:
    """Return whether each executor with room for a step's tasks runs as many as it may.

    That is no matter of seconds, unlike room that other work is about to free: standing tasks
    don't end.

    Args:
        core: The shard's state.
        step: The step.
        now: Steady time.
    """
    if not step.spec.max_per_executor:
        return False
    need = TaskNeed.of(step.spec, step.run.job.service, use_headroom=True)
    placed = Counter(a.executor_id for task in step.tasks for a in task.attempts)
    with_room = [
        executor_id
        for executor_id, executor in core.executors.items()
        if need.matches(executor) and core.takes_work(executor, now) and not need.obstacle(executor)
    ]
    return bool(with_room) and all(
        placed[executor_id] >= step.spec.max_per_executor for executor_id in with_room
    )
