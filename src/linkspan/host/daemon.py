"""The host daemon: opens the sockets, handles signals and creates the clients of a host."""

from __future__ import annotations

import asyncio
import gc
import secrets
import signal
from dataclasses import replace
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from linkspan.errors import SettingsError, format_error
from linkspan.events import Event, EventLog
from linkspan.host.callers.limits import CONTROL_CAPACITY, CallerCapacity
from linkspan.host.callers.listener import Listener
from linkspan.host.callers.options import ServerOptions
from linkspan.host.client_sockets import open_call_socket
from linkspan.host.host import Adapter, Host
from linkspan.metrics import HostMetrics
from linkspan.platform._transmission import RecordingConnector
from linkspan.platform.advice import AdviceClient
from linkspan.platform.executors import ExecutorClient
from linkspan.platform.jobs import JsonCallerFormat
from linkspan.platform.machines import MachineClient
from linkspan.platform.readiness import READINESS_PATH
from linkspan.platform.records import OPERATOR_FORMAT, executor_from_wire
from linkspan.platform.settings import read_settings
from linkspan.platform.store import EXECUTOR_RECORDS, StoreClient

if TYPE_CHECKING:
    from collections import Counter
    from pathlib import Path

    from linkspan.host.callers.request import Request
    from linkspan.model.settings import HostSettings

MAX_CONNECTIONS_PER_PEER = 12
"""Limits connections to one executor: one for a poll that waits, the others for concurrent orders.
An executor accepts 64 from all hosts together."""

MAX_STORE_CONNECTIONS = 40
"""Limits connections to the store: one for each read that waits, of which there are as many as
halls and three more, the others for appends and other reads."""

KEEP_ALIVE_S = 60.0
"""Time after which an idle connection is closed, in seconds; each new one costs a handshake."""

NOT_READY_NOTICE_S = 2.6
"""Time for the balancer to notice that the host is not ready, in seconds: it checks once a
second and removes a host after two failed checks."""

MAX_DRAIN_SHARE = 0.75
"""Share of the grace period after which the process ends regardless of requests in flight."""

METRICS_PORT = 9464
"""Port of the metrics endpoint, also set in deploy/system.toml: the conventional port of
exporters, which is not among the ports that a deployment assigns."""

METRICS_PATH = "/metrics"


class HostDaemon:
    """Process that runs one host.

    Args:
        settings: Settings of the host.
        path: Path of the settings, for reloads.
        loaded_s: Time that the program took to load, in seconds.
    """

    def __init__(self, settings: HostSettings, path: Path, *, loaded_s: float = 0.0) -> None:
        self._settings = settings
        self._path = path
        self._loaded_s = loaded_s
        self._incarnation = secrets.token_hex(6)
        self._log = EventLog("host", stream="stdout")
        self._log.bind(host=settings.name, hall=settings.hall, life=self._incarnation[:4])
        self._metrics = HostMetrics()
        self._stop = asyncio.Event()
        self._listener_options = ServerOptions(
            on_refusals=self._log_refusals, on_error=self._log_failed_request
        )

    def __repr__(self) -> str:
        return f"HostDaemon({self._settings.name!r})"

    async def serve(self) -> None:
        """Run until SIGTERM."""
        self._log.write(Event.STARTED, settings=repr(self._settings), path=str(self._path))
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        async with (
            open_session(MAX_CONNECTIONS_PER_PEER) as session,
            open_session(MAX_STORE_CONNECTIONS) as store_session,
        ):
            await self._serve(_adapter(session, store_session, self._settings))
        self._log.write(Event.STOPPED)

    async def _serve(self, adapter: Adapter) -> None:
        settings = self._settings
        host = Host(
            settings,
            adapter,
            incarnation=self._incarnation,
            log=self._log,
            metrics=self._metrics,
            loaded_s=self._loaded_s,
        )
        self._host = host
        callers = Listener(host.front.handle, self._caller_options(host))
        listeners = [
            await callers.open(settings.callers),
            await self._control_listener().open(settings.readiness),
        ]
        listeners += await self._listen_for_scrapers()
        self._log.write(Event.LISTENING, callers=settings.callers, readiness=settings.readiness)
        # Objects from start-up stay alive; freezing spares the collector from scanning them.
        gc.freeze()
        await self._run(host, callers)
        for listener in listeners:
            await listener.close()

    def _caller_options(self, host: Host) -> ServerOptions:
        settings = self._settings
        return replace(
            self._listener_options,
            limits=lambda: host.configuration.limits,
            capacity=CallerCapacity.of_machine(settings.memory_mb, settings.max_fds),
        )

    async def _run(self, host: Host, callers: Listener) -> None:
        run = asyncio.create_task(host.run())
        stop = asyncio.create_task(self._stop.wait())
        done, _ = await asyncio.wait([run, stop], return_when=asyncio.FIRST_COMPLETED)
        if run in done and (error := run.exception()):
            self._log.write(Event.CRASHED, task="host", error=format_error(error))
        if stop in done:
            grace_s = self._settings.bounds.grace_s
            limit_s = MAX_DRAIN_SHARE * grace_s
            notice_s = min(NOT_READY_NOTICE_S, limit_s)
            await host.drain(notice_s=notice_s, limit_s=limit_s, refuse_new=callers.refuse_new)
        for task in (run, stop):
            task.cancel()
        await asyncio.gather(run, stop, return_exceptions=True)

    async def _listen_for_scrapers(self) -> list[Listener]:
        listener = self._control_listener()
        try:
            return [await listener.open(f"{self._settings.ip}:{METRICS_PORT}")]
        except OSError as error:
            # The readiness address serves the metrics, too.
            self._log.write(Event.METRICS_UNSERVED, port=METRICS_PORT, error=str(error))
            return []

    def _control_listener(self) -> Listener:
        """Return a listener for readiness checks and scrapes."""
        return Listener(
            self._answer_readiness, replace(self._listener_options, capacity=CONTROL_CAPACITY)
        )

    async def _answer_readiness(self, request: Request) -> web.Response:
        if request.path == METRICS_PATH:
            body, headers = self._metrics.page(request.headers.get("Accept", ""))
            return web.Response(body=body, headers=headers)
        if request.path != READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._host.ready else 503)

    def _log_refusals(self, counts: Counter[str]) -> None:
        for reason, count in counts.items():
            self._log.write(Event.CALLER_DROPPED, reason=reason, count=count)
            self._metrics.count("callers_refused", by=count, reason=reason)

    def _log_failed_request(self, error: Exception) -> None:
        self._log.write(Event.CALLER_REQUEST_FAILED, error=format_error(error))

    def _reload(self) -> None:
        """Validate the settings again and log whether they changed; changes need a restart."""
        try:
            settings = read_settings(self._path)
        except SettingsError as error:
            self._log.write(Event.SETTINGS_RELOADED, error=str(error))
            return
        self._log.write(Event.SETTINGS_RELOADED, changed=settings != self._settings)


def open_session(max_connections: int) -> aiohttp.ClientSession:
    """Return a session for calls.

    Args:
        max_connections: Limit of the connections to each address.
    """
    connector = RecordingConnector(
        limit=0,
        limit_per_host=max_connections,
        keepalive_timeout=KEEP_ALIVE_S,
        socket_factory=open_call_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def _adapter(
    session: aiohttp.ClientSession, store_session: aiohttp.ClientSession, settings: HostSettings
) -> Adapter:
    return Adapter(
        store=StoreClient(store_session, settings.store.address),
        executors=lambda token: ExecutorClient(session, token),
        machines=MachineClient(session, settings.machines) if settings.machines else None,
        policy=AdviceClient(session, settings.advice) if settings.advice else None,
        caller_format=JsonCallerFormat(),
        operator_format=OPERATOR_FORMAT,
        executor_records=EXECUTOR_RECORDS,
        decode_executor=executor_from_wire,
    )
