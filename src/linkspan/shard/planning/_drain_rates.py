"""Measures how fast the work that waits in a hall drains, by queue and size of its tasks."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import TYPE_CHECKING

from linkspan.shard.handover.backlog import WorkClass

if TYPE_CHECKING:
    from collections.abc import Collection

    from linkspan.shard.attempt import Attempt
    from linkspan.shard.task import Task

AVERAGING_S = 8.0
"""Time constant of the averages, in seconds: long enough for wide steps, whose tasks end together,
and short enough to follow the loss of executors."""

MIN_OBSERVED_S = 4.0
"""Time for which a class must have waited before its rate counts as known, in seconds, on top of
the duration of its tasks: those that started before ended at the rate of arrival, not of the
hall."""

MAX_IDLE_S = 2.0
"""Time without waiting tasks after which a rate is forgotten, in seconds: while nothing waits it
tells of the arrivals, not of what the hall can complete."""

MAX_WITHOUT_END_S = 4.0
"""Time without a completed task after which a rate is unknown, in seconds, on top of the duration
of the tasks: the hall is then cut off from its executors, or serves other work only, and nobody can
tell when it goes on."""


@dataclass(slots=True)
class _Rate:
    """Exponentially decaying sum of completed work.

    Attributes:
        since: Steady time since which tasks have been waiting.
        waited_at: Steady time at which tasks were last seen to wait.
        updated_at: Steady time of the sum, when a task was last completed.
        work: Sum, in thousandths of a core times seconds.
    """

    since: float
    waited_at: float
    updated_at: float
    work: float = 0.0

    def add(self, work: float, now: float) -> None:
        self.work = self._sum_at(now) + work
        self.updated_at = now

    def per_second(self, now: float) -> float:
        observed_s = now - self.since
        return self._sum_at(now) / (AVERAGING_S * (1.0 - exp(-observed_s / AVERAGING_S)))

    def _sum_at(self, now: float) -> float:
        return self.work * exp(-max(now - self.updated_at, 0.0) / AVERAGING_S)


class DrainRates:
    """Work that a hall completes a second, for each class of which tasks wait.

    Completed work counts with its expected duration, as the work that waits does, so that errors of
    the estimates cancel out.
    """

    def __init__(self) -> None:
        self._rates: dict[WorkClass, _Rate] = {}

    def __repr__(self) -> str:
        return f"DrainRates({len(self._rates)} classes)"

    def observe(self, waiting: Collection[WorkClass], now: float) -> None:
        """Record of which classes tasks wait at a steady time."""
        for work_class in waiting:
            rate = self._rates.setdefault(work_class, _Rate(now, now, now))
            rate.waited_at = now
        limit = now - MAX_IDLE_S
        for work_class in [c for c, rate in self._rates.items() if rate.waited_at < limit]:
            del self._rates[work_class]

    def record_done(self, task: Task, attempt: Attempt | None, now: float) -> None:
        """Record that a task was completed, and with it its gang.

        Args:
            task: The task.
            attempt: The run that completed it, ``None`` if that is unknown.
            now: Steady time.
        """
        step = task.step
        demand = step.spec.demand
        rate = self._rates.get(WorkClass.of(step.run.job.spec.queue, demand.milli_cpu))
        if rate is None or step.spec.standing:
            return
        duration_s = step.run.job.expected_durations_s[step.index]
        if attempt:
            # An estimate of days must not count as days of work that were done in a moment.
            duration_s = min(duration_s, attempt.full_pace_s_at(now))
        tasks = step.spec.count if step.spec.gang else 1
        rate.add(tasks * demand.milli_cpu * duration_s, now)

    def of(self, work_class: WorkClass, duration_s: float, now: float) -> float:
        """Return the completed work a second, in thousandths of a core; 0 while it is unknown.

        Args:
            work_class: The class.
            duration_s: Expected duration of its tasks, in seconds.
            now: Steady time.
        """
        rate = self._rates.get(work_class)
        if rate is None or now - rate.since < MIN_OBSERVED_S + duration_s:
            return 0.0
        if now - rate.updated_at > MAX_WITHOUT_END_S + duration_s:
            return 0.0
        return rate.per_second(now)
