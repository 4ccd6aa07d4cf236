"""The host daemon: one process a host, entry and shard owner in one loop."""

from __future__ import annotations

import asyncio
import gc
import secrets
import signal
import time
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from linkspan.events import Event, EventLog
from linkspan.host.candidate import Candidate
from linkspan.host.front import Front
from linkspan.host.job_book import JobBook
from linkspan.host.registry import ConfigurationWatch, ExecutorRegistry
from linkspan.host.shards import ShardChooser
from linkspan.platform.executors import ExecutorClient
from linkspan.platform.jobs import CallerBodies
from linkspan.platform.readiness import READINESS_PATH
from linkspan.platform.records import configuration_from_wire, executor_from_wire
from linkspan.platform.settings import read_settings
from linkspan.platform.store import (
    CONFIG_KEY,
    CONFIG_RECORDS,
    EXECUTOR_RECORDS,
    StoreClient,
)
from linkspan.shard.tenure import Tenure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from linkspan.host.settings import HostSettings
    from linkspan.shard.ownership import Owner
    from linkspan.shard.summary import HallSummary

CONNECTIONS_PER_PEER = 12
"""Most connections to one executor or to the store: a look that waits, and orders
beside it. An executor takes 64 from all hosts together."""

KEEP_ALIVE_S = 60.0
"""Idle time after which a connection is closed; each new one costs a handshake."""

OWNER_LISTING_PAUSE_S = 0.5
"""Pause between readings of the executors' registrations where this host owns a
shard: an executor that drains is to be left within two seconds."""

LISTING_PAUSE_S = 2.5
"""The same where it only chooses the shard of new jobs."""

OWNER_JOBS_PAUSE_S = 0.02
"""Pause between readings of the job records by an owner: jobs are to start within
tens of milliseconds."""

JOBS_PAUSE_S = 1.0
"""The same elsewhere; callers' questions read at once."""

STORE_LOST_S = 1.5
"""Time without the store after which this host calls itself not ready: the
balancer's own limit is two seconds of silence."""

NOT_READY_NOTICE_S = 2.6
"""Time for the balancer to see that we are not ready: it asks once a second and
gives up after two misses."""

DRAIN_SHARE = 0.75
"""Share of the grace time after which the process ends, whatever is in flight."""


class HostDaemon:
    """Everything that one host runs.

    Args:
        settings: The host's settings.
        path: Where they were read from, to read them again.
    """

    def __init__(self, settings: HostSettings, path: Path) -> None:
        self._settings = settings
        self._path = path
        self._incarnation = secrets.token_hex(6)
        self._log = EventLog("host", stream="stdout")
        self._log.name(host=settings.name, hall=settings.hall, life=self._incarnation[:4])
        self._stop = asyncio.Event()
        self._draining = False
        self._candidates: list[Candidate] = []

    def __repr__(self) -> str:
        return f"HostDaemon({self._settings.name!r})"

    async def serve(self) -> None:
        """Run until SIGTERM."""
        self._log.write(Event.STARTED, settings=repr(self._settings), path=str(self._path))
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=CONNECTIONS_PER_PEER, keepalive_timeout=KEEP_ALIVE_S
        )
        session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            raise_for_status=False,
        )
        async with session:
            await self._serve(session)
        self._log.write(Event.STOPPED)

    async def _serve(self, session: aiohttp.ClientSession) -> None:
        settings = self._settings
        store = StoreClient(session, settings.store.address)
        self._book = JobBook(store, self._incarnation, self._log)
        self._registry = ExecutorRegistry(store, EXECUTOR_RECORDS, executor_from_wire, self._log)
        self._configuration = ConfigurationWatch(
            store, CONFIG_RECORDS, CONFIG_KEY, configuration_from_wire, self._log
        )
        self._front = Front(
            self._book,
            self._configuration,
            CallerBodies(),
            choose_shard=ShardChooser(settings, self._registry, self._summary_of).choose,
            host=settings.name,
            log=self._log,
        )
        self._make_candidates(session, store)
        runners = [
            await _listen(self._front.handle, settings.callers),
            await _listen(self._answer_readiness, settings.readiness),
        ]
        self._log.write(Event.LISTENING, callers=settings.callers)
        gc.freeze()
        await self._run(runners)

    def _make_candidates(self, session: aiohttp.ClientSession, store: StoreClient) -> None:
        settings = self._settings

        def make_tenure(owner: Owner, shard: int) -> Tenure:
            return Tenure(
                owner,
                settings=settings,
                store=store,
                executors=ExecutorClient(session, owner.token),
                book=self._book,
                registry=self._registry,
                configuration=self._configuration,
                shard=shard,
                summary_of=self._summary_of,
                log=self._log,
            )

        for shard in range(len(settings.halls)):
            self._candidates.append(
                Candidate(
                    store,
                    shard=shard,
                    host=settings.name,
                    incarnation=self._incarnation,
                    home=shard == settings.shard,
                    make_tenure=make_tenure,
                    log=self._log,
                )
            )
        self._registry.on_change = self._on_executors

    def _summary_of(self, shard: int) -> HallSummary | None:
        return self._candidates[shard].view.summary

    def _share_learning(self) -> None:
        for candidate in self._candidates:
            if candidate.tenure is None:
                continue
            for other in self._candidates:
                if other is not candidate and other.view.summary:
                    candidate.tenure.adopt(other.view.summary)

    def _on_executors(self) -> None:
        for candidate in self._candidates:
            if candidate.tenure:
                candidate.tenure.on_executors()

    async def _run(self, runners: list[web.ServerRunner]) -> None:
        tasks = [
            asyncio.create_task(work, name=name)
            for name, work in (
                ("configuration", self._configuration.follower.run()),
                ("jobs", self._book.follower.run()),
                ("jobs writer", self._book.writer.run()),
                ("executors", self._registry.follower.run()),
                ("pauses", self._adapt_pauses()),
                *((f"shard {i}", c.run()) for i, c in enumerate(self._candidates)),
            )
        ]
        stop = asyncio.create_task(self._stop.wait())
        done, _ = await asyncio.wait([*tasks, stop], return_when=asyncio.FIRST_COMPLETED)
        for task in done - {stop}:
            self._log.write(Event.CRASHED, task=task.get_name(), error=repr(task.exception()))
        if stop in done:
            await self._drain()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for runner in runners:
            await runner.cleanup()

    async def _adapt_pauses(self) -> None:
        """Read often where a decision waits for it, seldom elsewhere, to save calls."""
        while True:
            owning = any(candidate.tenure for candidate in self._candidates)
            self._book.follower.pause_s = OWNER_JOBS_PAUSE_S if owning else JOBS_PAUSE_S
            self._registry.follower.pause_s = OWNER_LISTING_PAUSE_S if owning else LISTING_PAUSE_S
            self._share_learning()
            if self._knows_all:
                for candidate in self._candidates:
                    candidate.enable()
            await asyncio.sleep(0.1)

    @property
    def _home(self) -> Candidate:
        return self._candidates[self._settings.shard]

    @property
    def _knows_all(self) -> bool:
        return (
            self._configuration.current is not None
            and self._book.follower.ready
            and self._registry.follower.ready
        )

    @property
    def _ready(self) -> bool:
        return (
            not self._draining
            and self._knows_all
            and time.monotonic() - self._home.heard_at < STORE_LOST_S
        )

    async def _answer_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._ready else 503)

    async def _drain(self) -> None:
        """Stop without cutting a request: leave the balancer, hand on, finish, end."""
        began = time.monotonic()
        self._draining = True
        self._front.draining = True
        self._log.write(Event.DRAINING, in_flight=self._front.in_flight)
        await asyncio.gather(*(candidate.hand_on() for candidate in self._candidates))
        end = began + DRAIN_SHARE * self._settings.bounds.grace_s
        notice = began + min(NOT_READY_NOTICE_S, DRAIN_SHARE * self._settings.bounds.grace_s)
        while time.monotonic() < end:
            if self._front.in_flight == 0 and time.monotonic() >= notice:
                return
            await asyncio.sleep(0.05)

    def _reload(self) -> None:
        try:
            settings = read_settings(self._path)
        except Exception as error:  # a bad file must not end the process
            self._log.write(Event.SETTINGS_RELOADED, error=str(error))
            return
        changed = settings != self._settings
        self._log.write(Event.SETTINGS_RELOADED, changed=changed)


async def _listen(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], address: str
) -> web.ServerRunner:
    host, _, port = address.rpartition(":")
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, host, int(port), backlog=1024).start()
    return runner
