"""Request handler for callers: submits, shows, cancels and counts jobs."""

from __future__ import annotations

import asyncio
import math
import re
import time
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import ProducerFenced, StoreRefused
from linkspan.events import Event
from linkspan.host._refusal_cause import RefusalCause
from linkspan.host._responses import json_response, unavailable
from linkspan.host.caller_waits import MIN_WAIT_S
from linkspan.jobs.job_registry import MAX_REFRESH_WAIT_S
from linkspan.jobs.records import Cancelled

if TYPE_CHECKING:
    from aiohttp import web

    from linkspan.host._caller_context import CallerContext
    from linkspan.host._submissions import Submissions
    from linkspan.host.callers.request import Request
    from linkspan.model.configuration import Queue

_JOB_ID = re.compile(r"[0-9a-f]{16}")

MAX_BODY_DRAIN_S = 1.0
"""Limits the time for which a drain waits for the rest of a request body, in seconds. The largest
body accepted by default (262,144 bytes) takes 0.42 s over a link of 5 Mbit/s."""

READ_WAIT_SHARE = 0.5
"""Share of the caller's timeout that a request may wait for the job records to be read. In the
remaining time the caller can ask another host, which may have read them."""

MAX_READ_WAIT_S = 2.0
"""Limits that wait regardless of the caller's timeout, in seconds; a healthy store takes 20 ms."""

MAX_TIMEOUT_S = 60.0
"""Limits the time for which a request waits on its caller's word, in seconds."""

MAX_TIMEOUT_DIGITS = 9

MAX_COUNT_AGE_S = 3.0
"""Limits the age of the job records from which waiting jobs are counted, in seconds: an accepted
job must be visible on every host within this time."""


class Front:
    """Handler of the requests of callers.

    Args:
        context: Dependencies shared by the components that serve callers.
        submissions: Accepts jobs.
    """

    def __init__(self, context: CallerContext, submissions: Submissions) -> None:
        self._job_registry = context.job_registry
        self._configuration = context.configuration
        self._form = context.form
        self._waits = context.waits
        self._refusals = context.refusals
        self._log = context.log
        self._metrics = context.metrics
        self._submissions = submissions
        self._in_flight = 0
        self._body_reads: list[float] = []

    def __repr__(self) -> str:
        return f"Front({self._submissions!r}, in_flight={self._in_flight})"

    @property
    def in_flight(self) -> int:
        """Number of unanswered requests, except those whose body is slow to arrive."""
        limit = steady() - MAX_BODY_DRAIN_S
        return self._in_flight - sum(started_at < limit for started_at in self._body_reads)

    async def handle(self, request: Request) -> web.Response:
        """Handle a request."""
        self._in_flight += 1
        try:
            response = await self._respond(request)
        finally:
            self._in_flight -= 1
        self._metrics.count("calls", kind=request.method, status=str(response.status))
        if self._waits.draining:
            response.force_close()
        return response

    def drain(self, until: float) -> None:
        """Answer waiting requests before a steady time and close connections after responses."""
        self._waits.drain(until)

    async def _respond(self, request: Request) -> web.Response:
        configuration = self._configuration.current
        if configuration is None:
            return unavailable("no configuration yet")
        queue = configuration.find(_host_name(request), request.path)
        if queue is None:
            return json_response(404, b'{"error":"no such queue"}')
        job_id = request.path[len(queue.prefix) :]
        if request.method == "GET" and not job_id:
            return await self.count(queue, self._deadline(request, queue))
        if not _JOB_ID.fullmatch(job_id):
            return json_response(404, b'{"error":"a job id is 16 hex digits"}')
        deadline = self._deadline(request, queue)
        if request.method == "POST":
            body = await self._read_body(request, deadline)
            if body is None:
                return self._refuse_incomplete(job_id, queue, deadline)
            return await self.submit(queue, job_id, body, deadline)
        if request.method == "GET":
            return await self.show(job_id, deadline)
        if request.method == "DELETE":
            return await self.cancel(job_id, deadline)
        return json_response(405, b'{"error":"use GET, POST or DELETE"}')

    async def _read_body(self, request: Request, deadline: float) -> bytes | None:
        """Return the body of a request, ``None`` if it is incomplete at a steady time.

        The connection may go silent for good in the middle of the body.
        """
        started_at = steady()
        self._body_reads.append(started_at)
        try:
            async with self._waits.until(deadline):
                return await request.read()
        except TimeoutError:
            return None
        finally:
            self._body_reads.remove(started_at)

    def _refuse_incomplete(self, job_id: str, queue: Queue, deadline: float) -> web.Response:
        response = self._refusals.refuse(job_id, queue, RefusalCause.INCOMPLETE, deadline)
        response.force_close()
        return response

    def _deadline(self, request: Request, queue: Queue) -> float:
        """Return the steady time by which to answer a request."""
        text = request.headers.get(self._form.timeout_header, "")
        if not text.isdecimal():
            return self._waits.deadline(queue.timeout_s)
        # Only so many digits are read: any longer number is over the limit anyway.
        timeout_s = int(text.lstrip("0")[:MAX_TIMEOUT_DIGITS] or "0") / 1000
        return self._waits.deadline(min(timeout_s, MAX_TIMEOUT_S))

    async def submit(self, queue: Queue, job_id: str, body: bytes, deadline: float) -> web.Response:
        """Store a job and answer once it is durable, or refuse it."""
        return await self._submissions.submit(queue, job_id, body, deadline)

    async def show(self, job_id: str, deadline: float = math.inf) -> web.Response:
        """Respond with the state of a job.

        Args:
            job_id: The job.
            deadline: Steady time by which to answer.
        """
        entry, fresh = await self._job_registry.look_up(job_id, timeout_s=_read_wait_s(deadline))
        if entry:
            return json_response(200, self._form.state(entry.state))
        if not fresh:
            self._log.write(Event.JOB_ASKED, job=job_id, state="not known, records not read")
            return unavailable("job records not read to their end")
        self._log.write(Event.JOB_ASKED, job=job_id, state="no such job")
        return json_response(410, b'{"error":"no such job"}')

    async def cancel(self, job_id: str, deadline: float) -> web.Response:
        """Cancel a job and answer once the cancellation is durable.

        That holds for an unknown job, too: a submission of it may be on its way to the store.
        """
        entry, fresh = await self._job_registry.look_up(job_id, timeout_s=_read_wait_s(deadline))
        if entry is None and not fresh:
            return unavailable("job records not read to their end")
        if entry and entry.state.final:
            return json_response(200, b"{}")
        early_cancels = self._job_registry.catalog.early_cancels
        if entry is None and job_id in early_cancels:
            return json_response(410, b"{}")
        if entry is None and early_cancels.full:
            return self._refuse_early_cancel(job_id)
        write = self._job_registry.write([Cancelled(job_id, time.time())])
        try:
            async with self._waits.until(max(deadline, steady() + MIN_WAIT_S)):
                await asyncio.shield(write)
        except TimeoutError:
            self._log.write(Event.JOB_IN_DOUBT, job=job_id, call="cancel")
            return json_response(504, b'{"error":"not known yet whether the job is cancelled"}')
        except (StoreRefused, ProducerFenced):
            return unavailable("store is away")
        known = entry is not None or await self._is_known(job_id, deadline)
        self._log.write(Event.JOB_CANCEL, job=job_id, known=known)
        return json_response(200 if known else 410, b"{}")

    async def _is_known(self, job_id: str, deadline: float) -> bool:
        """Return whether a job's submission is on record, by a read that begins now."""
        await self._job_registry.refresh(max_age_s=0.0, timeout_s=_read_wait_s(deadline))
        return self._job_registry.catalog.get(job_id) is not None

    def _refuse_early_cancel(self, job_id: str) -> web.Response:
        """Refuse to cancel an unknown job: too many cancels of such jobs are kept already."""
        first_room_s = self._job_registry.catalog.early_cancels.first_room_s(time.time())
        self._log.write(Event.EARLY_CANCEL_REFUSED, job=job_id, first_room_s=round(first_room_s, 1))
        return unavailable(
            "too many cancels of unknown jobs", retry_after_s=max(math.ceil(first_room_s), 1)
        )

    async def count(self, queue: Queue, deadline: float = math.inf) -> web.Response:
        """Respond with the number of waiting jobs of a queue.

        Args:
            queue: The queue.
            deadline: Steady time by which to answer.
        """
        await self._job_registry.refresh(timeout_s=min(_read_wait_s(deadline), MAX_REFRESH_WAIT_S))
        follower = self._job_registry.follower
        age_s = steady() - follower.synced_at
        if age_s > MAX_COUNT_AGE_S:
            return unavailable("job records not read lately")
        waiting = self._job_registry.catalog.waiting(queue.name)
        self._log.write(
            Event.WAITING_COUNTED,
            queue=queue.name,
            waiting=waiting,
            view_age_s=round(age_s, 3),
            offset=follower.offset,
        )
        return json_response(200, self._form.waiting(waiting))


def _read_wait_s(deadline: float) -> float:
    """Return how long a request may wait for the job records, in seconds."""
    share_s = READ_WAIT_SHARE * (deadline - steady())
    return max(min(share_s, MAX_READ_WAIT_S), MIN_WAIT_S)


def _host_name(request: Request) -> str:
    """Return the ``Host`` header without the port."""
    name, _, port = (request.headers.get("Host") or "").rpartition(":")
    return name if name and port.isdecimal() else f"{name}:{port}" if name else port
