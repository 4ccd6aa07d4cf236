"""The stand-ins of the soak: what they must not do themselves."""

from __future__ import annotations

import asyncio

import aiohttp

from linkspan.platform.store import StoreClient
from linkspan.store.types import Partition, Record
from tests.standins.platform_http import StoreServer, serving

PLAIN = Partition("plain")


async def test_history_forgotten_during_a_read_does_not_shift_its_records() -> None:
    server = StoreServer()
    async with serving(server.handle) as address, aiohttp.ClientSession() as session:
        client = StoreClient(session, address)
        await client.append(PLAIN, [Record(b"a")])
        reading = asyncio.create_task(client.read(PLAIN, 1, wait_s=1.0))
        await asyncio.sleep(0.1)
        await client.append(PLAIN, [Record(b"b")])
        server.store.forget(PLAIN)
        page = await reading
    assert [entry.offset for entry in page.entries] == [1]
