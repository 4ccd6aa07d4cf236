"""One connection of a caller: reads requests, one after the other, and writes their responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from linkspan.errors import BodyRefused, MalformedRequest
from linkspan.host.callers.head import HEAD_END, parse_head
from linkspan.host.callers.incoming_body import IncomingBody
from linkspan.host.callers.phase import Phase
from linkspan.host.callers.request import Request
from linkspan.host.callers.response import CONTINUE, announces_close, encode
from linkspan.host.keepalive import Keepalive, enable_keepalive

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.host.callers.head import RequestHead
    from linkspan.host.callers.server import CallerServer

CALLER_KEEPALIVE = Keepalive(idle_s=15, interval_s=5, max_probes=3)
"""Closes the connection of a caller that has vanished."""

MAX_DISCARDED_BYTES = 512 * 1024
"""Limits what is read and discarded after the last response: a caller that sends a body of twice
the usual limit still reads the refusal."""

_BLANK = b"\r\n"
_HEAD_END_OVERLAP = 3
"""Bytes before the newest ones with which the end of a head may begin."""


class CallerConnection(asyncio.BufferedProtocol):
    """Connection of a caller.

    It holds at most one request and the bytes of one read beyond it: while a request is handled,
    nothing more is read.

    Args:
        server: Server that the connection belongs to.
    """

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._pending = b""
        self._scanned = 0
        self._blank_bytes = 0
        self._head: RequestHead | None = None
        self._body: IncomingBody | None = None
        self._task: asyncio.Task[None] | None = None
        self._discarded = 0
        self._last_request = False
        self._deferred = False
        self._unsent = 0
        self.phase = Phase.IDLE
        self.since = self._loop.time()
        self.progress_at = self.since

    def __repr__(self) -> str:
        return f"CallerConnection({self.phase.name}, pending={len(self._pending)})"

    @property
    def transport(self) -> asyncio.Transport | None:
        """Transport of the connection, ``None`` before it is made."""
        return self._transport

    @property
    def idle(self) -> bool:
        """Whether the connection is between two requests."""
        return self.phase is Phase.IDLE

    # Calls of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable keepalive probes, so that the kernel detects a vanished peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # The protocol is told of each response that the caller has not read whole.
        transport.set_write_buffer_limits(high=0)
        enable_keepalive(transport.get_extra_info("socket"), CALLER_KEEPALIVE)
        self._server.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Forget the connection; a request whose body has arrived is still carried out."""
        self._refuse_body(BodyRefused(400, "connection lost"))
        self._pending = b""
        self._server.remove(self)

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share."""
        return self._server.read_buffer

    def buffer_updated(self, count: int) -> None:
        """Take the bytes that have arrived."""
        if self.phase is Phase.CLOSING:
            self._discard(count)
            return
        data = bytes(self._server.read_buffer[:count])
        self._pending = self._pending + data if self._pending else data
        if self.phase is Phase.IDLE:
            if self._last_request:
                self.drop()
                return
            self._enter(Phase.HEAD)
        self._advance()

    def eof_received(self) -> bool:
        """Return whether to keep the connection, for the response to a request that is handled."""
        self._last_request = True
        if self.phase is Phase.BODY:
            self._refuse_body(BodyRefused(400, "body ends early"))
            return True
        return self.phase in (Phase.BUSY, Phase.WRITING)

    def resume_writing(self) -> None:
        """Go on after the caller has read the whole response."""
        if self.phase is Phase.WRITING:
            self._next_request()

    # Calls of the server.

    def refuse_next(self) -> None:
        """Accept no further request; one that is arriving is still answered."""
        self._last_request = True
        if self.phase is Phase.IDLE:
            self.close()

    def refuse(self, status: int, reason: str) -> None:
        """Refuse the request that is arriving, and close the connection after the response."""
        if self.phase is Phase.BODY:
            self._refuse_body(BodyRefused(status, reason))
            return
        self._server.count_refusal(reason)
        self._write(encode(self._server.refusal(status, reason), close=True))
        self._close_gently()

    def close(self) -> None:
        """Close the connection once what is written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def drop(self) -> None:
        """Abort the connection and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def cancel(self) -> None:
        """Cancel the handler of the request."""
        if self._task is not None:
            self._task.cancel()

    def advance_deferred(self) -> None:
        """Go on with bytes whose turn was over."""
        self._deferred = False
        if self.phase in (Phase.HEAD, Phase.BODY):
            self._advance()

    def is_slow(self, now: float) -> bool:
        """Return whether the body that is arriving is slow, at a loop time."""
        return self._waits_for(lambda body: body.is_slow(now))

    def stalls(self, now: float, max_pause_s: float) -> bool:
        """Return whether the body that is arriving is not expected to arrive whole.

        Args:
            now: Loop time.
            max_pause_s: Longest pause of a body, in seconds.
        """
        return self._waits_for(lambda body: body.stalls(now, max_pause_s))

    def _waits_for(self, falls_behind: Callable[[IncomingBody], bool]) -> bool:
        """Return whether a body falls behind that has not arrived and waits for no turn here."""
        return self._body is not None and not self._deferred and falls_behind(self._body)

    def note_unsent(self, now: float) -> None:
        """Note whether the caller has read some of a response since the last call."""
        unsent = self.unsent_bytes()
        if unsent != self._unsent:
            self._unsent, self.progress_at = unsent, now

    def unsent_bytes(self) -> int:
        """Return how many bytes of responses the caller has not read."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    # Reading.

    def _advance(self) -> None:
        """Read what has arrived."""
        if self.phase is Phase.HEAD:
            self._read_head()
        if self.phase is Phase.BODY:
            self._read_body()
        if self.phase in (Phase.BUSY, Phase.WRITING) and self._pending:
            self._pause_reading()

    def _read_head(self) -> None:
        limits = self._server.limits
        if self._pending[:1] in _BLANK:
            length = len(self._pending)
            self._pending = self._pending.lstrip(_BLANK)
            self._blank_bytes += length - len(self._pending)
        end = HEAD_END.search(self._pending, self._scanned)
        size = end.end() if end else len(self._pending)
        if self._blank_bytes + size > limits.max_head_bytes:
            self.refuse(431, "head exceeds its limit")
            return
        if end is None:
            self._scanned = max(0, size - _HEAD_END_OVERLAP)
            self._resume_reading()
            return
        head, self._pending = self._pending[:size], self._pending[size:]
        self._scanned = self._blank_bytes = 0
        try:
            self._begin(parse_head(head))
        except MalformedRequest as error:
            self.refuse(400, str(error))

    def _begin(self, head: RequestHead) -> None:
        """Begin a request whose head has arrived."""
        if head.body_length != 0:
            try:
                self._body = IncomingBody(self._server, head.body_length)
            except BodyRefused as error:
                self.refuse(error.status, error.reason)
                return
        self._head = head
        self._enter(Phase.BODY if self._body else Phase.BUSY)
        self._task = self._loop.create_task(self._serve(Request(head, self._read_whole_body)))

    def _read_body(self) -> None:
        body = self._body
        assert body is not None
        if body.refused:
            return
        taken = body.feed(self._pending)
        self._pending = self._pending[taken:]
        if body.refused:
            # The handler is told, and its response ends the connection.
            self._pause_reading()
        elif body.complete:
            self._enter(Phase.BUSY)
        elif taken and self._pending:
            # More of it can be read, but not in this turn.
            self._defer()
        else:
            self._resume_reading()

    async def _read_whole_body(self) -> bytes:
        return await self._body.read(self._go_ahead) if self._body else b""

    def _go_ahead(self) -> None:
        """Tell the caller to send the body, if it waits for that."""
        if self._head and self._head.expects_continue:
            self._write(CONTINUE)

    def _refuse_body(self, error: BodyRefused) -> None:
        """Read no more of a body that is arriving, and let its handler know."""
        if self._body is not None:
            self._body.refuse(error)
            self._pause_reading()

    def _discard(self, count: int) -> None:
        self._discarded += count
        if self._discarded > MAX_DISCARDED_BYTES:
            self.drop()

    def _defer(self) -> None:
        """Go on with the bytes that have arrived in a later turn, and read no more until then."""
        self._pause_reading()
        if not self._deferred:
            self._deferred = True
            self._server.defer(self)

    def _pause_reading(self) -> None:
        if self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        transport = self._transport
        if transport is not None and not transport.is_closing() and not transport.is_reading():
            transport.resume_reading()

    # Writing.

    async def _serve(self, request: Request) -> None:
        assert self._head is not None
        head = self._head
        try:
            response = await self._server.answer(request)
        except BodyRefused as error:
            self._server.count_refusal(error.reason)
            response = self._server.refusal(error.status, error.reason)
            response.force_close()
        body = self._body
        unread = body is not None and not body.complete
        last = unread or self._last_request or not head.keep_alive or announces_close(response)
        self._last_request = last
        self._task = self._body = self._head = None
        if body is not None:
            body.release()
        self._write(encode(response, close=last, with_body=head.method != "HEAD"))
        if last and (unread or self._pending):
            self._close_gently()
        elif self.unsent_bytes():
            self._enter(Phase.WRITING)
        else:
            self._next_request()

    def _next_request(self) -> None:
        """Go on with the next request, of which bytes may have arrived before."""
        if self._last_request:
            self.close()
            return
        if self._pending:
            # What has arrived is used up before more is read.
            self._enter(Phase.HEAD)
            self._defer()
            return
        self._enter(Phase.IDLE)
        self._resume_reading()

    def _close_gently(self) -> None:
        """Close the connection so that the caller can read the last response.

        Closing with unread bytes would reset the connection, with the response on its way.
        """
        self._pending = b""
        self._enter(Phase.CLOSING)
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        try:
            transport.write_eof()
        except OSError:
            # The caller has reset the connection, which the event loop has not reported yet.
            self.drop()
            return
        self._resume_reading()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _enter(self, phase: Phase) -> None:
        self.since = self.progress_at = self._loop.time()
        self._server.move(self, phase)
        self.phase = phase
