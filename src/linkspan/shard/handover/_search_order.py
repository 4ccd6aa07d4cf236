"""Order in which a search for other halls looks at the steps that wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.planning.task_need import HEADROOM_WAIT_S

if TYPE_CHECKING:
    from collections.abc import Collection

    from linkspan.shard.step_run import StepRun


def by_precedence(ready: Collection[StepRun], now: float) -> list[StepRun]:
    """Return ready steps, first those whose standing tasks have been away for long.

    Room that a search has given away counts as taken, so that the order decides who gets it.

    Args:
        ready: The steps.
        now: Steady time.
    """
    waiting_since = {step: _waiting_since(step) for step in ready if step.spec.standing}
    overdue = [step for step, since in waiting_since.items() if now - since >= HEADROOM_WAIT_S]
    overdue.sort(key=waiting_since.__getitem__)
    first = set(overdue)
    return [*overdue, *(step for step in ready if step not in first)]


def _waiting_since(step: StepRun) -> float:
    """Return since when the step's task that has waited longest waits; infinity if none does."""
    return min((task.waiting_since for task in step.tasks if task.pending), default=float("inf"))
