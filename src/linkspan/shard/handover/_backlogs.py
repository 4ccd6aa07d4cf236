"""Sums up the work that waits in a hall, by queue and size of its tasks."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from linkspan._typed import MAX_EXACT_INT
from linkspan.shard.handover.backlog import Backlog, WorkClass
from linkspan.shard.planning.urgency import Timeliness, timeliness_of

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.planning._drain_rates import DrainRates
    from linkspan.shard.step_run import StepRun

MAX_BACKLOGS = 32
"""Limits the published backlogs, those with the most work, as each takes some 50 bytes of the
record. The work of the others counts as not waiting."""

MAX_JOB_FACTOR = 4.0
"""Multiple of the median job's waiting work with which a job counts at the most. Within a queue the
least remaining work goes first, so other jobs do not wait for one with an estimate of days."""


class WaitingStep(NamedTuple):
    """A step with tasks that wait for a start.

    Attributes:
        step: The step.
        milli_cpu: Thousandths of a core that these tasks take together.
    """

    step: StepRun
    milli_cpu: int


@dataclass(slots=True)
class _Waiting:
    """Waiting tasks of one class whose jobs can still be of use.

    Attributes:
        milli_cpu: Thousandths of a core that they take together.
        work_by_run: Their expected work by repetition, in thousandths of a core times seconds.
    """

    milli_cpu: int = 0
    work_by_run: dict[JobRun, float] = field(default_factory=dict)

    def add(self, step: StepRun, milli_cpu: int) -> None:
        run = step.run
        work = milli_cpu * run.job.expected_durations_s[step.index]
        self.milli_cpu += milli_cpu
        self.work_by_run[run] = self.work_by_run.get(run, 0.0) + work

    def work(self) -> float:
        """Return the expected work, with a limited part of each job."""
        ordered = sorted(self.work_by_run.values())
        limit = MAX_JOB_FACTOR * ordered[(len(ordered) - 1) // 2]
        return min(sum(min(work, limit) for work in ordered), MAX_EXACT_INT)


def waiting_steps(core: ShardState) -> list[WaitingStep]:
    """Return the steps with waiting tasks; the cost is linear in the tasks of ready steps."""
    found = []
    for step in core.ready:
        tasks = sum(task.pending for task in step.tasks)
        if tasks:
            found.append(WaitingStep(step, tasks * step.spec.demand.milli_cpu))
    return found


def backlogs_of(
    waiting: list[WaitingStep], drain_rates: DrainRates, now: float, wall: float
) -> tuple[Backlog, ...]:
    """Return the backlogs of a hall, and record in its drain rates which work waits.

    Args:
        waiting: The steps with waiting tasks.
        drain_rates: Drain rates of the hall.
        now: Steady time.
        wall: Time of day, in seconds since 1970.
    """
    by_class: defaultdict[WorkClass, _Waiting] = defaultdict(_Waiting)
    for step, milli_cpu in waiting:
        spec = step.spec
        if spec.standing:
            continue
        useful = by_class[WorkClass.of(step.run.job.spec.queue, spec.demand.milli_cpu)]
        if timeliness_of(step, wall) is not Timeliness.NONE:
            useful.add(step, milli_cpu)
    drain_rates.observe(by_class, now)
    found = [_backlog(c, w, drain_rates, now) for c, w in by_class.items() if w.work_by_run]
    found.sort(key=lambda backlog: -backlog.work)
    return tuple(found[:MAX_BACKLOGS])


def _backlog(
    work_class: WorkClass, useful: _Waiting, drain_rates: DrainRates, now: float
) -> Backlog:
    work = useful.work()
    duration_s = work / max(useful.milli_cpu, 1)
    return Backlog(
        *work_class,
        work=int(work),
        rate=drain_rates.of(work_class, duration_s, now),
        jobs=len(useful.work_by_run),
        duration_s=duration_s,
    )
