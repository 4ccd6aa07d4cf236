"""Base of the gateway and the scheduler: peers, host list and configuration."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import secrets
import signal
import time
from typing import TYPE_CHECKING, Any

import aiohttp
from reactivex.subject import BehaviorSubject, Subject

from linkspan.config.store import CONFIG_STREAM, ConfigState, ConfigStore, encode_state
from linkspan.errors import LogGap, LogUnavailable, Unreachable
from linkspan.events import Event, EventLog
from linkspan.peer.directory import PeerDirectory
from linkspan.peer.link import PeerLink
from linkspan.peer.messages import ConfigAnswer, FetchConfig, Heartbeat
from linkspan.peer.server import PeerServer
from linkspan.runtime.log_tail import LogTail
from linkspan.runtime.metrics import Metrics
from linkspan.services.http import HttpHosts, HttpLog
from linkspan.settings import loggable_settings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from linkspan.peer.messages import Message
    from linkspan.services.ports import Host, HostsPort, LogPort
    from linkspan.settings import DaemonSettings

MAX_REMOTE_HEARTBEATS = 2
"""Maximum number of peers in other halls that get each heartbeat; they are chosen at random."""


def split_address(address: str) -> tuple[str, int]:
    """Split an ``ip:port`` into its host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Node:
    """Functions that a gateway and a scheduler have in common.

    Args:
        role: ``gateway`` or ``scheduler``.
        settings: The settings in force.
    """

    def __init__(self, role: str, settings: DaemonSettings) -> None:
        self.role = role
        self.settings = settings
        self.name = ""
        self.address = ""
        self.events = EventLog(role, level=settings.log_level)
        self.metrics = Metrics()
        self.directory = PeerDirectory(silence_s=settings.peer_silence_s)
        self.config = ConfigStore()
        self.config_states: BehaviorSubject[ConfigState] = BehaviorSubject(self.config.state)
        self.host_lists: BehaviorSubject[tuple[Host, ...]] = BehaviorSubject(())
        self.heartbeats: Subject[Heartbeat] = Subject()
        self.disconnected_addresses: Subject[str] = Subject()
        self.draining = False
        self.session: aiohttp.ClientSession
        self.log: LogPort
        self._links: dict[str, PeerLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._stop = asyncio.Event()
        self._crashed = False
        self._config_fetch: asyncio.Task[None] | None = None
        self._handlers: dict[type, Callable[[Any], Awaitable[Message | None]]] = {}
        self.complete_heartbeat: Callable[[Heartbeat], Heartbeat] = lambda heartbeat: heartbeat
        self.register_handler(Heartbeat, self._on_heartbeat)
        self.register_handler(FetchConfig, self._on_fetch_config)

    def __repr__(self) -> str:
        return f"Node({self.name!r}, peers={len(self.directory.all())}, config={self.config!r})"

    # Lifecycle.

    async def start(self) -> None:
        """Bind the listener for peers and start the common tasks."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=256))
        self.log = HttpLog(self.session, self.settings.log)
        server = PeerServer(self._dispatch, on_bad_peer=self._on_bad_peer)
        self.address = await server.start(*split_address(self.settings.peer_listen))
        host = self.settings.name or self.address
        self.name = f"{host}#{secrets.token_hex(4)}"
        self.events.bind(host=self.name, hall=self.settings.hall)
        self.events.write(Event.STARTED, settings=loggable_settings(self.settings), pid=os.getpid())
        self._server = server
        self.spawn(self._poll_hosts())
        self.spawn(self._follow_config())
        self.spawn(self._send_heartbeats())

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task until the daemon stops; an exception in it stops the daemon."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_end)

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.events.write(Event.CRASHED, error=repr(task.exception()))
        self._crashed = True
        self._stop.set()

    def request_stop(self) -> None:
        """Start a planned stop; repeated calls have no effect."""
        if not self._stop.is_set():
            self.draining = True
            self.events.write(Event.DRAINING)
            self._stop.set()

    async def wait_for_stop(self) -> None:
        """Wait until a planned stop is requested or a task fails."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        await self._stop.wait()

    async def close(self) -> int:
        """Cancel all tasks, close all connections and return the process's exit code."""
        for task in list(self._tasks):
            task.remove_done_callback(self._on_task_end)
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.stop()
        for link in self._links.values():
            await link.close()
        await self.session.close()
        self.events.write(Event.STOPPED)
        return 1 if self._crashed else 0

    # Peers.

    def register_handler(
        self, kind: type, handler: Callable[[Any], Awaitable[Message | None]]
    ) -> None:
        """Respond to messages of a type with the handler's result."""
        self._handlers[kind] = handler

    async def request(self, address: str, message: Message, *, timeout_s: float) -> Message:
        """Send a request to a peer and return its response.

        Raises:
            Unreachable: The peer did not respond; it may still have acted on the request.
            ConnectionRefusedError: Nothing listens at the address, so no peer has acted.
        """
        return await self._link(address).ask(message, timeout_s=timeout_s)

    def _link(self, address: str) -> PeerLink:
        if address not in self._links:
            self._links[address] = PeerLink(address)
        return self._links[address]

    async def _dispatch(self, message: Message) -> Message | None:
        handler = self._handlers.get(type(message))
        return await handler(message) if handler is not None else None

    def _on_bad_peer(self, reason: str) -> None:
        self.events.write(Event.PEER_BAD, reason=reason)

    async def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.directory.record_heartbeat(heartbeat, time.monotonic())
        self.heartbeats.on_next(heartbeat)
        if heartbeat.config > self.config.version:
            self._config_fetch = self._config_fetch or asyncio.create_task(
                self._fetch_config_from(heartbeat.address)
            )

    async def _fetch_config_from(self, address: str) -> None:
        try:
            response = await self.request(address, FetchConfig(), timeout_s=2.0)
            if isinstance(response, ConfigAnswer) and self.config.adopt(response.state):
                self.events.write(Event.CONFIG_FROM_PEER, version=self.config.version)
                self._publish_config()
        except (Unreachable, ConnectionRefusedError):
            pass
        finally:
            self._config_fetch = None

    async def _on_fetch_config(self, message: FetchConfig) -> Message:
        return ConfigAnswer(self.config.state)

    async def _send_heartbeats(self) -> None:
        while True:
            heartbeat = self.complete_heartbeat(
                Heartbeat(
                    name=self.name,
                    role=self.role,
                    hall=self.settings.hall,
                    address=self.address,
                    config=self.config.version,
                    draining=self.draining,
                )
            )
            addresses = self._heartbeat_addresses()
            await asyncio.gather(
                *(self._send_heartbeat_to(address, heartbeat) for address in addresses)
            )
            alive = self.directory.live(time.monotonic())
            self.metrics.peers.set({}, len(alive))
            await asyncio.sleep(self.settings.heartbeat_s * random.uniform(0.9, 1.1))

    def _heartbeat_addresses(self) -> set[str]:
        near: set[str] = set(filter(None, self.settings.seeds.split(",")))
        far: set[str] = set()
        for host in self.host_lists.value:
            if host.role in ("gateway", "scheduler"):
                (near if host.hall == self.settings.hall else far).add(host.address)
        for peer in self.directory.all():
            (near if peer.heartbeat.hall == self.settings.hall else far).add(peer.heartbeat.address)
        far -= near
        chosen = random.sample(sorted(far), min(MAX_REMOTE_HEARTBEATS, len(far)))
        return (near | set(chosen)) - {self.address}

    async def _send_heartbeat_to(self, address: str, heartbeat: Heartbeat) -> None:
        try:
            async with asyncio.timeout(self.settings.heartbeat_s):
                await self._link(address).send(heartbeat)
        except ConnectionRefusedError:
            # Nothing listens at the address, so the peer's process has ended.
            self._drop_peers_at(address)
        except (Unreachable, OSError, TimeoutError):
            pass

    def _drop_peers_at(self, address: str) -> None:
        for peer in self.directory.all():
            if peer.heartbeat.address == address:
                self.directory.drop(peer.heartbeat.name)
        self.disconnected_addresses.on_next(address)

    # Host list.

    async def _poll_hosts(self) -> None:
        source: HostsPort = HttpHosts(self.session, self.settings.hosts)
        down = False
        while True:
            try:
                self.host_lists.on_next(await source.hosts())
                down = False
            except Unreachable as error:
                if not down:
                    self.events.write(Event.HOSTS_DOWN, reason=str(error))
                down = True
            await asyncio.sleep(self.settings.hosts_poll_s)

    # Configuration.

    def _publish_config(self) -> None:
        version = self.config.version
        self.events.write(Event.CONFIG_IN_FORCE, version=version)
        self.metrics.config_version.set({}, version)
        self.config_states.on_next(self.config.state)

    async def _follow_config(self) -> None:
        tail = LogTail(self.log, self.events, CONFIG_STREAM)
        start = 0
        while True:
            start = max(start, self.config.next_offset)
            try:
                page = await tail.read(start)
            except LogGap as gap:
                start = gap.first
                continue
            if page is None:
                continue
            before = self.config.version
            for entry in page.entries:
                self.config.apply(entry.offset, entry.body)
            start = max(start, page.entries[-1].offset + 1 if page.entries else 0)
            if self.config.version != before:
                self._publish_config()

    async def snapshot_config(self) -> None:
        """Append the configuration in force to the log before its records expire."""
        with contextlib.suppress(LogUnavailable):
            await self.log.append(CONFIG_STREAM, encode_state(self.config.state))
