"""A host's first read: over slow links, with broken connections, with many who ask."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import aiohttp

from linkspan.events import EventLog
from linkspan.host.job_book import JobBook
from linkspan.platform.store import StoreClient
from tests.standins.platform_http import StoreServer, serving
from tests.standins.slow_link import SlowLink
from tests.standins.stored_jobs import fill_jobs

SILENCE_S = 0.3
"""Time without a byte after which these clients give a call up."""

LIMIT_S = 6.0
"""Time within which a read must be over: several times what its bytes take."""


@asynccontextmanager
async def _slow(server: StoreServer, bytes_per_s: float) -> AsyncIterator[tuple[JobBook, SlowLink]]:
    """Give the job book of a host behind a slow link, not yet at work."""
    async with serving(server.handle) as target, aiohttp.ClientSession() as session:
        link = SlowLink(target, bytes_per_s)
        async with link.serve() as address:
            client = StoreClient(session, address, timeout_s=SILENCE_S)
            yield JobBook(client, "life", EventLog("test")), link


async def _until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not done():
            await asyncio.sleep(0.01)


async def test_a_page_that_takes_longer_than_a_call_may_be_silent_is_read() -> None:
    """It was given up and asked for anew for ever: the host never knew a job."""
    server = StoreServer(page_keys=500)
    (*_, job_id) = fill_jobs(server.store, live=100)
    async with _slow(server, 200_000.0) as (book, link):
        work = asyncio.create_task(book.follower.run())
        began = time.monotonic()
        await _until(lambda: book.follower.ready)
        assert time.monotonic() - began > SILENCE_S, "the page is to take longer than that"
        entry, fresh = await book.look_up(job_id)
        work.cancel()
    assert entry and fresh
    assert link.passed < 350_000, "no byte is read twice"
