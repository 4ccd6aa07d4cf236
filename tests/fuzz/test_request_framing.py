"""Requests in any pieces are read alike, and after any bytes a connection is in a known state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from aiohttp import web
from hypothesis import example, given
from hypothesis import strategies as st

from linkspan.errors import BodyRefused, LinkspanError, MalformedRequest
from linkspan.host.callers.body import ChunkedBody, SizedBody
from linkspan.host.callers.head import parse_head
from linkspan.host.callers.options import ServerOptions
from linkspan.host.callers.paged_bytes import PagedBytes
from linkspan.host.callers.request import Request
from linkspan.host.callers.server import CallerServer
from linkspan.model.configuration import RequestLimits

MAX_BYTES = 100
MAX_EXTRA_BYTES = 40

ANSWERED_LIMIT_S = 5.0


class Wire(asyncio.Transport):
    """Transport of a connection in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = b""
        self.reading = True
        self.closed = False

    def get_extra_info(self, _name: str, default: Any = None) -> Any:
        return self

    def setsockopt(self, *_option: int) -> None:
        """Ignore an option of the socket."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits: all is sent at once."""

    def get_write_buffer_size(self) -> int:
        return 0

    def is_reading(self) -> bool:
        return self.reading

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return self.closed

    def write(self, data: Any) -> None:
        self.sent += data

    def write_eof(self) -> None:
        """Ignore the end: the caller sends on."""

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True


async def exchange(pieces: list[bytes]) -> tuple[bytes, list[bytes], Wire]:
    """Send pieces on one connection; return the responses, the bodies read, and the transport."""
    bodies: list[bytes] = []
    errors: list[Exception] = []

    async def echo(request: Request) -> web.Response:
        bodies.append(await request.read())
        return web.Response(body=b"ok")

    limits = RequestLimits(max_head_bytes=200, max_body_bytes=MAX_BYTES)
    server = CallerServer(echo, ServerOptions(limits=lambda: limits, on_error=errors.append))
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _loop, context: errors.append(context["exception"]))
    connection, wire = server(), Wire()
    connection.connection_made(wire)
    for piece in pieces:
        await _until(lambda: wire.reading or wire.closed)
        if wire.closed:
            break
        server.read_buffer[: len(piece)] = piece
        connection.buffer_updated(len(piece))
    for _ in range(20):
        await asyncio.sleep(0)
    connection.connection_lost(None)
    await server.close(0.0)
    assert errors == []
    return wire.sent, bodies, wire


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(ANSWERED_LIMIT_S):
        while not condition():
            await asyncio.sleep(0)


def cut(data: bytes, sizes: list[int]) -> list[bytes]:
    """Return bytes in pieces of these sizes, repeated."""
    pieces, start = [], 0
    while start < len(data):
        size = sizes[len(pieces) % len(sizes)]
        pieces.append(data[start : start + size])
        start += size
    return pieces


REQUESTS = (
    (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", b""),
    (b"\r\n\r\nPOST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", b"hello"),
    (
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1;x=y\r\nh\r\n4\r\nello\r\n0\r\nA: b\r\n\r\n",
        b"hello",
    ),
    (
        b"POST / HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n00a\r\n0123456789\r\n0\r\n\r\n",
        b"0123456789",
    ),
)

sizes = st.lists(st.integers(1, 80), min_size=1, max_size=5)


@given(st.lists(st.sampled_from(REQUESTS), min_size=1, max_size=5), sizes)
@example([REQUESTS[2]] * 3, [1])
def test_requests_in_any_pieces_are_answered_in_order(
    requests: list[tuple[bytes, bytes]], piece_sizes: list[int]
) -> None:
    data = b"".join(sent for sent, _ in requests)
    sent, bodies, wire = asyncio.run(exchange(cut(data, piece_sizes)))
    assert bodies == [body for _, body in requests]
    assert sent.count(b"HTTP/1.1 200 OK\r\n") == len(requests)
    assert not wire.closed


PARTS = (
    *(b"GET / HTTP/1.1", b"POST /x HTTP/1.1", b"\r\n", b"\n", b"\r", b":", b" ", b"\x00", b"\xff"),
    *(b"Content-Length: 5", b"Content-Length: 999", b"Content-Length: -1", b"Host: a", b"0"),
    *(b"Transfer-Encoding: chunked", b"Transfer-Encoding: gzip, chunked", b"5\r\nhello\r\n", b"a"),
    *(
        b"0\r\n\r\n",
        b"1\r\n",
        b"fffffffffffffffff\r\n",
        b";ext",
        b"Expect: 100-continue",
        b"x" * 60,
    ),
)
"""Parts of requests that are not valid in most orders."""


@given(st.lists(st.sampled_from(PARTS), max_size=25), sizes)
def test_any_bytes_are_answered_or_wait_for_more(
    parts: list[bytes], piece_sizes: list[int]
) -> None:
    """Guards against an exception in the event loop, which would leave a connection unattended."""
    sent, bodies, _ = asyncio.run(exchange(cut(b"".join(parts), piece_sizes)))
    statuses = [int(line[9:12]) for line in sent.split(b"\r\n") if line.startswith(b"HTTP/1.1 ")]
    assert set(statuses) <= {100, 200, 400, 408, 413, 431}
    assert all(len(body) <= MAX_BYTES for body in bodies)


@given(st.binary(max_size=MAX_BYTES), sizes, sizes)
def test_a_chunked_body_in_any_pieces_is_the_same(
    content: bytes, chunk_sizes: list[int], piece_sizes: list[int]
) -> None:
    sent = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in cut(content, chunk_sizes)) + b"0\r\n\r\n"
    body = ChunkedBody(max_bytes=MAX_BYTES, max_extra_bytes=MAX_EXTRA_BYTES, max_chunks=3)
    pending = b""
    for piece in cut(sent, piece_sizes):
        pending += piece
        while (end := body.feed(pending, 0)) and not body.complete:
            pending = pending[end:]
    assert body.complete
    assert body.content.take() == content


@given(st.lists(st.sampled_from((b"1\r\nx\r\n", b"5;e\r\nhello\r\n", b"A: b\r\n", b"0\r\n", b"z"))))
def test_a_chunked_body_never_holds_more_than_its_limit(parts: list[bytes]) -> None:
    body = ChunkedBody(max_bytes=9, max_extra_bytes=MAX_EXTRA_BYTES, max_chunks=3)
    pending = b"".join(parts)
    try:
        while (end := body.feed(pending, 0)) and not body.complete:
            pending = pending[end:]
    except BodyRefused as error:
        assert error.status in (400, 413, 431)
    assert len(body.content) <= 9


@given(st.binary(max_size=200), st.integers(0, 200))
def test_a_sized_body_takes_no_byte_of_the_next_request(data: bytes, length: int) -> None:
    body = SizedBody(length)
    assert body.feed(data, 0) == min(len(data), length)
    assert body.complete == (len(data) >= length)
    assert body.content.take() == data[:length]


@given(st.lists(st.binary(max_size=40_000), max_size=6))
def test_paged_bytes_are_the_bytes_that_were_appended(pieces: list[bytes]) -> None:
    content = PagedBytes()
    for piece in pieces:
        content.append(piece, 0, len(piece))
    assert len(content) == sum(map(len, pieces))
    assert content.take() == b"".join(pieces)


@given(st.binary(max_size=300))
def test_any_head_is_parsed_or_refused(head: bytes) -> None:
    try:
        parse_head(b"GET / HTTP/1.1\r\n" + head + b"\r\n\r\n")
    except LinkspanError as error:
        assert isinstance(error, MalformedRequest)


@pytest.mark.parametrize(
    "fields",
    [
        b"Content-Length: 5\r\nContent-Length: 5\r\n",
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: +5\r\n",
        b"Content-Length: 5, 5\r\n",
        b"Transfer-Encoding: chunked, chunked\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length : 5\r\n",
        b"A: b\r\n continued\r\n",
        b"A: b\nContent-Length: 5\r\n",
        b"A: b\rContent-Length: 5\r\n",
    ],
)
def test_a_framing_that_can_be_understood_in_two_ways_is_refused(fields: bytes) -> None:
    """Guards against a request that a proxy before the host delimits in another way."""
    with pytest.raises(MalformedRequest):
        parse_head(b"POST / HTTP/1.1\r\n" + fields + b"\r\n")


@pytest.mark.parametrize("method", [b"GETS", b"get", b"X" * 1_000])
def test_a_method_that_no_standard_names_is_refused(method: bytes) -> None:
    """Guards against one counter for each method that callers think of."""
    with pytest.raises(MalformedRequest):
        parse_head(method + b" / HTTP/1.1\r\n\r\n")
