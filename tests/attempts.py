"""Counting of failed runs: each counts once, and the members of a gang share one count."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.messages import TaskName


class FailedAttempt(NamedTuple):
    """Identity under which a failed run is counted.

    Attributes:
        run: Number of the run.
        incarnation: Executor incarnation that ran it: owners that do not know of each other may
            assign the same number twice. Empty for a gang, whose members run on several.
    """

    run: int
    incarnation: str


def unit_of(task: TaskName, step: StepSpec) -> TaskName:
    """Return the task under which attempts are counted: for a gang, its first member."""
    return task._replace(index=0) if step.gang else task


def attempt_of(run: int, incarnation: str, step: StepSpec) -> FailedAttempt:
    """Return the identity under which a failed run is counted."""
    return FailedAttempt(run, "" if step.gang else incarnation)
