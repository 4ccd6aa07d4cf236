"""Refuses jobs: logs and counts why, and tells callers when to come back."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.events import Event
from linkspan.host._refusal_cause import RefusalCause
from linkspan.host._responses import RETRY_AFTER_S, oversized, unavailable, unstorable
from linkspan.host.admission.retry_times import retry_after_s

if TYPE_CHECKING:
    from aiohttp import web

    from linkspan.events import EventLog
    from linkspan.host.admission.job_outlook import JobOutlook
    from linkspan.host.admission.memory_limit import MemoryShortage
    from linkspan.host.admission.standing_admission import StandingShortage
    from linkspan.metrics import HostMetrics
    from linkspan.model.configuration import Queue


MEMORY_RETRY_AFTER_S = 10.0
"""Time after which a job may be submitted again that found no memory, in seconds: other jobs have
to finish before."""


class Refusals:
    """Refusals of jobs by a host. A refused job never runs.

    Args:
        log: Event log.
        metrics: Metrics of the host.
    """

    def __init__(self, log: EventLog, metrics: HostMetrics) -> None:
        self._log = log
        self._metrics = metrics

    def __repr__(self) -> str:
        return "Refusals()"

    def refuse(
        self, job_id: str, queue: Queue, cause: RefusalCause, deadline: float, details: str = ""
    ) -> web.Response:
        """Refuse a job that can't be stored now.

        Args:
            job_id: The job.
            queue: Its queue.
            cause: Cause of the refusal.
            deadline: Steady time until which the caller waits.
            details: Added to the cause.
        """
        reason = cause.value + details
        self._count(queue, cause)
        self._log.write(Event.JOB_REFUSED, job=job_id, queue=queue.name, reason=reason)
        delay_s = retry_after_s(job_id, RETRY_AFTER_S, deadline - steady())
        return unavailable(reason, retry_after_s=delay_s)

    def refuse_oversized(self, job_id: str, queue: Queue, step: int) -> web.Response:
        """Refuse a job that no executor is large enough for.

        Args:
            job_id: The job.
            queue: Its queue.
            step: Number of the step with the largest tasks.
        """
        reason = f"tasks of step {step} are {RefusalCause.OVERSIZED.value}"
        self._count(queue, RefusalCause.OVERSIZED)
        self._log.write(Event.JOB_REFUSED, job=job_id, queue=queue.name, reason=reason)
        return oversized(reason)

    def refuse_unstorable(self, job_id: str, queue: Queue, size: int) -> web.Response:
        """Refuse a job whose record the store would refuse each time.

        Args:
            job_id: The job.
            queue: Its queue.
            size: Size of the record, in bytes.
        """
        reason = f"{RefusalCause.UNSTORABLE.value}: {size} bytes"
        self._count(queue, RefusalCause.UNSTORABLE)
        self._log.write(Event.JOB_REFUSED, job=job_id, queue=queue.name, reason=reason)
        return unstorable(reason)

    def refuse_cancelled(self, job_id: str, queue: Queue, remaining_s: float) -> web.Response:
        """Refuse a job that was cancelled before it was known.

        Args:
            job_id: The job.
            queue: Its queue.
            remaining_s: Time for which its id stays cancelled, in seconds.
        """
        delay_s = max(ceil(remaining_s), 1)
        cause = RefusalCause.CANCELLED
        return self._refuse(Event.JOB_REFUSED, job_id, queue, cause, delay_s)

    def refuse_for_memory(
        self, job_id: str, queue: Queue, shortage: MemoryShortage, deadline: float
    ) -> web.Response:
        """Refuse a job that no owner of a hall that could run it may hold in memory.

        Args:
            job_id: The job.
            queue: Its queue.
            shortage: Why it finds no memory.
            deadline: Steady time until which the caller waits.
        """
        return self._refuse(
            Event.JOB_REFUSED,
            job_id,
            queue,
            RefusalCause.MEMORY,
            retry_after_s(job_id, MEMORY_RETRY_AFTER_S, deadline - steady()),
            **shortage._asdict(),
        )

    def refuse_hopeless(
        self, job_id: str, queue: Queue, outlook: JobOutlook, deadline: float
    ) -> web.Response:
        """Refuse a job that no hall could finish while it is of use.

        Args:
            job_id: The job.
            queue: Its queue.
            outlook: Its outlook where it would fit first.
            deadline: Steady time until which the caller waits.
        """
        return self._refuse(
            Event.JOB_HOPELESS,
            job_id,
            queue,
            RefusalCause.HOPELESS,
            retry_after_s(job_id, outlook.fits_after_s, deadline - steady()),
            best_hall=outlook.hall,
            ahead_s=round(outlook.wait_s, 2),
            path_s=round(outlook.path_s, 2),
            objective_s=round(outlook.objective_s, 2),
            summary_age_s=round(outlook.age_s, 2),
        )

    def refuse_standing(
        self,
        job_id: str,
        queue: Queue,
        shortage: StandingShortage,
        fits_after_s: float,
        deadline: float,
    ) -> web.Response:
        """Refuse a standing job that finds no room beside short work.

        Args:
            job_id: The job.
            queue: Its queue.
            shortage: Why it does not fit.
            fits_after_s: Time after which it is expected to fit, in seconds.
            deadline: Steady time until which the caller waits.
        """
        return self._refuse(
            Event.STANDING_REFUSED,
            job_id,
            queue,
            RefusalCause.NO_ROOM,
            retry_after_s(job_id, fits_after_s, deadline - steady()),
            milli_cpu=shortage.demand.milli_cpu,
            memory_mb=shortage.demand.memory_mb,
            tasks=shortage.tasks,
            room=shortage.room,
            halls={hall: cores._asdict() for hall, cores in shortage.cores.items()},
            fits_after_s=round(fits_after_s, 1),
        )

    def _refuse(
        self,
        event: Event,
        job_id: str,
        queue: Queue,
        cause: RefusalCause,
        delay_s: int,
        **why: object,
    ) -> web.Response:
        self._count(queue, cause)
        self._log.write(
            event,
            job=job_id,
            queue=queue.name,
            reason=cause.value,
            **why,
            retry_after_s=delay_s,
        )
        return unavailable(cause.value, retry_after_s=delay_s)

    def _count(self, queue: Queue, cause: RefusalCause) -> None:
        self._metrics.count("refusals", queue=queue.name, cause=cause.value)
