"""Separates the waiting tasks of a step that have failed from those that have not."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task


class WaitingTasks(NamedTuple):
    """Waiting tasks of a step that are equally urgent.

    Attributes:
        step: The step.
        tasks: The tasks.
        failed_before: Whether a run of each of them has failed.
    """

    step: StepRun
    tasks: list[Task]
    failed_before: bool


def split_by_failures(step: StepRun, tasks: list[Task]) -> list[WaitingTasks]:
    """Return a step's waiting tasks, those that have failed apart from the others.

    The whole step doesn't come first for one failed task: it may have thousands of tasks. A gang
    starts together, and standing tasks have an order of their own. Tasks with a reservation stay
    together, as resources are set aside for all of them; those that have failed are first.
    """
    if not step.has_failures or step.spec.standing:
        return [WaitingTasks(step, tasks, failed_before=False)]
    if step.spec.gang:
        return [WaitingTasks(step, tasks, failed_before=True)]
    failed = [t for t in tasks if t.failures]
    others = [t for t in tasks if not t.failures]
    if not step.spec.best_effort:
        return [WaitingTasks(step, failed + others, failed_before=not others)]
    split = (
        WaitingTasks(step, failed, failed_before=True),
        WaitingTasks(step, others, failed_before=False),
    )
    return [waiting for waiting in split if waiting.tasks]


def is_last_run(task: Task) -> bool:
    """Return whether the job fails with the next failure of a task that has failed before."""
    step = task.step
    failures = step.failures if step.spec.gang else task.failures
    return failures > 0 and step.run.job.attempts_exhausted(failures + 1)
