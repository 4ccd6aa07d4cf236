"""How long tasks wait in a hall before they are handed over or returned."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.shard.task import Task

RETURN_DELAY_S = 1.0
"""Time for which a delegated task waits for capacity before it is returned, if another hall has
room for it."""

ARRIVED_HANDOVER_WAIT_S = 0.15
"""Time for which a task that has already waited in another hall waits in this one. Home had no room
when it delegated the task, so it only has to try again."""

STANDING_DEADLINE_S = 6.0
"""Time without a run in which a standing task is to reach room, in whichever hall. The waits on its
way have one deadline: each takes a share of what is left, so that their sum stays below it."""

RETURN_SHARE = 0.25
"""Share of the time left that a task stays in a hall without room while another one has room. The
rest is for the handover home and for one more hall in vain."""

MAX_FAST_SEARCH_S = 9.0
"""Time for which a waiting task is handed on that fast. After that no hall seems to have room, and
each handover writes records."""


def _own_wait_s(task: Task, wait_s: float, now: float) -> float:
    """Return how long a task waits in this hall, less if it has already waited in another one."""
    has_waited_elsewhere = task.ready_since > task.waiting_since
    if has_waited_elsewhere and now - task.waiting_since < MAX_FAST_SEARCH_S:
        return min(wait_s, ARRIVED_HANDOVER_WAIT_S)
    return wait_s


def standing_return_delay_s(task: Task, now: float) -> float:
    """Return how long a delegated standing task stays while another hall has room."""
    waited_s = now - task.waiting_since
    if waited_s >= MAX_FAST_SEARCH_S:
        return RETURN_DELAY_S
    share_s = RETURN_SHARE * (STANDING_DEADLINE_S - waited_s)
    return min(max(share_s, ARRIVED_HANDOVER_WAIT_S), RETURN_DELAY_S)


def have_waited(tasks: list[Task], wait_s: float, now: float) -> list[Task]:
    """Return the tasks that have waited in this hall for as long as they have to."""
    return [t for t in tasks if now - t.ready_since >= _own_wait_s(t, wait_s, now)]
