"""Callers' connections, which may go silent for good at any point."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any, cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

HALF_REQUEST_S = 10.0
"""Time in which a request's head must be there whole, from its first byte on. Callers
give a call three seconds in all; a body has the bound of its call."""

UNREAD_S = 10.0
"""Time after which a caller that takes nothing of an answer is cut off."""

MAX_IDLE = 512
"""Connections between two calls that are kept; beyond them the longest idle go. Half of
the descriptors that a process usually gets (1,024), which the calls to executors share."""

SWEEP_S = 1.0
"""Time between looks at all connections."""

PROBE_AFTER_S = 15
"""Time without a packet after which the system asks whether the other end is there."""

PROBE_EVERY_S = 5
"""Time between such probes."""

PROBES = 3
"""Probes without an answer after which a connection counts as lost."""

UNACKNOWLEDGED_MS = 1_000 * (PROBE_AFTER_S + PROBES * PROBE_EVERY_S)
"""Time after which sent bytes that the other end did not confirm end a connection."""


class CallerConnection(RequestHandler):
    """One caller's connection, with what tells that it went silent."""

    __slots__ = (
        "_begun_at",
        "_busy",
        "_closing",
        "_idle_since",
        "_unread_bytes",
        "_unread_since",
    )

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self._busy = False
        self._closing = False
        self._begun_at: float | None = None
        self._idle_since = self._loop.time()
        self._unread_bytes = 0
        self._unread_since = 0.0

    @property
    def idle(self) -> bool:
        """Whether it is between two calls."""
        return not self._busy and self._begun_at is None and not self._unread_bytes

    @property
    def idle_since(self) -> float:
        """Time of the loop at which its last call ended, or it began."""
        return self._idle_since

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Have the system find out when the other end vanishes."""
        super().connection_made(transport)
        _probe(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Note when a request begins; one that comes too late is reset at once.

        The library would read it and leave it unanswered until the listener's end.
        """
        if not self._busy and self._begun_at is None:
            if self._closing:
                self.drop()
                return
            self._begun_at = self._loop.time()
        super().data_received(data)

    def close(self) -> None:
        """Take no further request; one that is coming in is read on and gets its answer.

        The library would throw the rest of it away, and leaves an idle connection open
        with nobody to read it.
        """
        self._closing = True
        if self._busy or self._begun_at is not None:
            return
        super().close()
        if self.idle:
            self.drop()

    def begin_call(self) -> None:
        """Note that a request's head was read whole."""
        self._busy = True
        self._begun_at = None

    def end_call(self) -> None:
        """Note that a request has its answer."""
        self._busy = False
        self._idle_since = self._loop.time()
        if self._closing:
            # The library ends the connection behind the answer.
            super().close()

    def overdue(self, now: float) -> str | None:
        """Return why it is to be closed at a time of the loop, if it is."""
        if self._begun_at is not None and now - self._begun_at > HALF_REQUEST_S:
            return "half a request"
        if self._unread_for(now) > UNREAD_S:
            return "answer not taken"
        return None

    def drop(self) -> None:
        """Close it, with what it still holds."""
        if self.transport is not None:
            self.transport.abort()

    def _unread_for(self, now: float) -> float:
        """Return for how long nothing of what waits to be sent was taken."""
        transport = self.transport
        waiting = transport.get_write_buffer_size() if transport else 0
        if waiting != self._unread_bytes:
            self._unread_bytes, self._unread_since = waiting, now
        return now - self._unread_since if waiting else 0.0


class CallerServer(web.Server):
    """Makes callers' connections and closes those that went silent.

    Args:
        handler: Answers a request.
        on_drop: Called with the reason when a connection is closed.
    """

    def __init__(self, handler: Handler, *, on_drop: Callable[[str], None]) -> None:
        super().__init__(self._handle, access_log=None)
        self._answer = handler
        self._on_drop = on_drop
        self._sweeping: asyncio.TimerHandle | None = None

    @property
    def caller_connections(self) -> list[CallerConnection]:
        """The open connections."""
        return [c for c in self.connections if isinstance(c, CallerConnection)]

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        if self._sweeping is None:
            self._sweeping = self._loop.call_later(SWEEP_S, self._sweep)
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections, after what is in flight or the time given in seconds."""
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
        open_ones = self.caller_connections
        for connection in open_ones:
            reason = connection.overdue(now)
            if reason:
                self._drop(connection, reason)
        idle = sorted((c for c in open_ones if c.idle), key=lambda c: c.idle_since)
        for connection in idle[: max(0, len(idle) - MAX_IDLE)]:
            self._drop(connection, "too many idle ones")
        self._sweeping = self._loop.call_later(SWEEP_S, self._sweep) if open_ones else None

    def _drop(self, connection: CallerConnection, reason: str) -> None:
        connection.drop()
        self._on_drop(reason)


def _probe(connected: socket.socket) -> None:
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_AFTER_S),
        (socket.TCP_KEEPINTVL, PROBE_EVERY_S),
        (socket.TCP_KEEPCNT, PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        connected.setsockopt(socket.IPPROTO_TCP, option, value)
