"""A host's listeners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BACKLOG = 1024
"""Connections that wait to be accepted: a balancer may open hundreds at once."""


async def listen(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], address: str
) -> web.ServerRunner:
    """Serve HTTP at an ``ip:port``; the runner's ``cleanup`` ends it."""
    host, _, port = address.rpartition(":")
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
    return runner
