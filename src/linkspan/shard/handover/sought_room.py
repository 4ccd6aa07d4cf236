"""Room that standing tasks of a hall wait for, as the hall's summary tells it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from linkspan._typed import parse_int, parse_text
from linkspan.jobs.spec import Demand
from linkspan.shard.planning.task_need import TaskNeed

if TYPE_CHECKING:
    from linkspan.shard.step_run import StepRun


class SoughtRoom(NamedTuple):
    """Room for one standing task that waits.

    Attributes:
        service: Service whose executors run the task.
        label: Label that the executor must have; empty for any executor.
        milli_cpu: Thousandths of a core.
        memory_mb: Megabytes of memory.
        gpus: Number of accelerators.
    """

    service: str
    label: str
    milli_cpu: int
    memory_mb: int
    gpus: int

    @classmethod
    def of(cls, step: StepRun) -> SoughtRoom:
        """Return the room that one task of a step needs."""
        spec = step.spec
        return cls(step.run.job.service, spec.label, *spec.demand.amounts)

    @property
    def need(self) -> TaskNeed:
        """Need of the task, which may use the headroom for short ones after a while."""
        return TaskNeed(
            self.service,
            self.label,
            Demand(self.milli_cpu, self.memory_mb, self.gpus),
            leaves_headroom=False,
            max_per_executor=0,
            reserves_cpu=True,
            standing=True,
        )

    @classmethod
    def decode(cls, row: list[Any]) -> SoughtRoom:
        """Return the room in a record's fields.

        Raises:
            ValueError, TypeError: A field is not valid.
        """
        service, label, milli_cpu, memory_mb, gpus, *_ = row
        return cls(
            parse_text(service),
            parse_text(label),
            parse_int(milli_cpu),
            parse_int(memory_mb),
            parse_int(gpus),
        )
