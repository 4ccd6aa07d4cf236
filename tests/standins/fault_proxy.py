"""A proxy on the loopback address whose connections fail on request."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from weakref import WeakSet

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 65_536


@dataclass(eq=False)
class _Connection:
    """One proxied connection with its two directions.

    Attributes:
        writers: Streams to the caller and to the server.
        silent: Directions that forward nothing any more.
    """

    writers: list[asyncio.StreamWriter]
    silent: set[str] = field(default_factory=set)


class FaultProxy:
    """Forwards bytes between callers and one server.

    Args:
        target: ``ip:port`` of the server.

    Attributes:
        delay_s: Delay of each chunk in seconds.
        cut: Directions that are cut now: ``there`` (to the server) or ``back``. Bytes that
            arrive during a cut are lost.
        accepted: Number of connections so far.
    """

    def __init__(self, target: str) -> None:
        self._host, _, self._port = target.rpartition(":")
        self._open: set[_Connection] = set()
        self._writers: WeakSet[asyncio.StreamWriter] = WeakSet()
        self._tasks: set[asyncio.Task[None]] = set()
        self.delay_s = 0.0
        self.cut: frozenset[str] = frozenset()
        self.accepted = 0

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Listen on a free port within the context and yield the address."""
        try:
            yield await self.listen()
        finally:
            await self.close()

    async def listen(self) -> str:
        """Listen on a free port and return the address."""
        server = await asyncio.start_server(self._accept, LOOPBACK, 0, backlog=1024)
        self._server = server
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._open):
            for writer in connection.writers:
                writer.transport.abort()

    def silence(self) -> None:
        """Silence the open connections for good. New connections work."""
        self.silence_open("there", "back")

    def silence_open(self, *directions: str) -> None:
        """Silence some directions of the open connections for good. New connections work."""
        for connection in self._open:
            connection.silent.update(directions)

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            # Those of which one direction is silent are not among the open ones any more.
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self._writers.add(writer)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                self._host, int(self._port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(server_writer)
        connection = _Connection([writer, server_writer])
        self._open.add(connection)
        for direction, source, sink in (
            ("there", reader, server_writer),
            ("back", server_reader, writer),
        ):
            task = asyncio.create_task(self._forward(connection, direction, source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        connection: _Connection,
        direction: str,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if direction in self.cut:
                    # A stream delivers no later bytes after a gap: the direction stays silent.
                    connection.silent.add(direction)
                if direction not in connection.silent:
                    sink.write(data)
                    await sink.drain()
        except OSError:
            self._abort(connection)
            return
        if direction not in connection.silent:
            sink.close()
        self._open.discard(connection)

    def _abort(self, connection: _Connection) -> None:
        self._open.discard(connection)
        for writer in connection.writers:
            writer.transport.abort()
