"""A caller whose connection goes silent does not hold a resource forever."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any, cast

import pytest
import pytest_asyncio
from aiohttp import web

from linkspan.host.callers import server
from linkspan.host.callers.limits import CallerCapacity
from linkspan.host.callers.listener import Listener
from linkspan.host.callers.options import ServerOptions
from linkspan.host.callers.request import Request
from linkspan.model.configuration import RequestLimits
from tests.hall_world import HallWorld
from tests.job_builders import QUEUE
from tests.virtual_time import run_virtual


@dataclass
class HalfRequest:
    """A request whose body never arrives whole."""

    path: str
    method: str = "POST"
    headers: dict[str, str] = field(default_factory=lambda: {"Host": QUEUE.host})

    async def read(self) -> bytes:
        await asyncio.Event().wait()
        raise AssertionError("the event is never set")


def _half_request(job_id: str) -> web.BaseRequest:
    return cast(Any, HalfRequest(f"{QUEUE.prefix}{job_id}"))


def test_a_request_whose_body_stays_incomplete_ends_at_the_callers_deadline() -> None:
    async def play() -> tuple[web.StreamResponse, float]:
        world = HallWorld()
        await world.begin()
        front = world.hosts["east-host-0"].host.front
        began = asyncio.get_running_loop().time()
        async with asyncio.timeout(60.0):
            answer = await front.handle(_half_request("00000000000000aa"))
        assert await world.state("east-host-0", "00000000000000aa") == "410"
        return answer, asyncio.get_running_loop().time() - began

    answer, took = run_virtual(play())
    assert answer.status == 503
    assert answer.headers["Retry-After"]
    assert took <= QUEUE.timeout_s
    assert not answer.keep_alive


@pytest.mark.parametrize("timeout_ms", ["9" * 5_000, "0" * 5_000 + "9" * 12, "3600000"])
def test_a_caller_that_would_wait_for_ever_is_answered_within_a_minute(timeout_ms: str) -> None:
    """Guards against a number that is too long to be read, and against waits of an hour."""

    async def play() -> tuple[int, float]:
        world = HallWorld()
        await world.begin()
        front = world.hosts["east-host-0"].host.front
        request = HalfRequest(f"{QUEUE.prefix}00000000000000aa")
        request.headers["Linkspan-Timeout-Ms"] = timeout_ms
        began = asyncio.get_running_loop().time()
        answer = await front.handle(cast(Any, request))
        return answer.status, asyncio.get_running_loop().time() - began

    status, took_s = run_virtual(play())
    assert status == 503
    assert took_s <= 60.0


def test_a_half_sent_request_does_not_delay_a_drain() -> None:
    """A drain waits one second for a body that is being received, not until its own limit."""

    async def play() -> float:
        world = HallWorld()
        await world.begin()
        host = world.hosts["east-host-0"].host
        assert host.front.in_flight == 0
        half = asyncio.create_task(host.front.handle(_half_request("00000000000000aa")))
        await asyncio.sleep(0.1)
        began = asyncio.get_running_loop().time()
        assert host.front.in_flight == 1
        await host.drain(notice_s=0.5, limit_s=30.0)
        half.cancel()
        return asyncio.get_running_loop().time() - began

    assert 0.8 < run_virtual(play()) < 1.1


# The tests below use sockets, with short limits.

LIMIT_S = 0.3
"""Replaces each time limit of the listener."""

HEAD = b"GET / HTTP/1.1\r\nHost: host.example\r\n"
WHOLE_REQUEST = HEAD + b"\r\n"


@pytest_asyncio.fixture
async def address(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[str]:
    """Return the address of a listener whose large answers exceed the buffers of a connection."""
    monkeypatch.setattr(server, "MAX_UNREAD_S", LIMIT_S)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.05)

    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(body=b"x" * (40_000_000 if request.path == "/large" else 10))

    limits = RequestLimits(head_timeout_s=LIMIT_S)
    options = ServerOptions(
        limits=lambda: limits, capacity=CallerCapacity(max_connections=3, max_body_bytes=1_000)
    )
    listener = await Listener(answer, options).open("127.0.0.1:0")
    try:
        port = listener.addresses[0][1]
        yield f"127.0.0.1:{port}"
    finally:
        await listener.close()


async def _connect(address: str, sent: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(sent)
    return reader, writer


async def _ask(address: str) -> bytes:
    reader, writer = await _connect(address, WHOLE_REQUEST)
    line = await asyncio.wait_for(reader.readline(), 5.0)
    writer.close()
    return line


async def _closed_after(reader: asyncio.StreamReader) -> float:
    """Return the time until the other side closes or resets a connection."""
    began = time.monotonic()
    async with asyncio.timeout(5.0):
        with contextlib.suppress(ConnectionError):
            while await reader.read(65536):
                pass
    return time.monotonic() - began


async def test_a_connection_with_half_a_request_is_closed(address: str) -> None:
    reader, writer = await _connect(address, HEAD)
    assert await _closed_after(reader) >= 0.5 * LIMIT_S
    writer.close()
    assert b"200" in await _ask(address)


@pytest.mark.parametrize("field", [b"", b"Connection: close\r\n"])
async def test_a_caller_that_stops_reading_is_cut_off(address: str, field: bytes) -> None:
    """Guards against connections that are kept for ever because they are being closed."""
    reader, writer = await _connect(address, HEAD.replace(b"/ ", b"/large ") + field + b"\r\n")
    await asyncio.sleep(LIMIT_S + 1.0)
    body = b""
    with contextlib.suppress(ConnectionError):
        while piece := await asyncio.wait_for(reader.read(1_000_000), 5.0):
            body += piece
    assert len(body) < 40_000_000
    writer.close()


async def test_a_caller_that_reads_slowly_is_not_cut_off(
    address: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "MAX_UNREAD_S", 1.0)
    reader, writer = await _connect(address, HEAD.replace(b"/ ", b"/large ") + b"\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    assert b"200" in head
    for _ in range(10):
        # The caller takes longer than the limit in total, but keeps reading.
        await asyncio.wait_for(reader.readexactly(4_000_000 - 1), 5.0)
        await asyncio.sleep(0.15)
    assert len(await asyncio.wait_for(reader.readexactly(10), 5.0)) == 10
    writer.close()


async def test_more_idle_connections_than_the_limit_close_the_oldest(address: str) -> None:
    idle = []
    for _ in range(5):
        idle.append(await _connect(address, b""))
        await asyncio.sleep(0.02)
    async with asyncio.timeout(5.0):
        while not all(reader.at_eof() for reader, _ in idle[:2]):
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.2)
    assert not any(reader.at_eof() for reader, _ in idle[2:])
    assert b"200" in await _ask(address)
    for _, writer in idle:
        writer.close()


async def test_callers_that_do_not_read_keep_nobody_out(
    address: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against connections that hold all places, each with a response that is not read."""
    monkeypatch.setattr(server, "MAX_UNREAD_S", 60.0)
    monkeypatch.setattr(server, "MAX_UNREAD_IN_NEED_S", LIMIT_S)
    large = HEAD.replace(b"/ ", b"/large ") + b"\r\n"
    unread = [await _connect(address, large) for _ in range(3)]
    await asyncio.sleep(2 * LIMIT_S)
    assert b"200" in await _ask(address)
    for _, writer in unread:
        writer.close()


async def test_an_idle_connection_stays_open(address: str) -> None:
    """Healthy connections stay open; the system finds those whose other end vanished."""
    reader, writer = await _connect(address, WHOLE_REQUEST)
    assert b"200" in await reader.readline()
    await asyncio.sleep(4 * LIMIT_S)
    writer.write(WHOLE_REQUEST)
    async with asyncio.timeout(5.0):
        while b"HTTP/1.1 200" not in await reader.readline():
            pass
    writer.close()


async def test_silent_connections_do_not_delay_closing_the_listener() -> None:
    async def never(request: web.BaseRequest) -> web.Response:
        await request.read()
        return web.Response()

    listener = await Listener(never).open("127.0.0.1:0")
    address = f"127.0.0.1:{listener.addresses[0][1]}"
    half_body = HEAD.replace(b"GET", b"POST") + b"Content-Length: 9\r\n\r\nabc"
    open_connections = [await _connect(address, sent) for sent in (b"", HEAD, half_body)]
    await asyncio.sleep(0.1)
    began = time.monotonic()
    await asyncio.wait_for(listener.close(), 10.0)
    assert time.monotonic() - began < 3.0
    for _, writer in open_connections:
        writer.close()


async def test_the_system_is_asked_to_find_vanished_callers() -> None:
    async def answer(_request: web.BaseRequest) -> web.Response:
        return web.Response()

    listener = await Listener(answer).open("127.0.0.1:0")
    _, writer = await _connect(f"127.0.0.1:{listener.addresses[0][1]}", b"")
    await asyncio.sleep(0.1)
    (connection,) = listener.connections
    accepted = connection.transport.get_extra_info("socket")
    assert accepted.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 15
    assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 30_000
    writer.close()
    await listener.close()


async def test_a_connection_that_asks_for_nothing_is_closed_in_time() -> None:
    """Guards against connections that are kept for ever, as long as they are few."""
    limits = RequestLimits(idle_timeout_s=LIMIT_S)
    listener = await Listener(_answer_whole, ServerOptions(limits=lambda: limits)).open(LOOPBACK)
    reader, writer = await _connect(_address(listener), WHOLE_REQUEST)
    assert b"200" in await reader.readline()
    assert await _closed_after(reader) >= 0.5 * LIMIT_S
    writer.close()
    await listener.close()


async def test_a_body_that_pauses_is_refused_however_long_its_caller_would_wait() -> None:
    """Guards against bodies that are held for an hour, one byte short of their end."""
    limits = RequestLimits(head_timeout_s=LIMIT_S)
    listener = await Listener(_answer_whole, ServerOptions(limits=lambda: limits)).open(LOOPBACK)
    head = HEAD.replace(b"GET", b"POST") + b"Content-Length: 9\r\n\r\n"
    reader, writer = await _connect(_address(listener), head + b"12345678")
    response = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
    assert b" 503 " in response and b"Retry-After" in response
    writer.close()
    await listener.close()


async def test_callers_refused_together_come_back_at_different_times() -> None:
    """Guards against a crowd that returns as one, to be refused again."""
    capacity = CallerCapacity(max_connections=100, max_body_bytes=1)
    listener = await Listener(_answer_whole, ServerOptions(capacity=capacity)).open(LOOPBACK)
    head = HEAD.replace(b"GET", b"POST") + b"Content-Length: 9\r\n\r\n"
    opened = [await _connect(_address(listener), head) for _ in range(30)]
    responses = [await reader.readuntil(b"\r\n\r\n") for reader, _ in opened[1:]]
    times = [response.partition(b"Retry-After: ")[2][:1] for response in responses]
    assert set(times) == {b"1", b"2", b"3"}
    for _, writer in opened:
        writer.close()
    await listener.close()


async def _answer_whole(request: Request) -> web.Response:
    await request.read()
    return web.Response()


def _address(listener: Listener) -> str:
    return f"127.0.0.1:{listener.addresses[0][1]}"


LOOPBACK = "127.0.0.1:0"
