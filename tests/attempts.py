"""What uses a task's attempts up: failed runs, each once; members of a gang share theirs."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.messages import TaskName


class FailedAttempt(NamedTuple):
    """A failed run, as it counts.

    Attributes:
        run: Its number.
        incarnation: The executor's life that ran it: owners that do not know of each other may give
            one number twice. Empty for a gang, whose members run on many.
    """

    run: int
    incarnation: str


def unit_of(task: TaskName, step: StepSpec) -> TaskName:
    """Return what attempts are counted of: the task, or the first member of its gang."""
    return task._replace(index=0) if step.gang else task


def attempt_of(run: int, incarnation: str, step: StepSpec) -> FailedAttempt:
    """Return what a failed run counts as."""
    return FailedAttempt(run, "" if step.gang else incarnation)
