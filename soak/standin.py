"""Common parts of the stand-in processes: listeners, a control address and shutdown."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable

from aiohttp import web
from tests.standins.fault_proxy import LOOPBACK

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def listen(handler: Handler) -> str:
    """Serve on a free loopback port and return its address."""
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, 0, backlog=1024).start()
    return "{}:{}".format(*runner.addresses[0][:2])


async def serve(control: object, addresses: dict[str, str]) -> None:
    """Print the addresses to standard output and serve commands until standard input is closed.

    Args:
        control: Object whose public methods are the commands; each takes one argument.
        addresses: Addresses by name; the address for commands is added as ``control``.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        argument = json.loads(await request.read() or b"null")
        return web.json_response(getattr(control, request.path[1:])(argument))

    print(json.dumps({**addresses, "control": await listen(handle)}), flush=True)
    # The parent process keeps this standard input open until it exits.
    await asyncio.to_thread(sys.stdin.read)
