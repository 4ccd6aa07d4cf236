"""The body of one request from its head to the answer: what has arrived, its memory, its end."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from linkspan.errors import BodyRefused
from linkspan.host.callers.body import ChunkedBody, SizedBody
from linkspan.host.callers.paged_bytes import PAGE_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.host.callers.server import CallerServer

MAX_CHUNKS_A_TURN = 1_024
"""Limits the small chunks that are read in one turn of the event loop."""

MAX_PAUSE_S = 0.5
"""Longest pause of a body that is not slow, in seconds."""

MIN_BYTES_PER_S = 64 * 1024
"""Lowest rate of a body that is not slow: half a megabit per second."""

DECODED_OBJECT_BYTES = 512
"""Memory of an object of a body once it is decoded: that of a job's step with its default values,
until the job is stored."""

STALLED_BYTES_PER_S = 1024
"""Rate below which a body is not waited for, in bytes per second."""

_NO_MEMORY = "no memory for more bodies at present"


class IncomingBody:
    """Body of one request, with the memory that is reserved for it.

    Args:
        server: Server that has the memory for all bodies.
        length: Length of the body in bytes, ``None`` if it comes in chunks.

    Raises:
        BodyRefused: The declared length exceeds a limit, or there is no memory for it.
    """

    __slots__ = (
        "_began_at",
        "_body",
        "_done",
        "_loop",
        "_progress_at",
        "_refusal",
        "_reserved_bytes",
        "_server",
    )

    def __init__(self, server: CallerServer, length: int | None) -> None:
        limits = server.limits
        self._server = server
        self._reserved_bytes = 0
        self._refusal: BodyRefused | None = None
        self._done: asyncio.Future[None] | None = None
        self._loop = asyncio.get_running_loop()
        self._began_at = self._progress_at = self._loop.time()
        self._body: SizedBody | ChunkedBody
        if length is None:
            self._body = ChunkedBody(
                max_bytes=limits.max_body_bytes,
                max_extra_bytes=limits.max_head_bytes,
                max_chunks=MAX_CHUNKS_A_TURN,
            )
            return
        if length > limits.max_body_bytes:
            raise BodyRefused(413, "body exceeds its limit")
        self._reserve(length)
        self._body = SizedBody(length)

    def __repr__(self) -> str:
        return f"IncomingBody({len(self._body.content)} bytes, complete={self.complete})"

    @property
    def complete(self) -> bool:
        """Whether the whole body has arrived."""
        return self._body.complete

    @property
    def refused(self) -> bool:
        """Whether the rest of the body is not wanted."""
        return self._refusal is not None

    def feed(self, data: bytes) -> int:
        """Take bytes that have arrived; return how many were taken, see ``Body``."""
        try:
            taken = self._body.feed(data, 0)
            self._reserve(len(self._body.content))
        except BodyRefused as error:
            self.refuse(error)
            return 0
        if taken:
            self._progress_at = self._loop.time()
        if self.complete:
            self._wake()
        return taken

    async def read(self, on_wait: Callable[[], None]) -> bytes:
        """Return the whole body.

        Args:
            on_wait: Called before a wait for a body of which nothing has arrived.

        Raises:
            BodyRefused: The body is not read to its end.
        """
        if not self.complete and self._refusal is None:
            if not len(self._body.content):
                on_wait()
            self._done = self._loop.create_future()
            await self._done
        if self._refusal is not None:
            raise self._refusal
        content = self._body.content.take()
        # Decoded, a short text of many objects takes a hundred times its size.
        self._reserve(len(content) + DECODED_OBJECT_BYTES * content.count(b"{"))
        return content

    def refuse(self, error: BodyRefused) -> None:
        """Hold no more of an incomplete body, and let the wait for it fail."""
        if not self.complete:
            self._refusal = self._refusal or error
            self.release()
            self._wake()

    def release(self) -> None:
        """Give up the body and its memory."""
        self._body.content.take()
        self._server.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def is_slow(self, now: float) -> bool:
        """Return whether the body is slow at a loop time, so that others' bodies go first."""
        return self._falls_behind(now, MAX_PAUSE_S, MIN_BYTES_PER_S)

    def stalls(self, now: float, max_pause_s: float) -> bool:
        """Return whether the body is not expected to arrive whole.

        Args:
            now: Loop time.
            max_pause_s: Longest pause of a body, in seconds.
        """
        return self._falls_behind(now, max_pause_s, STALLED_BYTES_PER_S)

    def _falls_behind(self, now: float, max_pause_s: float, min_bytes_per_s: float) -> bool:
        """Return whether the body pauses, or arrives at less than a rate."""
        if now - self._progress_at > max_pause_s:
            return True
        took_s = now - self._began_at
        return took_s > max_pause_s and len(self._body.content) < took_s * min_bytes_per_s

    def _reserve(self, size: int) -> None:
        """Reserve memory for a body of a size, or for its part that has arrived.

        Raises:
            BodyRefused: There is no memory for it.
        """
        missing = size - self._reserved_bytes
        if missing <= 0:
            return
        if self._reserved_bytes:
            # Whole pages, so that a body in small chunks asks seldom.
            missing = math.ceil(missing / PAGE_BYTES) * PAGE_BYTES
        if not self._server.reserve(missing, self._reserved_bytes):
            raise BodyRefused(503, _NO_MEMORY)
        self._reserved_bytes += missing

    def _wake(self) -> None:
        if self._done is not None and not self._done.done():
            self._done.set_result(None)
