"""Callers' side of a host: submit, ask, cancel, count."""

from __future__ import annotations

import asyncio
import math
import re
import time
from typing import TYPE_CHECKING, Protocol

from aiohttp import web

from linkspan.clock import steady
from linkspan.errors import InvalidInput, ProducerFenced, StoreRefused
from linkspan.events import Event
from linkspan.host._impossible import oversized_step
from linkspan.host.caller_waits import MIN_WAIT_S, CallerWaits
from linkspan.jobs.job_registry import MAX_REFRESH_WAIT_S
from linkspan.jobs.records import Cancelled, JobState, Submitted

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from linkspan.events import EventLog
    from linkspan.jobs.job_registry import JobRegistry
    from linkspan.jobs.spec import Demand, JobSpec
    from linkspan.metrics import HostMetrics
    from linkspan.model.configuration import Queue
    from linkspan.shard.registry import ConfigurationWatch

_JOB_ID = re.compile(r"[0-9a-f]{16}")

RETRY_AFTER_S = 1
"""Time after which a caller that was refused may come back: outages of the store
last seconds, and a host that lost it alone is out of the balancer by then."""

OVERSIZED_RETRY_AFTER_S = 60
"""Time after which a caller may come back with a job that no executor is large enough
for: a larger one would have to be added first, which takes a minute and more."""

PROMPT_BODY_S = 1.0
"""Time after which a body that is still on its way holds up no drain. The largest that is
taken by default (262,144 bytes) needs 0.42 s over a link of 5 Mbit/s."""


ASK_SHARE = 0.5
"""Share of a caller's time for which an answer waits for the job records to be read; in
the rest the caller can ask another host, which may have read them."""

ASK_LIMIT_S = 2.0
"""Longest such wait, whatever the caller grants: a store that is well takes 20 ms."""

COUNT_AGE_S = 3.0
"""Age up to which a count of waiting jobs is given: the time in which an accepted job is
to be seen on every host."""


class CallerFormat(Protocol):
    """Form of what callers send and get."""

    timeout_header: str

    def job(self, job_id: str, queue: str, body: bytes) -> JobSpec:
        """Return the job of a body.

        Raises:
            InvalidInput: It is no valid job.
        """

    def state(self, state: JobState) -> bytes:
        """Return the answer to a question for a job's state."""

    def waiting(self, count: int) -> bytes:
        """Return the answer to a question for a queue's waiting jobs."""


class Front:
    """Answers callers.

    Args:
        job_registry: The jobs.
        configuration: The configuration in force.
        form: Form of bodies.
        choose_shard: Names the shard for a new job.
        capacities: Returns the sizes of a service's executors seen so far.
        incarnation: Life of this process, a part of its records' keys.
        log: Where events go.
        metrics: Where counts and times go.
    """

    def __init__(
        self,
        job_registry: JobRegistry,
        configuration: ConfigurationWatch,
        form: CallerFormat,
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
        self._choose_shard = choose_shard
        self._capacities = capacities
        self._incarnation = incarnation
        self._log = log
        self._metrics = metrics
        self._submitting: dict[str, asyncio.Future[int]] = {}
        self._in_flight = 0
        self._receiving: list[float] = []
        self._waits = CallerWaits()

    def __repr__(self) -> str:
        return f"Front({self._incarnation!r}, in_flight={self._in_flight})"

    @property
    def in_flight(self) -> int:
        """Requests that are not answered yet, without those whose body is long in coming."""
        limit = steady() - PROMPT_BODY_S
        return self._in_flight - sum(began < limit for began in self._receiving)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self._in_flight += 1
        try:
            answer = await self._answer(request)
        finally:
            self._in_flight -= 1
        self._metrics.count("calls", kind=request.method, status=str(answer.status))
        if self._waits.draining:
            answer.force_close()
        return answer

    def drain(self, until: float) -> None:
        """Answer all that waits before a steady time, and have callers go elsewhere."""
        self._waits.drain(until)

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        configuration = self._configuration.current
        if configuration is None:
            return _unavailable("no configuration yet")
        queue = configuration.find(_host_name(request), request.path)
        if queue is None:
            return _json(404, b'{"error":"no such queue"}')
        job_id = request.path[len(queue.prefix) :]
        if request.method == "GET" and not job_id:
            return await self.count(queue, self._deadline(request, queue))
        if not _JOB_ID.fullmatch(job_id):
            return _json(404, b'{"error":"a job id is 16 hex digits"}')
        deadline = self._deadline(request, queue)
        if request.method == "POST":
            body = await self._receive(request, deadline)
            if body is None:
                return self._give_up_half(job_id, queue)
            return await self.submit(queue, job_id, body, deadline)
        if request.method == "GET":
            return await self.show(job_id, deadline)
        if request.method == "DELETE":
            return await self.cancel(job_id, deadline)
        return _json(405, b'{"error":"use GET, POST or DELETE"}')

    async def _receive(self, request: web.BaseRequest, deadline: float) -> bytes | None:
        """Return a request's body, ``None`` if it is not there whole by a steady time.

        A connection may go silent for good in the middle of it.
        """
        began = steady()
        self._receiving.append(began)
        try:
            async with self._waits.until(deadline):
                return await request.read()
        except TimeoutError:
            return None
        finally:
            self._receiving.remove(began)

    def _give_up_half(self, job_id: str, queue: Queue) -> web.Response:
        answer = self._refuse(job_id, queue, "request did not arrive whole")
        answer.force_close()
        return answer

    def _deadline(self, request: web.BaseRequest, queue: Queue) -> float:
        """Return the steady time by which an answer is to be given."""
        given = request.headers.get(self._form.timeout_header, "")
        return self._waits.deadline(int(given) / 1000 if given.isdecimal() else queue.timeout_s)

    async def submit(self, queue: Queue, job_id: str, body: bytes, deadline: float) -> web.Response:
        """Keep a job and answer once it is kept, or say that it will not run.

        Args:
            queue: The job's queue.
            job_id: The caller's id of the job.
            body: The job as sent.
            deadline: Steady time by which the caller wants an answer.
        """
        if self._job_registry.knows(job_id):
            self._log.write(Event.JOB_ACCEPTED, job=job_id, queue=queue.name, known=True)
            return _json(200, b"{}")
        try:
            spec = self._form.job(job_id, queue.name, body)
        except InvalidInput as error:
            return _json(400, b'{"error":"invalid job"}', reason=str(error))
        write = self._submitting.get(job_id)
        if write is None:
            if not self._job_registry.follower.ready:
                # Another host may have accepted it, for another hall.
                return self._refuse(job_id, queue, "job records not read yet")
            if not self._job_registry.accepts_writes:
                return self._refuse(job_id, queue, "store is away")
            oversized = oversized_step(spec, self._capacities(queue.service))
            if oversized is not None:
                return self._refuse_oversized(job_id, queue, oversized)
            write = self._start_write(spec, queue)
        return await self._await_write(write, job_id, queue, deadline)

    def _start_write(self, spec: JobSpec, queue: Queue) -> asyncio.Future[int]:
        shard = self._choose_shard(spec, queue)
        version = self._version_of(queue)
        record = Submitted(spec, shard, time.time(), self._incarnation, queue.terms, version)
        write = self._job_registry.write([record], retry_refused=False)
        self._submitting[spec.job_id] = write
        write.add_done_callback(lambda done: self._on_written(spec.job_id, done))
        return write

    def _version_of(self, queue: Queue) -> int | None:
        """Return the version of the configuration that a queue is of, if it still is in force."""
        current = self._configuration.current
        known = current and current.queues.get(queue.name) == queue
        return current.version if current and known else None

    def _on_written(self, job_id: str, done: asyncio.Future[int]) -> None:
        """Know of an own record at once, so that the job is not written again.

        A second record under the same key would hide the first, which may name another
        shard, from hosts that start later.
        """
        self._submitting.pop(job_id, None)
        if not done.cancelled() and done.exception() is None:
            self._job_registry.note_accepted(job_id, done.result())

    async def _await_write(
        self, write: asyncio.Future[int], job_id: str, queue: Queue, deadline: float
    ) -> web.Response:
        began = steady()
        try:
            async with self._waits.until(deadline):
                offset = await asyncio.shield(write)
        except StoreRefused as error:
            return self._refuse(job_id, queue, f"store refused with {error.status}")
        except ProducerFenced:
            return self._refuse(job_id, queue, "this host's writer was replaced")
        except TimeoutError:
            self._log.write(
                Event.JOB_IN_DOUBT,
                job=job_id,
                queue=queue.name,
                waited_s=round(steady() - began, 3),
            )
            return _json(504, b'{"error":"not known yet whether the job is kept"}')
        self._metrics.observe("accept", steady() - began)
        self._log.write(
            Event.JOB_ACCEPTED,
            job=job_id,
            queue=queue.name,
            offset=offset,
            waited_s=round(steady() - began, 3),
            version=self._configuration.current and self._configuration.current.version,
        )
        return _json(200, b"{}")

    def _refuse(self, job_id: str, queue: Queue, reason: str) -> web.Response:
        self._log.write(Event.JOB_REFUSED, job=job_id, queue=queue.name, reason=reason)
        return _unavailable(reason)

    def _refuse_oversized(self, job_id: str, queue: Queue, step: int) -> web.Response:
        reason = f"tasks of step {step} are larger than any executor of the service"
        self._log.write(Event.JOB_REFUSED, job=job_id, queue=queue.name, reason=reason)
        answer = _json(429, b'{"error":"not taken, it will not run"}', reason=reason)
        answer.headers["Retry-After"] = str(OVERSIZED_RETRY_AFTER_S)
        return answer

    async def show(self, job_id: str, deadline: float = math.inf) -> web.Response:
        """Answer a question for a job's state.

        Args:
            job_id: The job.
            deadline: Steady time by which the caller wants an answer.
        """
        entry, fresh = await self._job_registry.look_up(job_id, limit_s=_wait_until(deadline))
        if entry:
            return _json(200, self._form.state(entry.state))
        if not fresh:
            self._log.write(Event.JOB_ASKED, job=job_id, state="not known, records not read")
            return _unavailable("job records not read to their end")
        self._log.write(Event.JOB_ASKED, job=job_id, state="no such job")
        return _json(410, b'{"error":"no such job"}')

    async def cancel(self, job_id: str, deadline: float) -> web.Response:
        """Cancel a job and answer once that is kept."""
        entry, fresh = await self._job_registry.look_up(job_id, limit_s=_wait_until(deadline))
        if entry is None:
            return _json(410, b"{}") if fresh else _unavailable("job records not read to their end")
        if entry.state.final:
            return _json(200, b"{}")
        write = self._job_registry.write([Cancelled(job_id)])
        try:
            async with self._waits.until(max(deadline, steady() + MIN_WAIT_S)):
                await asyncio.shield(write)
        except TimeoutError:
            self._log.write(Event.JOB_IN_DOUBT, job=job_id, call="cancel")
            return _json(504, b'{"error":"not known yet whether the job is cancelled"}')
        except (StoreRefused, ProducerFenced):
            return _unavailable("store is away")
        self._log.write(Event.JOB_CANCEL, job=job_id)
        return _json(200, b"{}")

    async def count(self, queue: Queue, deadline: float = math.inf) -> web.Response:
        """Answer how many jobs of a queue wait.

        Args:
            queue: The queue.
            deadline: Steady time by which the caller wants an answer.
        """
        await self._job_registry.refresh(limit_s=min(_wait_until(deadline), MAX_REFRESH_WAIT_S))
        if steady() - self._job_registry.follower.synced_at > COUNT_AGE_S:
            return _unavailable("job records not read lately")
        return _json(200, self._form.waiting(self._job_registry.catalog.waiting(queue.name)))


def _wait_until(deadline: float) -> float:
    """Return how long an answer may wait for the job records, in seconds."""
    left = ASK_SHARE * (deadline - steady())
    return max(min(left, ASK_LIMIT_S), MIN_WAIT_S)


def _host_name(request: web.BaseRequest) -> str:
    name, _, port = (request.headers.get("Host") or "").rpartition(":")
    return name if name and port.isdecimal() else f"{name}:{port}" if name else port


def _json(status: int, body: bytes, *, reason: str | None = None) -> web.Response:
    headers = {"X-Reason": reason.encode("ascii", "replace").decode()[:200]} if reason else None
    return web.Response(status=status, body=body, content_type="application/json", headers=headers)


def _unavailable(reason: str) -> web.Response:
    answer = _json(503, b'{"error":"not taken, it will not run"}', reason=reason)
    answer.headers["Retry-After"] = str(RETRY_AFTER_S)
    return answer
