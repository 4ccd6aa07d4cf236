"""Decodes the bodies of submissions, large ones beside the event loop."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from linkspan.errors import UnstorableJob
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted

if TYPE_CHECKING:
    from linkspan.host.caller_format import CallerFormat
    from linkspan.host.caller_waits import CallerWaits
    from linkspan.jobs.spec import JobSpec
    from linkspan.model.configuration import Queue

MAX_INLINE_BYTES = 8 * 1024
"""Size up to which a body is decoded in the event loop: twice the largest text of a job. Larger
ones can take tens of milliseconds each, in which leases, claims and readiness would wait."""

RECORD_MARGIN_BYTES = 512
"""Size of what is added to a record when it is written, at most, and to its key by retries."""


class JobDecoder:
    """Decodes jobs from callers' bodies.

    Large bodies are decoded one after the other in a thread, in the order of their arrival.

    Args:
        form: Format of the bodies.
        waits: Waits of requests.
        max_record_bytes: Maximum size of a record in the store.
    """

    def __init__(self, form: CallerFormat, waits: CallerWaits, max_record_bytes: int) -> None:
        self._form = form
        self._waits = waits
        self._max_record_bytes = max_record_bytes
        self._thread = ThreadPoolExecutor(max_workers=1, thread_name_prefix="decoder")

    def __repr__(self) -> str:
        return f"JobDecoder(max_record_bytes={self._max_record_bytes})"

    async def decode(self, job_id: str, queue: Queue, body: bytes, deadline: float) -> JobSpec:
        """Return the job that a body describes.

        Args:
            job_id: Id of the job.
            queue: Its queue.
            body: Body of the submission.
            deadline: Steady time by which to answer.

        Raises:
            InvalidInput: The body is not a valid job.
            UnstorableJob: The record of the job exceeds what the store takes.
            TimeoutError: The turn of a large body did not come before the deadline.
        """
        if len(body) <= MAX_INLINE_BYTES:
            return self._form.job(job_id, queue.name, body)
        loop = asyncio.get_running_loop()
        async with self._waits.until(deadline):
            # A body whose turn has not come by then is not decoded any more.
            return await loop.run_in_executor(self._thread, self._decode, job_id, queue, body)

    def _decode(self, job_id: str, queue: Queue, body: bytes) -> JobSpec:
        spec = self._form.job(job_id, queue.name, body)
        key, value = encode(Submitted(spec, 0, 0.0, "", queue.terms))
        size = len(key) + len(value) + RECORD_MARGIN_BYTES
        if size > self._max_record_bytes:
            raise UnstorableJob(size)
        return spec
