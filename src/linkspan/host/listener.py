"""A host's listeners."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Self

from aiohttp import web

from linkspan.host.connections import CallerServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from linkspan.host.connections import CallerConnection

BACKLOG = 1024
"""Connections that wait to be accepted: a balancer may open hundreds at once."""

STOP_S = 0.25
"""Time for answers that are being written when a listener ends, and once more for what
is given up then. Whole requests were waited for before."""


CLOSE_TICK_S = 0.01
"""Time between looks for idle connections while a listener takes nothing new."""


class Listener:
    """Serves HTTP at one address.

    Args:
        handler: Answers a request.
        on_drop: Called with the reason when a connection that went silent is closed.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        *,
        on_drop: Callable[[str], None] = lambda _reason: None,
    ) -> None:
        self._server = CallerServer(handler, on_drop=on_drop)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=STOP_S)

    def __repr__(self) -> str:
        return f"Listener({self.addresses!r})"

    @property
    def addresses(self) -> list[Any]:
        """Where it listens, as the system names sockets."""
        return self._runner.addresses

    @property
    def connections(self) -> list[CallerConnection]:
        """Callers' open connections."""
        return self._server.caller_connections

    async def open(self, address: str) -> Self:
        """Listen at an ``ip:port``.

        Raises:
            OSError: The address is taken.
        """
        host, _, port = address.rpartition(":")
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port), backlog=BACKLOG).start()
        return self

    async def refuse_new(self) -> None:
        """Take no connection and no request from now on; what was read whole goes on.

        Callers that keep coming would otherwise have a request in flight at any moment,
        also at the one at which the process ends.
        """
        for site in list(self._runner.sites):
            await site.stop()
        self._server.pre_shutdown()
        # One that was accepted just now waits for its first request a moment later.
        while any(connection.idle for connection in self.connections):
            await asyncio.sleep(CLOSE_TICK_S)
            self._server.pre_shutdown()

    async def close(self) -> None:
        """Close all connections and stop listening."""
        await self._runner.cleanup()
