"""Checks a host's first read over slow links, broken connections and for many readers.

A host answers for no job before its first read of the newest records ends. The read can take
longer than a timeout without data allows, break off between pages, be requested by many callers
at once, and return pages of different times.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import aiohttp
from aiohttp import web

from linkspan.events import EventLog
from linkspan.jobs.job_registry import JobRegistry
from linkspan.platform.store import StoreClient
from linkspan.store.follower import Follower
from linkspan.store.types import Entry, Partition
from tests.standins.memory_store import StoreLink
from tests.standins.platform_http import StoreServer, serving
from tests.standins.slow_link import SlowLink
from tests.standins.stored_jobs import fill_jobs

SILENCE_S = 0.3
"""Time without a byte after which the clients here abandon a call."""

LIMIT_S = 6.0
"""Limit on the duration of a read: several times what its bytes need."""


@asynccontextmanager
async def _slow(
    server: StoreServer, bytes_per_s: float
) -> AsyncIterator[tuple[JobRegistry, SlowLink]]:
    """Yield the job registry of a host behind a slow link, before it starts to read."""
    async with serving(server.handle) as target, aiohttp.ClientSession() as session:
        link = SlowLink(target, bytes_per_s)
        async with link.serve() as address:
            client = StoreClient(session, address, timeout_s=SILENCE_S)
            yield JobRegistry(client, "life", EventLog("test")), link


async def _until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not done():
            await asyncio.sleep(0.01)


async def test_a_page_that_takes_longer_than_the_silence_timeout_is_read() -> None:
    """Checks that a timeout applies to silence: else the page is requested again for ever."""
    server = StoreServer(page_keys=500)
    (*_, job_id) = fill_jobs(server.store, live=100)
    async with _slow(server, 200_000.0) as (job_registry, link):
        running = asyncio.create_task(job_registry.follower.run())
        began = time.monotonic()
        await _until(lambda: job_registry.follower.ready)
        assert time.monotonic() - began > SILENCE_S, "the page must take longer than the timeout"
        entry, fresh = await job_registry.look_up(job_id)
        running.cancel()
    assert entry and fresh
    assert link.passed < 350_000, "no byte is read twice"


class _FirstAnswerWithheld(StoreServer):
    """Withholds the first answer with the newest records until ``release`` is set."""

    def __init__(self) -> None:
        super().__init__(page_keys=500)
        self.release = asyncio.Event()
        self._withheld = False

    async def _log_newest(
        self, request: web.BaseRequest, place: Partition, link: StoreLink
    ) -> web.Response:
        answer = await super()._log_newest(request, place, link)
        if not self._withheld:
            self._withheld = True
            await self.release.wait()
        return answer


async def test_concurrent_readers_share_one_first_read() -> None:
    """Checks that readers share one read: else the oldest answer may be applied last."""
    server = _FirstAnswerWithheld()
    keyed = Partition("things", keyed=True)
    server.store.put(keyed, b"a", b"old")
    state: dict[bytes, bytes] = {}

    def apply(entries: tuple[Entry, ...]) -> None:
        state.update({entry.key: entry.value for entry in entries})

    async with serving(server.handle) as address, aiohttp.ClientSession() as session:
        follower = Follower(
            StoreClient(session, address, timeout_s=LIMIT_S),
            keyed,
            on_entries=apply,
            on_reset=lambda entries, _end: apply(entries),
        )
        running = asyncio.create_task(follower.run())
        syncs = [asyncio.create_task(follower.sync()) for _ in range(20)]
        await asyncio.sleep(0.2)
        server.store.put(keyed, b"a", b"new")
        await asyncio.sleep(0.2)
        server.release.set()
        async with asyncio.timeout(LIMIT_S):
            await asyncio.gather(*syncs)
        page_requests = [name for name, _ in server.asked if name == "log-newest"]
        read_requests = [name for name, query in server.asked if name == "log-read"]
        running.cancel()
    assert state == {b"a": b"new"}
    assert len(page_requests) == 1
    assert len(read_requests) <= 4


async def test_a_read_that_broke_off_continues_after_the_last_page() -> None:
    """Checks that a retry does not start at the first page: else a long read never ends."""
    server = StoreServer(page_keys=20)
    job_ids = fill_jobs(server.store, live=100)
    async with _slow(server, 1_000_000.0) as (job_registry, link):
        for broken_at in (60_000, 110_000, 160_000):
            link.reset_at(broken_at)
        running = asyncio.create_task(job_registry.follower.run())
        await _until(lambda: job_registry.follower.ready)
        running.cancel()
    pages = [query for name, query in server.asked if name == "log-newest"]
    assert [query for query in pages if "dependsOn" not in query] == pages[:1]
    assert len(pages) == 2 * len(job_ids) / 20 + 3, "only pages that broke off are requested twice"
    assert all(job_registry.catalog.get(job_id) for job_id in job_ids)


class _ChangedBetweenPages(StoreServer):
    """Changes its records after its answer with the first page of keys."""

    def __init__(self, partition: Partition) -> None:
        super().__init__(page_keys=2)
        self._place = partition
        for key in (b"a", b"b", b"c", b"d"):
            self.store.put(partition, key, b"old")

    async def _log_newest(
        self, request: web.BaseRequest, place: Partition, link: StoreLink
    ) -> web.Response:
        answer = await super()._log_newest(request, place, link)
        if "dependsOn" not in request.query:
            self.store.put(place, b"a", b"new")
            self.store.put(place, b"b", b"")
            self.store.put(place, b"d", b"new")
        return answer


async def test_a_read_by_keys_returns_the_state_at_one_offset() -> None:
    """Checks that pages read at different times are brought to the state at one offset."""
    keyed = Partition("things", keyed=True)
    server = _ChangedBetweenPages(keyed)
    resets: list[tuple[dict[bytes, bytes], int]] = []
    async with serving(server.handle) as address, aiohttp.ClientSession() as session:
        follower = Follower(
            StoreClient(session, address),
            keyed,
            on_entries=lambda _entries: None,
            on_reset=lambda entries, end: resets.append(({e.key: e.value for e in entries}, end)),
        )
        async with asyncio.timeout(LIMIT_S):
            await follower.sync()
    assert resets == [({b"a": b"new", b"b": b"", b"c": b"old", b"d": b"new"}, 7)]
    assert follower.ready and follower.offset == 7
