"""Checks that silent connections to servers are found and that no write over them is doubled."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import AsyncExitStack

import aiohttp
import pytest

from linkspan.host.client_sockets import CALL_KEEPALIVE, open_call_socket
from linkspan.platform.store import StoreClient
from linkspan.store.types import Partition, Record
from linkspan.store.writer import MAX_BACKOFF_S, GroupWriter
from tests.standins.fault_proxy import LOOPBACK, FaultProxy
from tests.standins.platform_http import StoreServer, serving

PARTITION = Partition("a")

TIMEOUT_S = 0.3
"""Timeout of each call to the store in these tests."""

POOLED = 3
"""Idle connections when the silence begins. Each may fail one call."""


def test_the_kernel_probes_idle_connections_of_calls() -> None:
    """Guards against a pool of silent connections that fail one call after the other."""
    opened = open_call_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", (LOOPBACK, 0)))
    with opened:
        assert opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle_s = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        interval_s = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        probes = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        unacknowledged_ms = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert idle_s + probes * interval_s == CALL_KEEPALIVE.max_silence_s
    assert unacknowledged_ms == 1_000 * CALL_KEEPALIVE.max_silence_s


@pytest.mark.parametrize("lost", ["there", "back"])
async def test_a_write_over_silent_connections_takes_effect_once(lost: str) -> None:
    """Guards against records that are lost or appended twice, whichever direction is silent."""
    async with AsyncExitStack() as stack:
        server = StoreServer()
        proxy = FaultProxy(await stack.enter_async_context(serving(server.handle)))
        address = await stack.enter_async_context(proxy.serve())
        connector = aiohttp.TCPConnector(socket_factory=open_call_socket)
        session = await stack.enter_async_context(aiohttp.ClientSession(connector=connector))
        store = StoreClient(session, address, timeout_s=TIMEOUT_S)
        await asyncio.gather(*(store.read(PARTITION, 0) for _ in range(POOLED)))
        writer = GroupWriter(store, PARTITION, name="writer", epoch=1)
        run = asyncio.create_task(writer.run())
        began = time.monotonic()
        proxy.silence_open(lost)
        await writer.write([Record(b"one")])
        took_s = time.monotonic() - began
        await writer.write([Record(b"two")])
        run.cancel()
        page = await store.read(PARTITION, 0)
    assert [entry.value for entry in page.entries] == [b"one", b"two"]
    assert took_s < POOLED * (TIMEOUT_S + MAX_BACKOFF_S) + 1.0
