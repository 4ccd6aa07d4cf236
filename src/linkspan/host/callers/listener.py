"""HTTP listeners of a host."""

from __future__ import annotations

import asyncio
import ipaddress
import socket
from typing import TYPE_CHECKING, Any, Self

from linkspan.host.callers.limits import RECEIVE_BUFFER_BYTES
from linkspan.host.callers.options import ServerOptions
from linkspan.host.callers.server import CallerServer

if TYPE_CHECKING:
    from linkspan.host.callers.connection import CallerConnection
    from linkspan.host.callers.server import Handler

MAX_BACKLOG = 1024
"""Limits connections that wait to be accepted: a balancer may open hundreds at once."""

MAX_ACCEPTS_A_TURN = 64
"""Limits connections that are accepted in one turn of the event loop."""

SHUTDOWN_TIMEOUT_S = 0.25
"""Time for responses that are being written when a listener closes, in seconds. A drain has waited
for the requests in flight before."""

CLOSE_CHECK_INTERVAL_S = 0.01
"""Interval between checks for idle connections while a listener refuses requests, in seconds."""


_DEFAULT_OPTIONS = ServerOptions()


class Listener:
    """HTTP server at one address.

    Args:
        handler: Handles a request.
        options: Limits on callers, and who is told of refusals.
    """

    def __init__(self, handler: Handler, options: ServerOptions = _DEFAULT_OPTIONS) -> None:
        self._connections = CallerServer(handler, options)
        self._server: asyncio.Server | None = None

    def __repr__(self) -> str:
        return f"Listener({self.addresses!r})"

    @property
    def addresses(self) -> list[Any]:
        """Addresses of the listening sockets, as returned by ``getsockname``."""
        return [each.getsockname() for each in self._server.sockets] if self._server else []

    @property
    def connections(self) -> list[CallerConnection]:
        """Open connections of callers."""
        return self._connections.connections

    async def open(self, address: str) -> Self:
        """Listen at an ``ip:port``.

        Raises:
            OSError: The address is in use.
        """
        ip, _, port = address.rpartition(":")
        listening = _bound_socket(ip.strip("[]"), int(port))
        loop = asyncio.get_running_loop()
        # The event loop takes the length of the queue as its limit of accepts in a turn, too.
        self._server = await loop.create_server(
            self._connections, sock=listening, backlog=MAX_ACCEPTS_A_TURN
        )
        listening.listen(MAX_BACKLOG)
        return self

    async def refuse_new(self) -> None:
        """Refuse new connections and requests; requests that are being read are still answered.

        With a steady stream of callers there would otherwise always be a request in flight,
        also when the process ends.
        """
        if self._server is not None:
            self._server.close()
        self._connections.refuse_next()
        # A connection that has just been accepted becomes idle a moment later.
        while any(connection.idle for connection in self.connections):
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
            self._connections.refuse_next()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        await self._connections.close(SHUTDOWN_TIMEOUT_S)


def _bound_socket(ip: str, port: int) -> socket.socket:
    """Return a socket that is bound to an address, for a server.

    Raises:
        OSError: The address is in use.
    """
    is_ipv6 = ipaddress.ip_address(ip).version == 6
    bound = socket.socket(socket.AF_INET6 if is_ipv6 else socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit it. By default the kernel would grow it to megabytes.
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        bound.bind((ip, port))
    except OSError:
        bound.close()
        raise
    return bound
