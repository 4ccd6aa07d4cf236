"""Accepts jobs: stores each one before its caller is answered, or refuses it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import InvalidInput, ProducerFenced, StoreRefused
from linkspan.events import Event
from linkspan.host._oversized import oversized_step
from linkspan.host._responses import json_response, oversized, unavailable
from linkspan.jobs.records import Submitted

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from aiohttp import web

    from linkspan.events import EventLog
    from linkspan.host.caller_format import CallerFormat
    from linkspan.host.caller_waits import CallerWaits
    from linkspan.jobs.job_registry import JobRegistry
    from linkspan.jobs.spec import Demand, JobSpec
    from linkspan.metrics import HostMetrics
    from linkspan.model.configuration import Queue
    from linkspan.shard.operator.configuration import ConfigurationWatch


class Submissions:
    """Submissions of jobs to this host.

    Args:
        job_registry: Registry of all jobs.
        configuration: Watch that provides the configuration in force.
        form: Format of request bodies.
        waits: Waits of requests.
        choose_shard: Returns the shard for a new job.
        capacities: Returns the known capacities of a service's executors.
        incarnation: Incarnation of this process, part of the keys of its records.
        log: Event log.
        metrics: Metrics of the host.
    """

    def __init__(
        self,
        job_registry: JobRegistry,
        configuration: ConfigurationWatch,
        form: CallerFormat,
        waits: CallerWaits,
        *,
        choose_shard: Callable[[JobSpec, Queue], int],
        capacities: Callable[[str], Collection[Demand]],
        incarnation: str,
        log: EventLog,
        metrics: HostMetrics,
    ) -> None:
        self._job_registry = job_registry
        self._configuration = configuration
        self._form = form
        self._waits = waits
        self._choose_shard = choose_shard
        self._capacities = capacities
        self._incarnation = incarnation
        self._log = log
        self._metrics = metrics
        self._submitting: dict[str, asyncio.Future[int]] = {}

    def __repr__(self) -> str:
        return f"Submissions({self._incarnation!r}, {len(self._submitting)} being written)"

    async def submit(self, queue: Queue, job_id: str, body: bytes, deadline: float) -> web.Response:
        """Store a job and answer once it is durable, or refuse it.

        A refused job will not run. After a timeout the outcome is unknown.

        Args:
            queue: Queue of the job.
            job_id: Id that the caller chose.
            body: Body of the request.
            deadline: Steady time by which to answer.
        """
        if self._job_registry.knows(job_id):
            self._log.write(Event.JOB_ACCEPTED, job=job_id, queue=queue.name, known=True)
            return json_response(200, b"{}")
        try:
            spec = self._form.job(job_id, queue.name, body)
        except InvalidInput as error:
            return json_response(400, b'{"error":"invalid job"}', reason=str(error))
        write = self._submitting.get(job_id)
        if write is None:
            if not self._job_registry.follower.ready:
                # Another host may already have accepted the job for another hall.
                return self.refuse(job_id, queue, "job records not read yet")
            if not self._job_registry.accepts_writes:
                return self.refuse(job_id, queue, "store is away")
            step = oversized_step(spec, self._capacities(queue.service))
            if step is not None:
                return self._refuse_oversized(job_id, queue, step)
            write = self._start_write(spec, queue)
        return await self._await_write(write, job_id, queue, deadline)

    def _start_write(self, spec: JobSpec, queue: Queue) -> asyncio.Future[int]:
        shard = self._choose_shard(spec, queue)
        version = self._configuration_version(queue)
        record = Submitted(spec, shard, time.time(), self._incarnation, queue.terms, version)
        write = self._job_registry.write([record], retry_refused=False)
        self._submitting[spec.job_id] = write
        write.add_done_callback(lambda done: self._on_written(spec.job_id, done))
        return write

    def _configuration_version(self, queue: Queue) -> int | None:
        """Return the version of the current configuration, ``None`` if the queue has changed."""
        current = self._configuration.current
        unchanged = current and current.queues.get(queue.name) == queue
        return current.version if current and unchanged else None

    def _on_written(self, job_id: str, done: asyncio.Future[int]) -> None:
        """Remember a written job at once, so that this host does not write it again.

        A second submission under the same key would hide the first one, which may name another
        shard, from hosts that start later.
        """
        self._submitting.pop(job_id, None)
        if not done.cancelled() and done.exception() is None:
            self._job_registry.note_accepted(job_id, done.result())

    async def _await_write(
        self, write: asyncio.Future[int], job_id: str, queue: Queue, deadline: float
    ) -> web.Response:
        started_at = steady()
        try:
            async with self._waits.until(deadline):
                offset = await asyncio.shield(write)
        except StoreRefused as error:
            return self.refuse(job_id, queue, f"store refused with {error.status}")
        except ProducerFenced:
            return self.refuse(job_id, queue, "this host's writer was replaced")
        except TimeoutError:
            self._log.write(
                Event.JOB_IN_DOUBT,
                job=job_id,
                queue=queue.name,
                waited_s=round(steady() - started_at, 3),
            )
            return json_response(504, b'{"error":"not known yet whether the job is kept"}')
        self._metrics.observe("accept", steady() - started_at)
        self._log.write(
            Event.JOB_ACCEPTED,
            job=job_id,
            queue=queue.name,
            offset=offset,
            waited_s=round(steady() - started_at, 3),
            version=self._configuration.current and self._configuration.current.version,
        )
        return json_response(200, b"{}")

    def refuse(self, job_id: str, queue: Queue, reason: str) -> web.Response:
        """Log and return the refusal of a job, which then never runs."""
        self._log.write(Event.JOB_REFUSED, job=job_id, queue=queue.name, reason=reason)
        return unavailable(reason)

    def _refuse_oversized(self, job_id: str, queue: Queue, step: int) -> web.Response:
        reason = f"tasks of step {step} are larger than any executor of the service"
        self._log.write(Event.JOB_REFUSED, job=job_id, queue=queue.name, reason=reason)
        return oversized(reason)
