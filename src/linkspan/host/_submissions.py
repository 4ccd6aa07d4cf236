"""Accepts jobs: stores each one before its caller is answered, or refuses it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import (
    InvalidInput,
    ProducerFenced,
    StoreRefused,
    StoreUnanswered,
    UnstorableJob,
)
from linkspan.events import Event
from linkspan.host._job_decoder import JobDecoder
from linkspan.host._refusal_cause import RefusalCause
from linkspan.host._responses import json_response
from linkspan.host.admission.oversized import oversized_step
from linkspan.host.caller_waits import MIN_WAIT_S
from linkspan.jobs.records import Submitted

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from aiohttp import web

    from linkspan.host._caller_context import CallerContext
    from linkspan.host.admission.admission import Admission
    from linkspan.host.admission.memory_limit import MemoryLimit
    from linkspan.host.admission.standing_reservations import StandingReservations
    from linkspan.jobs.spec import Demand, JobSpec
    from linkspan.model.configuration import Queue

FRESH_READ_WAIT_S = 0.25
"""Limits the read of the job records before a refusal for the load, in seconds. A refusal
is to come at once."""

LATE_WRITE_S = 10.0
"""Time after a failure of this host's calls for job records in which no job is refused for the
load, in seconds. Submissions that got no answer elsewhere may be carried out seconds later."""

MAX_SUBMISSION_AGE_S = 60.0
"""Time for which a submission is sent to the store, in seconds. Its caller has left long before.
Early cancels and final records are kept for longer."""


class Submissions:
    """Submissions of jobs to this host.

    Args:
        context: Dependencies shared by the components that serve callers.
        choose_shard: Returns the shard for a new job.
        memory_limit: Limits the jobs of each hall by their memory.
        admission: Decides which jobs to refuse for the load.
        reservations: What standing jobs have reserved lately.
        capacities: Returns the known capacities of a service's executors.
        incarnation: Incarnation of this process, part of the keys of its records.
        max_record_bytes: Maximum size of a record in the store.
    """

    def __init__(
        self,
        context: CallerContext,
        *,
        choose_shard: Callable[[JobSpec, Queue], int],
        memory_limit: MemoryLimit,
        admission: Admission,
        reservations: StandingReservations,
        capacities: Callable[[str], Collection[Demand]],
        incarnation: str,
        max_record_bytes: int = 262_144,
    ) -> None:
        self._job_registry = context.job_registry
        self._early_cancels = context.job_registry.catalog.early_cancels
        self._configuration = context.configuration
        self._decoder = JobDecoder(context.form, context.waits, max_record_bytes)
        self._waits = context.waits
        self._refusals = context.refusals
        self._log = context.log
        self._metrics = context.metrics
        self._choose_shard = choose_shard
        self._memory_limit = memory_limit
        self._admission = admission
        self._reservations = reservations
        self._capacities = capacities
        self._incarnation = incarnation
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
            return self._respond_known(job_id, queue)
        if job_id in self._early_cancels:
            return self._refuse_cancelled(job_id, queue)
        try:
            spec = await self._decoder.decode(job_id, queue, body, deadline)
        except InvalidInput as error:
            return json_response(400, b'{"error":"invalid job"}', reason=str(error))
        except UnstorableJob as error:
            return self._refusals.refuse_unstorable(job_id, queue, error.size)
        except TimeoutError:
            return self._refusals.refuse(job_id, queue, RefusalCause.UNREAD, deadline)
        if job_id not in self._submitting:
            refusal = self._refusal_of(spec, queue, deadline)
            if refusal:
                return refusal
            refusal = await self._refusal_for_load(spec, queue, deadline)
            if refusal:
                return refusal
            # The read may have found the job, or another try of it has begun meanwhile.
            if self._job_registry.knows(job_id):
                return self._respond_known(job_id, queue)
            if job_id in self._early_cancels:
                return self._refuse_cancelled(job_id, queue)
        write = self._submitting.get(job_id) or self._start_write(spec, queue)
        return await self._await_write(write, job_id, queue, deadline)

    def _refuse_cancelled(self, job_id: str, queue: Queue) -> web.Response:
        remaining_s = self._early_cancels.remaining_s(job_id, time.time())
        return self._refusals.refuse_cancelled(job_id, queue, remaining_s)

    def _respond_known(self, job_id: str, queue: Queue) -> web.Response:
        self._log.write(Event.JOB_ACCEPTED, job=job_id, queue=queue.name, known=True)
        return json_response(200, b"{}")

    def _refusal_of(self, spec: JobSpec, queue: Queue, deadline: float) -> web.Response | None:
        """Return the refusal of a job that cannot be stored or run, ``None`` if it can be."""
        if not self._job_registry.follower.ready:
            # Another host may already have accepted the job for another hall.
            return self._refusals.refuse(
                spec.job_id, queue, RefusalCause.RECORDS_NOT_READ, deadline
            )
        if not self._job_registry.accepts_writes:
            return self._refusals.refuse(spec.job_id, queue, RefusalCause.STORE_AWAY, deadline)
        step = oversized_step(spec, self._capacities(queue.service))
        return None if step is None else self._refusals.refuse_oversized(spec.job_id, queue, step)

    async def _refusal_for_load(
        self, spec: JobSpec, queue: Queue, deadline: float
    ) -> web.Response | None:
        """Return the refusal of a job that no hall could serve, ``None`` to accept it."""
        memory = self._admission.memory_shortage(spec, queue)
        if memory and await self._certainly_new(spec.job_id, deadline):
            return self._refusals.refuse_for_memory(spec.job_id, queue, memory, deadline)
        if spec.standing and not spec.schedule:
            # The read also tells which standing jobs other hosts have accepted meanwhile.
            began = steady()
            new = await self._certainly_new(spec.job_id, deadline)
            self._reservations.on_read(steady() - began)
            shortage = self._admission.standing_shortage(spec, queue) if new else None
            if shortage is None:
                return None
            fits_after_s = self._admission.fits_after_s(shortage, queue)
            return self._refusals.refuse_standing(
                spec.job_id, queue, shortage, fits_after_s, deadline
            )
        outlook = self._admission.reason_to_refuse(spec, queue, self._priorities())
        if outlook and await self._certainly_new(spec.job_id, deadline):
            return self._refusals.refuse_hopeless(spec.job_id, queue, outlook, deadline)
        return None

    def _priorities(self) -> dict[str, int]:
        """Return the priorities of all queues."""
        configuration = self._configuration.current
        queues = configuration.queues if configuration else {}
        return {name: queue.priority for name, queue in queues.items()}

    async def _certainly_new(self, job_id: str, deadline: float) -> bool:
        """Return whether no earlier try of a job was stored, by all that can be known in time.

        Only then is its refusal true. An earlier try may have gone to another host and got no
        answer, so that its record is found only by reading up to the present end.
        """
        now = steady()
        if now - self._job_registry.disturbed_at < LATE_WRITE_S:
            return False
        wait_s = max(min(FRESH_READ_WAIT_S, (deadline - now) / 2), MIN_WAIT_S)
        fresh = await self._job_registry.refresh(max_age_s=0.0, timeout_s=wait_s)
        return fresh and not (self._job_registry.knows(job_id) or job_id in self._submitting)

    def _start_write(self, spec: JobSpec, queue: Queue) -> asyncio.Future[int]:
        shard = self._choose_shard(spec, queue)
        version = self._configuration_version(queue)
        record = Submitted(spec, shard, time.time(), self._incarnation, queue.terms, version)
        write = self._job_registry.write(
            [record], retry_refused=False, max_age_s=MAX_SUBMISSION_AGE_S
        )
        self._submitting[spec.job_id] = write
        write.add_done_callback(lambda done: self._on_written(spec.job_id, done))
        self._reservations.on_accept(record)
        self._memory_limit.on_accept(spec, shard)
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
        elif not done.cancelled() and isinstance(done.exception(), StoreRefused | StoreUnanswered):
            self._reservations.on_not_stored(job_id)
            self._memory_limit.on_not_stored(job_id)

    async def _await_write(
        self, write: asyncio.Future[int], job_id: str, queue: Queue, deadline: float
    ) -> web.Response:
        started_at = steady()
        try:
            async with self._waits.until(deadline):
                offset = await asyncio.shield(write)
        except StoreRefused as error:
            return self._refusals.refuse(
                job_id, queue, RefusalCause.STORE_REFUSED, deadline, f" with {error.status}"
            )
        except ProducerFenced:
            return self._refusals.refuse(job_id, queue, RefusalCause.WRITER_REPLACED, deadline)
        except (TimeoutError, StoreUnanswered):
            self._log.write(
                Event.JOB_IN_DOUBT,
                job=job_id,
                queue=queue.name,
                waited_s=round(steady() - started_at, 3),
            )
            return json_response(504, b'{"error":"not known yet whether the job is kept"}')
        if job_id in self._early_cancels:
            return self._refuse_cancelled(job_id, queue)
        self._metrics.observe("accept", steady() - started_at)
        self._reservations.on_stored(steady() - started_at)
        self._log.write(
            Event.JOB_ACCEPTED,
            job=job_id,
            queue=queue.name,
            offset=offset,
            waited_s=round(steady() - started_at, 3),
            version=self._configuration.current and self._configuration.current.version,
        )
        return json_response(200, b"{}")
