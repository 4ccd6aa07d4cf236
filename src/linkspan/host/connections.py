"""Server connections of callers, with timeouts for callers that go silent at any point."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from linkspan.host.keepalive import Keepalive, enable_keepalive

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

MAX_REQUEST_HEAD_S = 10.0
"""Limits the time from the first byte of a request to the end of its headers, in seconds.
Callers time out after three seconds in total; the body is limited by the deadline of the
request."""

MAX_UNREAD_S = 10.0
"""Limits the time for which a caller may read nothing of a response, in seconds."""

MAX_IDLE_CONNECTIONS = 512
"""Limits idle connections; beyond it, those idle for longest are closed. It is half of the usual
limit of file descriptors of a process (1,024), which calls to executors share."""

SWEEP_INTERVAL_S = 1.0
"""Interval between checks of all connections, in seconds."""

CALLER_KEEPALIVE = Keepalive(idle_s=15, interval_s=5, max_probes=3)
"""Closes the connection of a caller that has vanished."""


class CallerConnection(RequestHandler):
    """Connection of a caller that tracks whether the caller has gone silent."""

    __slots__ = (
        "_begun_at",
        "_busy",
        "_closing",
        "_idle_since",
        "_unread_bytes",
        "_unread_since",
    )

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._busy = False
        self._closing = False
        self._begun_at: float | None = None
        self._idle_since = self._loop.time()
        self._unread_bytes = 0
        self._unread_since = 0.0

    @property
    def idle(self) -> bool:
        """Whether the connection is between two requests."""
        return not self._busy and self._begun_at is None and not self._unread_bytes

    @property
    def idle_since(self) -> float:
        """Loop time at which the last request ended or, before the first, the connection opened."""
        return self._idle_since

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable keepalive probes, so that the kernel detects a vanished peer."""
        super().connection_made(transport)
        enable_keepalive(transport.get_extra_info("socket"), CALLER_KEEPALIVE)

    def data_received(self, data: bytes) -> None:
        """Record the start of a request, or reset the connection if it is closing.

        The HTTP library would read a request on a closing connection and leave it unanswered
        until the listener closes.
        """
        if not self._busy and self._begun_at is None:
            if self._closing:
                self.drop()
                return
            self._begun_at = self._loop.time()
        super().data_received(data)

    def close(self) -> None:
        """Accept no further request; a request that is being received is still answered.

        The HTTP library would discard the rest of such a request, and would leave an idle
        connection open without reading from it.
        """
        self._closing = True
        if self._busy or self._begun_at is not None:
            return
        super().close()
        if self.idle:
            self.drop()

    def begin_call(self) -> None:
        """Record that the headers of a request are complete and its handler starts."""
        self._busy = True
        self._begun_at = None

    def end_call(self) -> None:
        """Record that the handler of a request has finished."""
        self._busy = False
        self._idle_since = self._loop.time()
        if self._closing:
            # The HTTP library closes the connection after the response.
            super().close()

    def drop_reason(self, now: float) -> str | None:
        """Return why the connection must be dropped at a loop time, ``None`` if it need not be."""
        if self._begun_at is not None and now - self._begun_at > MAX_REQUEST_HEAD_S:
            return "incomplete request"
        if self._unread_for(now) > MAX_UNREAD_S:
            return "response not read"
        return None

    def drop(self) -> None:
        """Abort the connection and discard unsent data."""
        if self.transport is not None:
            self.transport.abort()

    def _unread_for(self, now: float) -> float:
        """Return for how long the peer has read nothing of the data to send, in seconds."""
        transport = self.transport
        buffered = transport.get_write_buffer_size() if transport else 0
        if buffered != self._unread_bytes:
            self._unread_bytes, self._unread_since = buffered, now
        return now - self._unread_since if buffered else 0.0


class CallerServer(web.Server):
    """Server that creates the connections of callers and drops those that have gone silent.

    Args:
        handler: Handles a request.
        on_drop: Called with the reason when the server drops a connection.
    """

    def __init__(self, handler: Handler, *, on_drop: Callable[[str], None]) -> None:
        super().__init__(self._handle, access_log=None)
        self._answer = handler
        self._on_drop = on_drop
        self._sweeping: asyncio.TimerHandle | None = None

    @property
    def caller_connections(self) -> list[CallerConnection]:
        """Open connections of callers."""
        return [c for c in self.connections if isinstance(c, CallerConnection)]

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        if self._sweeping is None:
            self._sweeping = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections once their requests are answered, or after a timeout in seconds."""
        if self._sweeping is not None:
            self._sweeping.cancel()
        await super().shutdown(timeout)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = cast(CallerConnection, request.protocol)
        connection.begin_call()
        try:
            return await self._answer(request)
        finally:
            connection.end_call()

    def _sweep(self) -> None:
        now = self._loop.time()
        connections = self.caller_connections
        for connection in connections:
            reason = connection.drop_reason(now)
            if reason:
                self._drop(connection, reason)
        idle = sorted((c for c in connections if c.idle), key=lambda c: c.idle_since)
        for connection in idle[: max(0, len(idle) - MAX_IDLE_CONNECTIONS)]:
            self._drop(connection, "too many idle connections")
        self._sweeping = (
            self._loop.call_later(SWEEP_INTERVAL_S, self._sweep) if connections else None
        )

    def _drop(self, connection: CallerConnection, reason: str) -> None:
        connection.drop()
        self._on_drop(reason)
