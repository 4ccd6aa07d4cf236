"""Measures what short work asks for: tasks that end and reserve their cores."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from typing import TYPE_CHECKING

from linkspan.jobs.spec import Demand

if TYPE_CHECKING:
    from linkspan.shard.step_run import StepRun

AVERAGING_S = 20.0
"""Time constant of the averages, in seconds: a few bursts."""

LARGEST_KEPT_S = 600.0
"""Time for which the largest task counts at least, in seconds, and at most twice."""


@dataclass(slots=True)
class _Asked:
    """What short tasks of one service have asked for.

    Attributes:
        work: Exponentially decaying sums of expected work, by resource: amounts times seconds.
        at: Steady time of the sums.
        largest: Most of each resource that one task took in this period.
        largest_before: The same in the period before.
        period_since: Steady time at which this period began.
    """

    at: float
    period_since: float
    work: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    largest: Demand = field(default_factory=Demand)
    largest_before: Demand = field(default_factory=Demand)

    def advance(self, now: float) -> None:
        decay = exp(-max(now - self.at, 0.0) / AVERAGING_S)
        self.work = [amount * decay for amount in self.work]
        self.at = now
        if now - self.period_since >= LARGEST_KEPT_S:
            self.largest_before, self.largest = self.largest, Demand()
            self.period_since = now


class ShortDemand:
    """Mean and largest demand of the short tasks that come to a hall, by service."""

    def __init__(self) -> None:
        self._by_service: dict[str, _Asked] = {}

    def __repr__(self) -> str:
        return f"ShortDemand({len(self._by_service)} services)"

    def observe(self, step: StepRun, tasks: int, now: float) -> None:
        """Record that tasks of a step have become ready.

        Args:
            step: The step; others than short ones do not count.
            tasks: Number of these tasks.
            now: Steady time.
        """
        spec, job = step.spec, step.run.job
        if spec.standing or spec.best_effort:
            return
        asked = self._by_service.setdefault(job.service, _Asked(now, now))
        asked.advance(now)
        task_s = tasks * job.expected_durations_s[step.index]
        asked.work = [
            work + task_s * amount
            for work, amount in zip(asked.work, spec.demand.amounts, strict=True)
        ]
        asked.largest = asked.largest.union(spec.demand)

    def mean(self, service: str, now: float) -> Demand:
        """Return what short tasks of a service would use on average if none waited.

        Args:
            service: The service.
            now: Steady time.
        """
        asked = self._by_service.get(service)
        if asked is None:
            return Demand()
        asked.advance(now)
        return Demand(*(int(work / AVERAGING_S) for work in asked.work))

    def largest(self, service: str) -> Demand:
        """Return the most of each resource that one task of a service took that came lately."""
        asked = self._by_service.get(service)
        return asked.largest.union(asked.largest_before) if asked else Demand()
