"""Reports how much of its jobs an owner keeps in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard._periodic_report import PeriodicReport

if TYPE_CHECKING:
    from linkspan.shard._context import TenureContext


class OpenWork(PeriodicReport):
    """Gauges of a hall's open repetitions and tasks, and of the memory that its jobs take.

    Args:
        context: Components of the tenure.
    """

    def __init__(self, context: TenureContext) -> None:
        super().__init__(context)
        self._catalog = context.job_registry.catalog

    def report(self, now: float) -> None:
        """Set the gauges; see :class:`PeriodicReport`."""
        jobs = self._core.jobs.values()
        self._set(
            repetitions=sum(len(job.runs) for job in jobs),
            tasks=sum(job.open_tasks for job in jobs),
            job_bytes=self._catalog.memory.of_shard(self._core.shard),
        )

    def clear(self) -> None:
        """Set the gauges to 0."""
        self._set(repetitions=0, tasks=0, job_bytes=0)

    def _set(self, *, repetitions: int, tasks: int, job_bytes: int) -> None:
        self._metrics.set_count("open_repetitions", repetitions, hall=self._hall)
        self._metrics.set_count("open_tasks", tasks, hall=self._hall)
        self._metrics.set_count("job_memory_bytes", job_bytes, hall=self._hall)
