"""Free resources of one executor, as the summary of its hall tells them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from linkspan.shard.planning.task_need import default_headroom

if TYPE_CHECKING:
    from linkspan.jobs.spec import Demand
    from linkspan.shard.messages import ExecutorKind


@dataclass(frozen=True, slots=True)
class ExecutorRoom:
    """Free resources of one executor of another hall.

    Attributes:
        total_cpu: Thousandths of a core that the executor has.
        free_cpu: Thousandths of a core that are not reserved.
        free_memory: Megabytes of memory that no attempt uses.
        free_gpus: Accelerators that no attempt uses.
        kind: Kind of the executor, ``None`` if its hall does not publish it.
        best_effort_memory: Megabytes of memory that best-effort attempts use and would give back,
            without what is set aside.
        kept: Free resources that standing tasks leave to short ones, ``None`` if its hall does not
            publish them.
    """

    total_cpu: int
    free_cpu: int
    free_memory: int
    free_gpus: int = 0
    kind: ExecutorKind | None = None
    best_effort_memory: int = 0
    kept: Demand | None = None

    @property
    def headroom(self) -> Demand:
        """Free resources that standing tasks leave to short ones."""
        return default_headroom(self.total_cpu) if self.kept is None else self.kept

    def runs(self, service: str, label: str) -> bool:
        """Return whether it runs tasks of a service that require a label.

        An executor of unknown kind counts as one that does: its hall returns what it cannot run.
        """
        return self.kind is None or self.kind.runs(service, label)

    def without(self, demand: Demand, count: int) -> ExecutorRoom:
        """Return what is left beside a number of further tasks."""
        return replace(
            self,
            free_cpu=self.free_cpu - count * demand.milli_cpu,
            free_memory=self.free_memory - count * demand.memory_mb,
            free_gpus=self.free_gpus - count * demand.gpus,
        )
