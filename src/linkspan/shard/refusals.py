"""Remembers the starts that an executor refused for lack of capacity, or never answered."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from linkspan.jobs.spec import Demand
from linkspan.shard.attempt import NEVER

if TYPE_CHECKING:
    from linkspan.jobs.spec import StepSpec

FIRST_AVOIDANCE_S = 0.5
"""Time for which other executors are preferred after a refusal; doubled with each further one. Most
refusals are brief: a run has ended and its capacity is not free yet."""

MAX_AVOIDANCE_S = 4.0
"""Limits that time: an executor's registration shows a reduced capacity within two heartbeats."""


@dataclass(slots=True)
class RecentRefusals:
    """Refusals of one executor since it last accepted as large a start.

    An executor may have less capacity than its registration and its reports show, or answer polls
    but no orders. A refusal, or a start that was given up without an answer, is the only evidence
    of that.

    Attributes:
        count: Number of refusals in a row.
        until: Steady time until which other executors are preferred.
        demand: The smallest resources that were refused.
    """

    count: int = 0
    until: float = NEVER
    demand: Demand = field(default_factory=Demand)

    def on_refused(self, spec: StepSpec, now: float) -> None:
        """Record that the start of a task of a step was refused, or given up without an answer."""
        demand = _reserved(spec)
        smaller = self.count == 0 or not self._covers_refused(demand)
        self.demand = demand if smaller else self.demand
        # The exponent is limited only to keep the numbers small.
        avoidance_s = FIRST_AVOIDANCE_S * (1 << min(self.count, 8))
        self.until = now + min(avoidance_s, MAX_AVOIDANCE_S)
        self.count += 1

    def on_accepted(self, spec: StepSpec) -> None:
        """Record that the start of a task of a step was accepted."""
        if self.count and self._covers_refused(_reserved(spec)):
            self.clear()

    def clear(self) -> None:
        """Forget all refusals, as the executor's capacity has changed."""
        self.count = 0
        self.until = NEVER

    def concern(self, spec: StepSpec, now: float) -> bool:
        """Return whether an executor without a refusal is preferred for a task of a step."""
        return now < self.until and self._covers_refused(_reserved(spec))

    def _covers_refused(self, demand: Demand) -> bool:
        """Whether a demand is at least as large as the refused one."""
        return demand.union(self.demand) == demand


def _reserved(spec: StepSpec) -> Demand:
    """Return the resources that an executor reserves for a task of a step."""
    return replace(spec.demand, milli_cpu=0) if spec.best_effort else spec.demand
