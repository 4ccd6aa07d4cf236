"""All connections of one listener, and the limits on them."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from itertools import chain, cycle, takewhile
from typing import TYPE_CHECKING

from aiohttp import web

from linkspan.errors import BodyRefused
from linkspan.host._responses import json_response, unavailable
from linkspan.host.callers.body_budget import BodyBudget
from linkspan.host.callers.connection import CallerConnection
from linkspan.host.callers.limits import READ_BYTES
from linkspan.host.callers.phase import Phase

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from linkspan.host.callers.options import ServerOptions
    from linkspan.host.callers.request import Request
    from linkspan.model.configuration import RequestLimits

    Handler = Callable[[Request], Awaitable[web.Response]]

MAX_UNREAD_S = 10.0
"""Limits the time for which a caller may read nothing of a response, in seconds."""

MAX_UNREAD_IN_NEED_S = 0.5
"""The same where there are too many connections, in seconds. A response of a host fits into the
buffers of its connection, unless the caller has not read the ones before."""

MAX_CLOSING_S = 1.0
"""Time for a caller to read the last response and close the connection, in seconds."""

MAX_RETRY_AFTER_S = 3
"""Longest time after which a refused caller may retry, in seconds: memory that stalled bodies hold
is free by then. Callers get different times in turn, so that they do not return together."""

SWEEP_INTERVAL_S = 1.0
"""Interval between checks of all connections, in seconds."""


class CallerServer:
    """Server that creates the connections of callers and drops those that have gone silent.

    Args:
        handler: Handles a request.
        options: Limits on callers, and who is told of refusals.
    """

    def __init__(self, handler: Handler, options: ServerOptions) -> None:
        self._handler = handler
        self._options = options
        self._count = 0
        self._budget = BodyBudget(options.capacity.max_body_bytes)
        self._phases: dict[Phase, dict[CallerConnection, None]] = {phase: {} for phase in Phase}
        self._deferred: deque[CallerConnection] = deque()
        self._refusals: Counter[str] = Counter()
        self._retry_times_s = cycle(range(1, MAX_RETRY_AFTER_S + 1))
        self._sweeping: asyncio.TimerHandle | None = None
        self.read_buffer = memoryview(bytearray(READ_BYTES))

    def __repr__(self) -> str:
        return f"CallerServer({len(self.connections)} connections)"

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    @property
    def connections(self) -> list[CallerConnection]:
        """Open connections."""
        return [connection for row in self._phases.values() for connection in row]

    @property
    def limits(self) -> RequestLimits:
        """The limits on each request that are in force."""
        return self._options.limits()

    # Calls of connections.

    def add(self, connection: CallerConnection) -> None:
        """Note a new connection; where there are too many, drop the least useful one."""
        self._phases[connection.phase][connection] = None
        self._count += 1
        if self._count > self._options.capacity.max_connections:
            self._drop(self._least_useful(connection), "too many connections")
        if self._sweeping is None:
            loop = asyncio.get_running_loop()
            self._sweeping = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def remove(self, connection: CallerConnection) -> None:
        """Forget a connection."""
        if self._phases[connection.phase].pop(connection, connection) is None:
            self._count -= 1

    def move(self, connection: CallerConnection, phase: Phase) -> None:
        """Note that a connection enters a phase, as the newest one in it."""
        # A dropped connection is in no phase any more.
        if self._phases[connection.phase].pop(connection, connection) is None:
            self._phases[phase][connection] = None

    def _least_useful(self, newest: CallerConnection) -> CallerConnection:
        """Return the connection to drop where there are too many.

        Those that have been answered or ask for nothing go first, then those that do not read,
        then those whose request has been arriving for longest, and only then the newest one.
        """
        now = asyncio.get_running_loop().time()
        unread = self._older(Phase.WRITING, now - MAX_UNREAD_IN_NEED_S)
        slow = (body for body in self._phases[Phase.BODY] if body.is_slow(now))
        idle = chain(self._phases[Phase.CLOSING], self._phases[Phase.IDLE])
        candidates = chain(idle, unread, self._phases[Phase.HEAD], slow)
        return next((each for each in candidates if each is not newest), newest)

    def defer(self, connection: CallerConnection) -> None:
        """Let a connection go on in a later turn of the event loop, one connection a turn."""
        self._deferred.append(connection)
        if len(self._deferred) == 1:
            asyncio.get_running_loop().call_soon(self._advance_deferred)

    def reserve(self, size: int, more_than: int) -> bool:
        """Reserve memory for a body, if need be by refusing slow ones; return whether it is there.

        Args:
            size: Size to reserve, in bytes.
            more_than: Bytes that are reserved for the same body already.
        """
        if self._budget.reserve(size, more_than):
            return True
        now = asyncio.get_running_loop().time()
        for connection in list(self._phases[Phase.BODY]):
            if connection.is_slow(now):
                connection.refuse(503, "body arrived slowly while memory was short")
                if self._budget.reserve(size, more_than):
                    return True
        return False

    def release(self, size: int) -> None:
        """Return reserved memory."""
        self._budget.release(size)

    async def answer(self, request: Request) -> web.Response:
        """Return the response to a request.

        Raises:
            BodyRefused: The body of the request is refused.
        """
        try:
            return await self._handler(request)
        except BodyRefused:
            raise
        except Exception as error:
            self._options.on_error(error)
            return _internal_error()

    def count_refusal(self, reason: str) -> None:
        """Count a refused request or a dropped connection."""
        self._refusals[reason] += 1

    def refusal(self, status: int, reason: str) -> web.Response:
        """Return the response to a request that its handler has not seen or not read."""
        if status == web.HTTPServiceUnavailable.status_code:
            return unavailable(reason, retry_after_s=next(self._retry_times_s))
        return json_response(status, b'{"error":"refused, it has no effect"}', reason=reason)

    # Calls of the listener.

    def refuse_next(self) -> None:
        """Close idle connections; let the others close after their next response."""
        for connection in self.connections:
            connection.refuse_next()

    async def close(self, timeout_s: float) -> None:
        """Drop all connections once the responses that are being written are sent.

        Args:
            timeout_s: Limits the wait for them, in seconds.
        """
        if self._sweeping is not None:
            self._sweeping.cancel()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self._unfinished() and loop.time() < deadline:
            await asyncio.sleep(_CLOSE_CHECK_INTERVAL_S)
        for connection in self.connections:
            connection.cancel()
            connection.drop()
        # The loop reports each connection as lost in its next turn.
        await asyncio.sleep(0)

    def _unfinished(self) -> bool:
        """Return whether a response is due, or written and not sent."""
        writing = (Phase.BUSY, Phase.WRITING)
        return any(self._phases[phase] for phase in writing)

    def _advance_deferred(self) -> None:
        connection = self._deferred.popleft()
        if self._deferred:
            asyncio.get_running_loop().call_soon(self._advance_deferred)
        connection.advance_deferred()

    # Silent callers.

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._drop_silent(now)
        if self._refusals:
            self._options.on_refusals(self._refusals)
            self._refusals = Counter()
        again = any(self._phases.values())
        self._sweeping = loop.call_later(SWEEP_INTERVAL_S, self._sweep) if again else None

    def _drop_silent(self, now: float) -> None:
        limits = self.limits
        for connection in list(self._older(Phase.HEAD, now - limits.head_timeout_s)):
            connection.refuse(408, "head did not arrive in time")
        for connection in list(self._phases[Phase.BODY]):
            if connection.stalls(now, limits.head_timeout_s):
                connection.refuse(503, "body did not arrive whole")
        for connection in list(self._older(Phase.IDLE, now - limits.idle_timeout_s)):
            connection.close()
        for connection in list(self._older(Phase.CLOSING, now - MAX_CLOSING_S)):
            connection.drop()
        for connection in list(self._phases[Phase.WRITING]):
            connection.note_unsent(now)
            if now - connection.progress_at > MAX_UNREAD_S:
                self._drop(connection, "response not read")

    def _older(self, phase: Phase, than: float) -> Iterator[CallerConnection]:
        """Yield the connections that entered a phase before a loop time, oldest first."""
        return takewhile(lambda connection: connection.since < than, self._phases[phase])

    def _drop(self, connection: CallerConnection, reason: str) -> None:
        self.count_refusal(reason)
        # The loop reports the connection as lost in a later turn; it counts no more from now on.
        self.remove(connection)
        connection.drop()


def _internal_error() -> web.Response:
    response = json_response(500, b'{"error":"not known whether it took effect"}')
    response.force_close()
    return response


_CLOSE_CHECK_INTERVAL_S = 0.01
"""Interval between checks for unsent responses while a server closes, in seconds."""
