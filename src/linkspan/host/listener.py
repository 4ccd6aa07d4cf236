"""A host's listeners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from linkspan.host.connections import CallerServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BACKLOG = 1024
"""Connections that wait to be accepted: a balancer may open hundreds at once."""

STOP_S = 0.25
"""Time for answers that are being written when a listener ends, and once more for what
is given up then. Whole requests were waited for before."""


async def listen(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    address: str,
    *,
    on_drop: Callable[[str], None] = lambda _reason: None,
) -> web.ServerRunner:
    """Serve HTTP at an ``ip:port``; the runner's ``cleanup`` ends it.

    Args:
        handler: Answers a request.
        address: Where to listen.
        on_drop: Called with the reason when a connection that went silent is closed.
    """
    host, _, port = address.rpartition(":")
    server = CallerServer(handler, on_drop=on_drop)
    runner = web.ServerRunner(server, shutdown_timeout=STOP_S)
    await runner.setup()
    await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
    return runner
