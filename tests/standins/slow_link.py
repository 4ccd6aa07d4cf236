"""A proxy whose connections share a limited bandwidth, as one host's link to a server."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

CHUNK_BYTES = 4_096
"""Bytes that one connection sends before other connections get a turn."""


class SlowLink:
    """Forwards bytes; those from the server at a limited rate.

    Args:
        target: ``ip:port`` of the server.
        bytes_per_s: Total rate of all connections, in the direction to the host.
    """

    def __init__(self, target: str, bytes_per_s: float) -> None:
        self._host, _, self._port = target.rpartition(":")
        self._bytes_per_s = bytes_per_s
        self._bandwidth = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._resets_at: set[int] = set()
        self._writers: list[asyncio.StreamWriter] = []
        self.passed = 0

    def reset_at(self, passed: int) -> None:
        """Abort the connection that forwards the byte with this number, counted over all."""
        self._resets_at.add(passed)

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Listen on a free loopback port within the context and yield the address."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        try:
            yield f"{host}:{port}"
        finally:
            server.close()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for writer in self._writers:
                writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        other_reader, other_writer = await asyncio.open_connection(self._host, int(self._port))
        self._writers.append(other_writer)
        for direction in (
            _forward(reader, other_writer),
            self._forward_slowly(other_reader, writer),
        ):
            task = asyncio.create_task(direction)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward_slowly(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        while data := await source.read(CHUNK_BYTES):
            async with self._bandwidth:
                await asyncio.sleep(len(data) / self._bytes_per_s)
            if sink.is_closing():
                return
            self.passed += len(data)
            if due := {at for at in self._resets_at if at <= self.passed}:
                self._resets_at -= due
                sink.transport.abort()
                return
            sink.write(data)
        sink.close()


async def _forward(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
    # A host that abandons a call resets its connection.
    with suppress(ConnectionError):
        while data := await source.read(CHUNK_BYTES):
            sink.write(data)
    sink.close()
