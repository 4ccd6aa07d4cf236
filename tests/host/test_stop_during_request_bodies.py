"""A planned stop answers a request that is being received when the host refuses new ones."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from linkspan.host.callers.listener import Listener

HEAD = b"POST / HTTP/1.1\r\nHost: host.example\r\nContent-Length: 8\r\n\r\n"
BODY = b"12345678"

ANSWER_LIMIT_S = 1.0
"""Far longer than it takes to receive the rest of a request."""


@pytest.mark.parametrize("there", [len(HEAD) // 2, len(HEAD), len(HEAD) + len(BODY) // 2])
async def test_the_rest_of_a_request_is_read_while_new_ones_are_refused(there: int) -> None:
    """Guards against bytes that are read and discarded after that moment, with no answer sent."""

    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(body=await request.read())

    listener = await Listener(answer).open("127.0.0.1:0")
    address = listener.addresses[0][:2]
    _, idle = await asyncio.open_connection(*address)
    reader, writer = await asyncio.open_connection(*address)
    writer.write((HEAD + BODY)[:there])
    await asyncio.sleep(0.1)
    await listener.refuse_new()
    writer.write((HEAD + BODY)[there:])
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            assert (await reader.readuntil(BODY)).startswith(b"HTTP/1.1 200 ")
            assert await reader.read() == b""
    finally:
        idle.close()
        writer.close()
        await listener.close()


async def test_a_busy_connection_accepts_no_further_request() -> None:
    """Guards against connections that are told to close only if one of them is idle."""
    answered = asyncio.Event()

    async def answer(_request: web.BaseRequest) -> web.Response:
        await answered.wait()
        return web.Response(body=BODY)

    listener = await Listener(answer).open("127.0.0.1:0")
    reader, writer = await asyncio.open_connection(*listener.addresses[0][:2])
    writer.write(HEAD + BODY)
    await asyncio.sleep(0.1)
    await listener.refuse_new()
    answered.set()
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            await reader.readuntil(BODY)
            assert await reader.read() == b""
    finally:
        writer.close()
        await listener.close()
