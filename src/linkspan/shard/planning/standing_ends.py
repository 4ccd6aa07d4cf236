"""Measures what standing tasks give back when their jobs end."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from typing import TYPE_CHECKING

from linkspan.jobs.spec import Demand

if TYPE_CHECKING:
    from linkspan.shard.step_run import StepRun

AVERAGING_S = 30.0
"""Time constant of the averages, in seconds."""


@dataclass(slots=True)
class _Released:
    """What standing tasks of one service gave back.

    Attributes:
        at: Steady time of the sums.
        amounts: Exponentially decaying sums of resources.
    """

    at: float
    amounts: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])

    def advance(self, now: float) -> None:
        decay = exp(-max(now - self.at, 0.0) / AVERAGING_S)
        self.amounts = [amount * decay for amount in self.amounts]
        self.at = now


class StandingEnds:
    """Resources that standing tasks of ended jobs give back in a hall, by service."""

    def __init__(self) -> None:
        self._by_service: dict[str, _Released] = {}

    def __repr__(self) -> str:
        return f"StandingEnds({len(self._by_service)} services)"

    def observe(self, step: StepRun, now: float) -> None:
        """Record that a run of a task has ended whose job has ended.

        Args:
            step: The task's step; others than standing ones with a reservation do not count.
            now: Steady time.
        """
        spec, job = step.spec, step.run.job
        if not spec.standing or spec.best_effort or not job.closing:
            return
        released = self._by_service.setdefault(job.service, _Released(now))
        released.advance(now)
        pairs = zip(released.amounts, spec.demand.amounts, strict=True)
        released.amounts = [total + amount for total, amount in pairs]

    def each_second(self, service: str, now: float) -> Demand:
        """Return what standing tasks of a service give back a second on average.

        Args:
            service: The service.
            now: Steady time.
        """
        released = self._by_service.get(service)
        if released is None:
            return Demand()
        released.advance(now)
        return Demand(*(int(amount / AVERAGING_S) for amount in released.amounts))
