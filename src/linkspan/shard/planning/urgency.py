"""Defines the order in which steps are served."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.planning.task_need import HEADROOM_WAIT_S

if TYPE_CHECKING:
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.step_run import StepRun

MAX_USEFUL_AGE_FACTOR = 3.0
"""Multiple of its objective after which a job is served after all jobs that may still be of use:
callers pay nothing for an answer that is later than three times the objective."""

LATENESS_TOLERANCE = 0.1
"""Share of its objective by which a job may be expected to miss it and still count as in time:
estimates of durations are rough. A late job earns a seventh."""


class Timeliness(IntEnum):
    """Whether a job is expected to meet its objective, the best value first."""

    IN_TIME = 0
    LATE = 1
    NONE = 2


class Turn(IntEnum):
    """Whose turn it is among steps of equal timeliness, which their ranks do not compare."""

    OVERDUE_STANDING = 0
    FINITE = 1
    NEW_STANDING = 2


class Urgency(NamedTuple):
    """Sort key of steps, the most urgent lowest.

    Attributes:
        not_restart: Whether the step is not a restart of a standing task.
        priority: Priority of the step's queue.
        timeliness: Whether its job can still be in time.
        turn: Standing tasks that never ran come behind those that end, for a while.
        first_run: Whether the tasks have not failed before.
        rank: Order among steps that are equal otherwise.
    """

    not_restart: bool
    priority: int
    timeliness: Timeliness
    turn: Turn
    first_run: bool
    rank: float


class Urgencies:
    """Urgencies of steps at one time of day.

    The remaining work of a repetition is summed once, however many of its steps wait: a job may
    have thousands of them.

    Args:
        wall: Time of day, in seconds since 1970.
    """

    def __init__(self, wall: float) -> None:
        self._wall = wall
        self._remaining_work: dict[JobRun, float] = {}

    def __repr__(self) -> str:
        return f"Urgencies({self._wall})"

    def of(self, step: StepRun, *, failed_before: bool = False) -> Urgency:
        """Return a step's urgency.

        Standing tasks that have run before come first, then steps by priority, then jobs that can
        still meet their objective. Among steps with such tasks the longest wait comes first: each
        of them counts as missed after a fixed time, however old its job is. Standing tasks that
        never ran come behind tasks that end and are of use, as these give their room back within
        moments, and before them once their job is overdue. Among other equals
        tasks that have failed come first: their siblings are ahead of them, so that the job ends
        with them, and a job that can't be done is found out sooner. Then the job with the least
        remaining work comes first: when capacity is scarce, more jobs end in time than in the order
        of their slack, and jobs that have begun are finished. Jobs that are
        too late to be of use are ordered by age, so that none waits forever.

        Progress that runs report counts for timeliness and remaining work. Otherwise a nearly
        finished step would count as not begun, be rated late, and lose its pace to new work.

        Args:
            step: The step.
            failed_before: Whether the urgency is that of tasks of the step that have failed.
        """
        run = step.run
        job = run.job
        age, remaining_s = _times(step, self._wall)
        slack = job.objective_s - age - remaining_s
        timeliness = _timeliness(step, age + remaining_s, slack)
        if step.spec.standing:
            restarts = (t.waiting_since for t in step.tasks if t.pending and t.may_have_run)
            longest_since = min(restarts, default=None)
            if longest_since is not None:
                return Urgency(False, job.priority, timeliness, Turn.FINITE, True, longest_since)
            overdue = age >= HEADROOM_WAIT_S
            timeliness = Timeliness.IN_TIME if overdue else Timeliness.LATE
            turn = Turn.OVERDUE_STANDING if overdue else Turn.NEW_STANDING
            return Urgency(True, job.priority, timeliness, turn, True, slack)
        rank = -age if timeliness is Timeliness.NONE else self._work_left(run)
        return Urgency(True, job.priority, timeliness, Turn.FINITE, not failed_before, rank)

    def _work_left(self, run: JobRun) -> float:
        if run not in self._remaining_work:
            self._remaining_work[run] = run.remaining_work
        return self._remaining_work[run]


def timeliness_of(step: StepRun, wall: float) -> Timeliness:
    """Return only the timeliness of a step's urgency, without the sum over the job's steps.

    Args:
        step: The step.
        wall: Time of day, in seconds since 1970.
    """
    age, remaining_s = _times(step, wall)
    return _timeliness(step, age + remaining_s, step.run.job.objective_s - age - remaining_s)


def slack_s(step: StepRun, wall: float) -> float:
    """Return the seconds that a step may still wait for its job to meet its objective.

    Args:
        step: The step.
        wall: Time of day, in seconds since 1970.
    """
    age, remaining_s = _times(step, wall)
    return step.run.job.objective_s - age - remaining_s


def _times(step: StepRun, wall: float) -> tuple[float, float]:
    """Return the seconds since a step's repetition was due, and the seconds that it still needs."""
    job = step.run.job
    schedule = job.spec.schedule
    due_at = schedule.due(step.run.repetition) if schedule else job.submitted.accepted_at
    done_s = job.expected_durations_s[step.index] * (1.0 - step.remaining_share)
    return wall - due_at, job.remaining_path_s[step.index] - done_s


def _timeliness(step: StepRun, age_at_end_s: float, slack: float) -> Timeliness:
    objective_s = step.run.job.objective_s
    if step.spec.standing or slack >= -LATENESS_TOLERANCE * objective_s:
        return Timeliness.IN_TIME
    if age_at_end_s > MAX_USEFUL_AGE_FACTOR * objective_s:
        return Timeliness.NONE
    return Timeliness.LATE
