"""What the stand-ins' processes share: sockets, a control address, and an end."""

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
    """Tell the addresses on standard output, take commands, end with standard input.

    Args:
        control: Its public methods are the commands; each takes one argument.
        addresses: Addresses by name; that of the commands is added.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        argument = json.loads(await request.read() or b"null")
        return web.json_response(getattr(control, request.path[1:])(argument))

    print(json.dumps({**addresses, "control": await listen(handle)}), flush=True)
    # Whoever started this process keeps its standard input open as long as it lives.
    await asyncio.to_thread(sys.stdin.read)
