"""HTTP listeners of a host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Self

from aiohttp import web

from linkspan.host.connections import CallerServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from linkspan.host.connections import CallerConnection

MAX_BACKLOG = 1024
"""Limits connections that wait to be accepted: a balancer may open hundreds at once."""

SHUTDOWN_TIMEOUT_S = 0.25
"""Time for responses that are being written when a listener closes, in seconds, and the same
again for cancelled handlers. A drain has waited for the requests in flight before."""


CLOSE_CHECK_INTERVAL_S = 0.01
"""Interval between checks for idle connections while a listener refuses requests, in seconds."""


class Listener:
    """HTTP server at one address.

    Args:
        handler: Handles a request.
        on_drop: Called with the reason when the server drops a connection.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        *,
        on_drop: Callable[[str], None] = lambda _reason: None,
    ) -> None:
        self._server = CallerServer(handler, on_drop=on_drop)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)

    def __repr__(self) -> str:
        return f"Listener({self.addresses!r})"

    @property
    def addresses(self) -> list[Any]:
        """Addresses of the listening sockets, as returned by ``getsockname``."""
        return self._runner.addresses

    @property
    def connections(self) -> list[CallerConnection]:
        """Open connections of callers."""
        return self._server.caller_connections

    async def open(self, address: str) -> Self:
        """Listen at an ``ip:port``.

        Raises:
            OSError: The address is in use.
        """
        host, _, port = address.rpartition(":")
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port), backlog=MAX_BACKLOG).start()
        return self

    async def refuse_new(self) -> None:
        """Refuse new connections and requests; requests that are being read are still answered.

        With a steady stream of callers there would otherwise always be a request in flight,
        also when the process ends.
        """
        for site in list(self._runner.sites):
            await site.stop()
        self._server.pre_shutdown()
        # A connection that has just been accepted becomes idle a moment later.
        while any(connection.idle for connection in self.connections):
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
            self._server.pre_shutdown()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._runner.cleanup()
