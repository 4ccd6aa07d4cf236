"""The busy hall with the platform's codecs and HTTP clients, in virtual time."""

from __future__ import annotations

from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import aiohttp
from tests.standins.executor_http import ExecutorFront
from tests.standins.platform_http import StoreServer, serving

from bench._busy_hall import BusyHall
from linkspan.platform.executors import ExecutorClient
from linkspan.platform.store import StoreClient
from linkspan.shard._context import Executors
from linkspan.shard.messages import ExecutorReport, PaceOrder, StartAnswer, StartOrder, StopOrder
from linkspan.store.types import Store

PAGE_KEYS = 500
"""Number of keys per page of the platform's store."""

KEEPALIVE_TIMEOUT_S = 30.0
"""Time for which an idle connection is kept open, as in the daemon."""


@dataclass
class HttpHall(BusyHall):
    """A busy hall whose store and executors are reached through servers on loopback.

    Executors keep their names, so that the digest of orders does not depend on ports.

    Attributes:
        ports: Address of each executor's server, by executor name.
    """

    ports: dict[str, str] = field(default_factory=dict)

    async def play(self, seconds: float) -> None:
        async with AsyncExitStack() as stack:
            server = StoreServer(page_keys=PAGE_KEYS)
            server.store = self.store
            self._store_address = await stack.enter_async_context(serving(server.handle))
            front = ExecutorFront(self)
            for index in range(self.executors_per_hall):
                name = f"{self.halls[0]}-{index}:1"
                self.ports[name] = await stack.enter_async_context(serving(front.handle))
                front.addresses[int(self.ports[name].rpartition(":")[2])] = name
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT_S)
            self._session = await stack.enter_async_context(
                aiohttp.ClientSession(
                    connector=connector,
                    timeout=aiohttp.ClientTimeout(total=None),
                    auto_decompress=False,
                    cookie_jar=aiohttp.DummyCookieJar(),
                )
            )
            await super().play(seconds)
            for name in list(self.hosts):
                self.kill_host(name)

    def store_link(self, host: str) -> Store:
        return StoreClient(self._session, self._store_address)

    def link(self, host: str, token: int) -> Executors:
        return HttpLink(self, token, self._session)


class HttpLink:
    """Link that reaches executors by name over HTTP."""

    def __init__(self, world: HttpHall, token: int, session: aiohttp.ClientSession) -> None:
        self._world = world
        self._client = ExecutorClient(session, token)

    async def start(self, address: str, order: StartOrder, *, until_s: float) -> StartAnswer:
        self._world.record_order(address, order)
        return await self._client.start(self._world.ports[address], order, until_s=until_s)

    async def stop(self, address: str, order: StopOrder) -> bool:
        self._world.record_order(address, order)
        return await self._client.stop(self._world.ports[address], order)

    async def pace(self, address: str, order: PaceOrder) -> bool:
        self._world.record_order(address, order)
        return await self._client.pace(self._world.ports[address], order)

    async def renew(
        self,
        address: str,
        executor_id: str,
        *,
        acknowledged: int,
        until_s: float | None,
        wait_s: float,
    ) -> ExecutorReport:
        return await self._client.renew(
            self._world.ports[address],
            executor_id,
            acknowledged=acknowledged,
            until_s=until_s,
            wait_s=wait_s,
        )
