"""Connections to the store of an owner that reads the ownership of all halls, over sockets."""

from __future__ import annotations

import asyncio
from statistics import median
from struct import Struct

from aiohttp import web

from linkspan.clock import steady
from linkspan.host.candidate import HOME_READ_WAIT_S
from linkspan.host.daemon import MAX_STORE_CONNECTIONS, open_session
from linkspan.platform.store import StoreClient
from linkspan.store.follower import Follower
from linkspan.store.types import Partition, Record
from tests.standins.platform_http import serving

HALLS = 12
OTHER_PARTITIONS = ("jobs", "executors", "operator")
APPENDS = 20
PAGE_HEADER = Struct(">QQ")

MAX_APPEND_S = 0.05
"""Time for an append to a store that answers at once, beside other tests."""


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    """Answer appends at once, and reads after the time that they wait for a record."""
    if request.path.endswith("log-append"):
        await request.read()
        return web.json_response({"offset": 1, "end": 2})
    await asyncio.sleep(int(request.query.get("waitMs", 0)) / 1000)
    return web.Response(body=PAGE_HEADER.pack(0, 0))


# Guards against appends that wait for a connection while reads of other halls wait for records.


async def test_appends_do_not_wait_for_reads_of_other_halls() -> None:
    async with serving(_answer) as address, open_session(MAX_STORE_CONNECTIONS) as session:
        store = StoreClient(session, address)
        partitions = [Partition("owners", hall) for hall in range(HALLS)]
        partitions += [Partition(topic) for topic in OTHER_PARTITIONS]
        followers = [Follower(store, p, on_entries=lambda _entries: None) for p in partitions]
        for follower in followers[:HALLS]:
            follower.set_pace(pause_s=0.0, wait_s=HOME_READ_WAIT_S)
        reading = [asyncio.create_task(follower.run()) for follower in followers]
        await asyncio.sleep(2 * HOME_READ_WAIT_S)
        took_s = []
        for _ in range(APPENDS):
            began = steady()
            await store.append(Partition("progress"), [Record(b"x")])
            took_s.append(steady() - began)
            await asyncio.sleep(HOME_READ_WAIT_S / APPENDS)
        for task in reading:
            task.cancel()
        await asyncio.gather(*reading, return_exceptions=True)
    assert median(took_s) <= MAX_APPEND_S
