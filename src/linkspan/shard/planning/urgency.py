"""In what order work is served."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from linkspan.shard.step_run import StepRun

HOPELESS_FACTOR = 3.0
"""Multiple of its objective after which a job goes behind those still in time:
callers give nothing for an answer that is later than three times the objective."""

LATE_SHARE = 0.1
"""Part of its objective by which a job may be expected to miss it and still counts as
in time: guesses of running times are rough. A late job earns a seventh."""


class Timeliness(IntEnum):
    """Whether a job can still be of use, the best first."""

    IN_TIME = 0
    LATE = 1
    NONE = 2


class Urgency(NamedTuple):
    """What steps are ordered by, lowest first.

    Attributes:
        fresh: Whether it is anything but a standing task that was at work before.
        priority: Its queue's priority.
        timeliness: Whether its job can still be in time.
        rank: Order among equals, the lowest first.
    """

    fresh: bool
    priority: int
    timeliness: Timeliness
    rank: float


def urgency(step: StepRun, wall: float) -> Urgency:
    """Return a step's urgency.

    Standing tasks that were at work come first, then priorities, then jobs that
    can still meet their objective. Among equals the one with the least work left goes
    first: when room is scarce more jobs end in time than in the order of their slack, and
    what was begun is finished. Together with learnt lengths that earned 0.032 more of all
    that is owed (standard error 0.009, over twelve pairs of days that it was not chosen
    by), batch jobs 0.042 and short ones 0.027; with guesses alone it earned nothing. Jobs
    without hope go by age, so that none of them waits for ever.

    What runs report as done counts for hope and for work left: a step that is nearly done
    would otherwise count as not begun, be called late, and give its pace to new work.
    That earned batch jobs 0.026 more of what is owed to them (standard error 0.016, twelve
    pairs of days on three deployments), all work 0.012 (0.010).

    Args:
        step: The step.
        wall: Time of day, in seconds since 1970.
    """
    job = step.run.job
    age, left_s = _times(step, wall)
    slack = job.objective_s - age - left_s
    restart = step.spec.standing and any(t.pending and t.next_run > 1 for t in step.tasks)
    hope = _hope(step, age + left_s, slack)
    if step.spec.standing:
        return Urgency(not restart, job.priority, hope, slack)
    rank = -age if hope is Timeliness.NONE else step.run.work_left
    return Urgency(not restart, job.priority, hope, rank)


def timeliness_of(step: StepRun, wall: float) -> Timeliness:
    """Return the hope of a step's urgency alone: it needs no sum over the job's steps.

    Args:
        step: The step.
        wall: Time of day, in seconds since 1970.
    """
    age, left_s = _times(step, wall)
    return _hope(step, age + left_s, step.run.job.objective_s - age - left_s)


def _times(step: StepRun, wall: float) -> tuple[float, float]:
    """Return the seconds since a step's repetition was due, and those that it still needs."""
    job = step.run.job
    schedule = job.spec.schedule
    born = schedule.due(step.run.repetition) if schedule else job.submitted.accepted_at
    done_s = job.expected_durations_s[step.index] * (1.0 - step.share_left)
    return wall - born, job.remaining_path_s[step.index] - done_s


def _hope(step: StepRun, ends_s: float, slack: float) -> Timeliness:
    objective_s = step.run.job.objective_s
    if step.spec.standing or slack >= -LATE_SHARE * objective_s:
        return Timeliness.IN_TIME
    if ends_s > HOPELESS_FACTOR * objective_s:
        return Timeliness.NONE
    return Timeliness.LATE
