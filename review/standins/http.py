"""A small HTTP/1.1 server and client on loopback, with the standard library alone."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote, urlsplit


class Request(NamedTuple):
    """A whole request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


class Response(NamedTuple):
    """A response; ``None`` as a handler's result leaves the request unanswered."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


def json_response(fields: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(fields, separators=(",", ":")).encode())


Handler = Callable[[Request], Awaitable[Response | None]]


class _Connection(asyncio.Protocol):
    def __init__(
        self,
        handler: Handler,
        tasks: set[asyncio.Task[None]],
        transports: set[asyncio.Transport],
    ) -> None:
        self._handler = handler
        self._tasks = tasks
        self._transports = transports
        self._data = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._transports.add(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._transport:
            self._transports.discard(self._transport)

    def data_received(self, data: bytes) -> None:
        self._data += data
        while request := self._next_request():
            task = asyncio.get_running_loop().create_task(self._answer(request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _next_request(self) -> Request | None:
        head_end = self._data.find(b"\r\n\r\n")
        if head_end < 0:
            return None
        first, *rows = self._data[:head_end].decode("latin-1").split("\r\n")
        headers = {}
        for row in rows:
            name, _, value = row.partition(":")
            headers[name.strip().lower()] = value.strip()
        end = head_end + 4 + int(headers.get("content-length", 0))
        if len(self._data) < end:
            return None
        body = bytes(self._data[head_end + 4 : end])
        del self._data[:end]
        method, target, _ = first.split(" ")
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        return Request(method, unquote(url.path), query, headers, body)

    async def _answer(self, request: Request) -> None:
        response = await self._handler(request)
        if response is None or self._transport is None or self._transport.is_closing():
            return
        head = (
            f"HTTP/1.1 {response.status} -\r\nContent-Type: {response.content_type}\r\n"
            f"Content-Length: {len(response.body)}\r\n\r\n"
        )
        self._transport.write(head.encode() + response.body)


class Server:
    """Serves a handler at a loopback address."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()
        self._transports: set[asyncio.Transport] = set()
        self._server: asyncio.Server | None = None

    async def open(self, ip: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and return the address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self._handler, self._tasks, self._transports),
            ip,
            port,
            backlog=1024,
        )
        host, bound = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{bound}"

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self.stop_listening()
        for transport in list(self._transports):
            transport.abort()

    def go_dark(self) -> None:
        """Say nothing more: neither on the connections that are open nor on new ones."""
        self._handler = _never_answer
        for task in list(self._tasks):
            task.cancel()
        for transport in list(self._transports):
            transport.pause_reading()

    def stop_listening(self) -> None:
        """Take no new connections; requests that are being answered are given up."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


async def _never_answer(_request: Request) -> None:
    return None


class Answer(NamedTuple):
    """What a client got: a status, or 0 and the reason why there was no whole answer."""

    status: int
    body: bytes = b""
    error: str = ""


async def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> Answer:
    """Send one request on a connection of its own and return what came back."""
    host, _, port = address.rpartition(":")
    rows = {"Host": address, "Content-Length": str(len(body)), "Connection": "close"}
    rows |= headers or {}
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in rows.items())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            return await _read_answer(reader)
    except TimeoutError:
        return Answer(0, error="timeout")
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(0, error=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    length = 0
    for row in head[1:]:
        name, _, value = row.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    return Answer(status, await reader.readexactly(length))
