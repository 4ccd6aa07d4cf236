"""Estimates whether a new job could still be of use in a hall, by the hall's last summary."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.handover.backlog import Backlog, WorkClass
from linkspan.shard.planning.task_need import TaskNeed
from linkspan.shard.planning.urgency import MAX_USEFUL_AGE_FACTOR

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from linkspan.jobs.spec import JobSpec, StepSpec
    from linkspan.model.configuration import Queue
    from linkspan.shard.handover.summary import HallSummary

MAX_SUMMARY_AGE_S = 6.0
"""Age up to which a summary is used, in seconds: owners publish one every 1.2 s, and other halls
read it every 2 s and know its age to within 2 s."""

HOPELESS_MARGIN = 2.0
"""Factor by which a job's wait must exceed the longest one after which it is of use. A refused
caller may get nothing, while an accepted one gets at least a late answer. The waiting work itself
has arrived within the time in which it is of use, so that beyond this factor fewer than one in
three jobs can still be of use."""

MIN_SPARE_S = 1.0
"""Least time that a job is taken to have left, in seconds: summaries are about that old."""

MIN_FIT_DELAY_S = 1.0
"""Least time after which a refused job would fit, in seconds: callers are told whole seconds."""

MAX_FIT_DELAY_S = 600.0
"""Limits that time, in seconds: a drain rate does not hold for longer."""


@dataclass(frozen=True, slots=True)
class HallLoad:
    """Load of a hall as far as a host knows it.

    Attributes:
        hall: Name of the hall.
        summary: The last summary by its present owner, ``None`` if there is none.
        age_s: Upper bound of the age of the summary, in seconds.
        evacuated: Whether the hall is evacuated.
    """

    hall: str
    summary: HallSummary | None
    age_s: float
    evacuated: bool = False

    @property
    def usable_summary(self) -> HallSummary | None:
        """The summary, ``None`` if it does not tell how the hall's work drains now."""
        if self.evacuated or self.age_s > MAX_SUMMARY_AGE_S:
            return None
        return self.summary


class JobOutlook(NamedTuple):
    """When a new job would be done in a hall.

    Attributes:
        hall: Name of the hall.
        wait_s: Expected time until its tasks start, in seconds.
        path_s: Expected duration of its longest path, in seconds.
        objective_s: Time within which it is expected to be done, in seconds.
        age_s: Upper bound of the age of the hall's summary, in seconds.
    """

    hall: str
    wait_s: float
    path_s: float
    objective_s: float
    age_s: float

    @property
    def hopeless(self) -> bool:
        """Whether the job can clearly no longer be of use when it is done."""
        spare_s = MAX_USEFUL_AGE_FACTOR * self.objective_s - self.path_s
        return self.wait_s > HOPELESS_MARGIN * max(spare_s, self.objective_s, MIN_SPARE_S)

    @property
    def fits_after_s(self) -> float:
        """Time after which such a job would be done within its objective, in seconds."""
        spare_s = max(self.objective_s - self.path_s, 0.0)
        return min(max(self.wait_s - spare_s, MIN_FIT_DELAY_S), MAX_FIT_DELAY_S)


def outlook_in(
    load: HallLoad, spec: JobSpec, queue: Queue, priorities: Mapping[str, int]
) -> JobOutlook | None:
    """Return when a new job would be done in a hall, ``None`` if nobody can tell.

    Args:
        load: Load of the hall.
        spec: The job.
        queue: The job's queue.
        priorities: Priorities of all queues by name.
    """
    summary = load.usable_summary
    if summary is None:
        return None
    backlogs = {backlog.work_class: backlog for backlog in summary.backlogs}
    own = [backlogs.get(WorkClass.of(queue.name, step.demand.milli_cpu)) for step in spec.steps]
    durations_s = [
        # An estimate of 0 must not make the job look more urgent than others of its size.
        max(step.estimate_s, backlog.duration_s if backlog else 0.0)
        for step, backlog in zip(spec.steps, own, strict=True)
    ]
    work = sum(
        step.count * step.demand.milli_cpu * duration_s
        for step, duration_s in zip(spec.steps, durations_s, strict=True)
    )
    prior = [
        b for b in summary.backlogs if priorities.get(b.queue, queue.priority) < queue.priority
    ]
    waits_s = [
        _wait_s(backlog, work, prior)
        for step, backlog in zip(spec.steps, own, strict=True)
        if backlog and backlog.rate and not step.depends_on
    ]
    if not waits_s:
        return None
    path_s = max(spec.longest_paths_to(durations_s))
    return JobOutlook(
        load.hall,
        max(max(waits_s) - load.age_s, 0.0),
        path_s,
        queue.stretch * path_s + queue.target_s,
        load.age_s,
    )


def _wait_s(own: Backlog, work: float, prior: list[Backlog]) -> float:
    """Return the expected time until the tasks of a new job start, in seconds.

    Args:
        own: Backlog of the job's queue and size of task, whose rate is known.
        work: Work of the whole job. Jobs with less work go first.
        prior: Backlogs of queues with a higher priority, which go first as a whole.
    """
    ahead = min(own.work, own.jobs * work)
    known = [backlog for backlog in prior if backlog.rate]
    ahead_of_all = ahead + sum(backlog.work for backlog in known)
    rate_of_all = own.rate + sum(backlog.rate for backlog in known)
    return max(ahead / own.rate, ahead_of_all / rate_of_all)


def has_room(summary: HallSummary, spec: JobSpec, queue: Queue) -> bool:
    """Return whether a hall has a place now for a task of a job's first steps."""
    return any(_has_place(summary, step, queue.service) for step in _first_steps(spec))


def _has_place(summary: HallSummary, step: StepSpec, service: str) -> bool:
    # One number rules out the executors of most full halls, at a fraction of the cost.
    if step.best_effort:
        possible = any(row[1] >= step.demand.memory_mb for row in summary.free_by_executor)
    else:
        possible = any(row[0] >= step.demand.milli_cpu for row in summary.free_by_executor)
    need = TaskNeed.of(step, service, use_headroom=False).preempting()
    return possible and summary.slots(need, enough=1) > 0


def _first_steps(spec: JobSpec) -> Iterator[StepSpec]:
    return (step for step in spec.steps if not step.depends_on)
