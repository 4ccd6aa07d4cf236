"""Resources of an executor that attempts use, by kind of work."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.jobs.spec import Demand

if TYPE_CHECKING:
    from linkspan.jobs.spec import StepSpec


@dataclass(slots=True)
class ExecutorUsage:
    """Resources that the attempts on an executor use.

    Attributes:
        standing: Resources of standing tasks with a reservation.
        short: Resources of other tasks with a reservation.
        best_effort: Resources of best-effort tasks; their cores are a demand, no reservation.
        reserved_cpu: Thousandths of a core that are reserved.
        memory_mb: Megabytes of memory that are used.
        gpus: Accelerators that are used.
    """

    standing: Demand = field(default_factory=Demand)
    short: Demand = field(default_factory=Demand)
    best_effort: Demand = field(default_factory=Demand)
    # Sums that each plan reads for each executor.
    reserved_cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def add(self, spec: StepSpec, sign: int) -> None:
        """Add the resources of one task of a step, or subtract them.

        Args:
            spec: The step.
            sign: 1 to add, -1 to subtract.
        """
        demand = spec.demand
        if spec.best_effort:
            self.best_effort = self.best_effort.plus(demand, sign)
        elif spec.standing:
            self.standing = self.standing.plus(demand, sign)
        else:
            self.short = self.short.plus(demand, sign)
        if not spec.best_effort:
            self.reserved_cpu += sign * demand.milli_cpu
        self.memory_mb += sign * demand.memory_mb
        self.gpus += sign * demand.gpus
