"""In what order work is served."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from linkspan.shard.state import StepRun

HOPELESS_FACTOR = 3.0
"""Multiple of its objective after which a job goes behind those still in time:
callers give nothing for an answer that is later than three times the objective."""

LATE_SHARE = 0.1
"""Part of its objective by which a job may be expected to miss it and still counts as
in time: guesses of running times are rough. A late job earns a seventh."""


class Hope(IntEnum):
    """Whether a job can still be of use, the best first."""

    IN_TIME = 0
    LATE = 1
    NONE = 2


class Urgency(NamedTuple):
    """What steps are ordered by, lowest first.

    Attributes:
        fresh: Whether it is anything but a standing task that was at work before.
        priority: Its queue's priority.
        hope: Whether its job can still be in time.
        slack_s: Time that its job could lose and still be in time, in seconds.
    """

    fresh: bool
    priority: int
    hope: Hope
    slack_s: float


def urgency(step: StepRun, wall: float) -> Urgency:
    """Return a step's urgency.

    Standing tasks that were at work come first, then priorities, then jobs that
    can still meet their objective, the most pressing first.

    Args:
        step: The step.
        wall: Time of day, in seconds since 1970.
    """
    job = step.run.job
    schedule = job.spec.schedule
    born = schedule.due(step.run.repetition) if schedule else job.submitted.accepted
    age = wall - born
    slack = job.objective_s - age - job.after_s[step.index]
    restart = step.spec.standing and any(t.pending and t.next_run > 1 for t in step.tasks)
    return Urgency(not restart, job.priority, _hope(step, age, slack), slack)


def _hope(step: StepRun, age: float, slack: float) -> Hope:
    objective_s = step.run.job.objective_s
    if step.spec.standing or slack >= -LATE_SHARE * objective_s:
        return Hope.IN_TIME
    if age + step.run.job.after_s[step.index] > HOPELESS_FACTOR * objective_s:
        return Hope.NONE
    return Hope.LATE
