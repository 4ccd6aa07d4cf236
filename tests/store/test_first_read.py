"""A host's first read: over slow links, with broken connections, with many who ask."""

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
"""Time without a byte after which these clients give a call up."""

LIMIT_S = 6.0
"""Time within which a read must be over: several times what its bytes take."""


@asynccontextmanager
async def _slow(
    server: StoreServer, bytes_per_s: float
) -> AsyncIterator[tuple[JobRegistry, SlowLink]]:
    """Give the job book of a host behind a slow link, not yet at work."""
    async with serving(server.handle) as target, aiohttp.ClientSession() as session:
        link = SlowLink(target, bytes_per_s)
        async with link.serve() as address:
            client = StoreClient(session, address, timeout_s=SILENCE_S)
            yield JobRegistry(client, "life", EventLog("test")), link


async def _until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not done():
            await asyncio.sleep(0.01)


async def test_a_page_that_takes_longer_than_a_call_may_be_silent_is_read() -> None:
    """It was given up and asked for anew for ever: the host never knew a job."""
    server = StoreServer(page_keys=500)
    (*_, job_id) = fill_jobs(server.store, live=100)
    async with _slow(server, 200_000.0) as (job_registry, link):
        work = asyncio.create_task(job_registry.follower.run())
        began = time.monotonic()
        await _until(lambda: job_registry.follower.ready)
        assert time.monotonic() - began > SILENCE_S, "the page is to take longer than that"
        entry, fresh = await job_registry.look_up(job_id)
        work.cancel()
    assert entry and fresh
    assert link.passed < 350_000, "no byte is read twice"


class _FirstHeld(StoreServer):
    """Holds the first answer of newest keys back until it is let go."""

    def __init__(self) -> None:
        super().__init__(page_keys=500)
        self.let_go = asyncio.Event()
        self._held = False

    async def _log_newest(
        self, request: web.BaseRequest, place: Partition, link: StoreLink
    ) -> web.Response:
        answer = await super()._log_newest(request, place, link)
        if not self._held:
            self._held = True
            await self.let_go.wait()
        return answer


async def test_all_who_ask_share_one_first_read() -> None:
    """Each began a read of its own, and the oldest answer was applied last."""
    server = _FirstHeld()
    keyed = Partition("things", keyed=True)
    server.store.put(keyed, b"a", b"old")
    state: dict[bytes, bytes] = {}

    def take(entries: tuple[Entry, ...]) -> None:
        state.update({entry.key: entry.value for entry in entries})

    async with serving(server.handle) as address, aiohttp.ClientSession() as session:
        follower = Follower(
            StoreClient(session, address, timeout_s=LIMIT_S),
            keyed,
            on_entries=take,
            on_reset=lambda entries, _end: take(entries),
        )
        work = asyncio.create_task(follower.run())
        asking = [asyncio.create_task(follower.sync()) for _ in range(20)]
        await asyncio.sleep(0.2)
        server.store.put(keyed, b"a", b"new")
        await asyncio.sleep(0.2)
        server.let_go.set()
        async with asyncio.timeout(LIMIT_S):
            await asyncio.gather(*asking)
        listings = [name for name, _ in server.asked if name == "log-newest"]
        reads = [name for name, query in server.asked if name == "log-read"]
        work.cancel()
    assert state == {b"a": b"new"}
    assert len(listings) == 1
    assert len(reads) <= 4


async def test_a_read_that_broke_off_goes_on_after_the_last_page() -> None:
    """Each try began with the first page, so that a long listing was never whole."""
    server = StoreServer(page_keys=20)
    job_ids = fill_jobs(server.store, live=100)
    async with _slow(server, 1_000_000.0) as (job_registry, link):
        for broken_at in (60_000, 110_000, 160_000):
            link.reset_at(broken_at)
        work = asyncio.create_task(job_registry.follower.run())
        await _until(lambda: job_registry.follower.ready)
        work.cancel()
    pages = [query for name, query in server.asked if name == "log-newest"]
    assert [query for query in pages if "dependsOn" not in query] == pages[:1]
    assert len(pages) == 2 * len(job_ids) / 20 + 3, "only pages that broke off are asked twice"
    assert all(job_registry.catalog.get(job_id) for job_id in job_ids)


class _ChangedBetweenPages(StoreServer):
    """Changes its records after the first page of keys was answered."""

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


async def test_what_is_read_by_keys_is_told_as_of_one_offset() -> None:
    """Pages of keys are no snapshot: the first told of what the last had overtaken."""
    keyed = Partition("things", keyed=True)
    server = _ChangedBetweenPages(keyed)
    told: list[tuple[dict[bytes, bytes], int]] = []
    async with serving(server.handle) as address, aiohttp.ClientSession() as session:
        follower = Follower(
            StoreClient(session, address),
            keyed,
            on_entries=lambda _entries: None,
            on_reset=lambda entries, end: told.append(({e.key: e.value for e in entries}, end)),
        )
        async with asyncio.timeout(LIMIT_S):
            await follower.sync()
    assert told == [({b"a": b"new", b"b": b"", b"c": b"old", b"d": b"new"}, 7)]
    assert follower.ready and follower.offset == 7
