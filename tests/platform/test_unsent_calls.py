"""Checks which failed calls count as certainly not sent, over real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web

from linkspan.errors import StoreRefused, StoreUnanswered, Unconnected, Unreachable
from linkspan.platform._transmission import RecordingConnector
from linkspan.platform.executors import ExecutorClient
from linkspan.platform.store import StoreClient
from linkspan.shard.messages import StartOrder, TaskName
from linkspan.store.types import Partition
from tests.standins.platform_http import serving
from tests.standins.unresponsive import unresponsive_address

START = StartOrder("i-1", TaskName("5c0e7a21d94b36f8", 0, 1, 17), 2, "text", "")
JOBS = Partition("jobs", 0, keyed=True)
TIMEOUT_S = 0.3

INVALID_ADDRESSES = ("127.0.0.1:70000", "127.0.0.1:" + "9" * 30, "\u00e9..x:80", "256.0.0.1.:80")
"""Addresses that the HTTP client refuses, at different points on the way to a connection."""


@pytest_asyncio.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    """A session like that of a host, but with a single connection to each address."""
    async with aiohttp.ClientSession(connector=RecordingConnector(limit_per_host=1)) as session:
        yield session


def _executors(session: aiohttp.ClientSession) -> ExecutorClient:
    return ExecutorClient(session, 7, timeout_s=TIMEOUT_S)


def _store(session: aiohttp.ClientSession, address: str) -> StoreClient:
    return StoreClient(session, address, timeout_s=TIMEOUT_S)


async def _never_answer(_request: web.BaseRequest) -> web.StreamResponse:
    await asyncio.sleep(10 * TIMEOUT_S)
    return web.Response()


# Guards against a start that binds its task for seconds although it was never sent.
@pytest.mark.parametrize("address", INVALID_ADDRESSES)
async def test_a_start_to_an_invalid_address_was_not_sent(
    session: aiohttp.ClientSession, address: str
) -> None:
    with pytest.raises(Unconnected):
        await _executors(session).start(address, START, until_s=486.0)


# Guards against the same after a time-out before any connection was established.
async def test_a_start_without_a_connection_was_not_sent(session: aiohttp.ClientSession) -> None:
    with unresponsive_address() as address, pytest.raises(Unconnected):
        await _executors(session).start(address, START, until_s=486.0)


# Guards against the same where all connections to the executor are busy.
async def test_a_start_that_waited_for_a_connection_was_not_sent(
    session: aiohttp.ClientSession,
) -> None:
    async with serving(_never_answer) as address:
        executors = _executors(session)
        renewal = asyncio.create_task(
            executors.renew(address, "i-1", acknowledged=0, until_s=None, wait_s=2 * TIMEOUT_S)
        )
        await asyncio.sleep(TIMEOUT_S / 3)
        with pytest.raises(Unconnected):
            await executors.start(address, START, until_s=486.0)
        with pytest.raises(Unreachable):
            await renewal


# Guards against a start that may be carried out and counts as not sent.
@pytest.mark.parametrize("kept", [False, True])
async def test_an_unanswered_start_may_have_been_sent(
    session: aiohttp.ClientSession, kept: bool
) -> None:
    async def answer_first(request: web.BaseRequest) -> web.StreamResponse:
        if kept and request.path.endswith("run-stop"):
            return web.Response(body=b"{}")
        return await _never_answer(request)

    async with serving(answer_first) as address:
        if kept:
            async with session.post(f"http://{address}/run-stop") as response:
                await response.read()
        with pytest.raises(Unreachable) as raised:
            await _executors(session).start(address, START, until_s=486.0)
    assert not isinstance(raised.value, Unconnected)


# Guards against the same where the answer sends the call to an address that nothing can reach.
async def test_a_redirected_start_may_have_been_carried_out(
    session: aiohttp.ClientSession,
) -> None:
    async def redirect(_request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=307, headers={"Location": "http://127.0.0.1:9/x"})

    async with serving(redirect) as address:
        with pytest.raises(Unreachable) as raised:
            await _executors(session).start(address, START, until_s=486.0)
    assert not isinstance(raised.value, Unconnected)


# Guards against the same with a session that does not record its connections.
async def test_without_a_record_an_unanswered_start_may_have_been_sent() -> None:
    async with aiohttp.ClientSession() as plain:
        with unresponsive_address() as address, pytest.raises(Unreachable) as raised:
            await _executors(plain).start(address, START, until_s=486.0)
    assert not isinstance(raised.value, Unconnected)


# Guards against an append that is waited for as if the store might still carry it out.
async def test_an_append_without_a_connection_was_not_sent(
    session: aiohttp.ClientSession,
) -> None:
    with unresponsive_address() as address, pytest.raises(StoreRefused):
        await _store(session, address).append(JOBS, ())


async def test_an_unanswered_append_may_have_been_sent(session: aiohttp.ClientSession) -> None:
    async with serving(_never_answer) as address:
        with pytest.raises(StoreUnanswered):
            await _store(session, address).append(JOBS, ())
