"""A proxy on the loopback address whose connections misbehave on request."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 65_536


@dataclass(eq=False)
class _Connection:
    """One connection with its two halves.

    Attributes:
        writers: Towards the caller and towards the server.
        silent: Halves that pass nothing on for good.
    """

    writers: list[asyncio.StreamWriter]
    silent: set[str] = field(default_factory=set)


class FaultProxy:
    """Passes bytes between callers and one server.

    Args:
        target: ``ip:port`` of the server.

    Attributes:
        delay_s: Seconds by which each piece is held up.
        cut: Directions in which nothing passes now: ``there``, ``back``; what came
            meanwhile is lost.
        accepted: Connections so far.
    """

    def __init__(self, target: str) -> None:
        self._host, _, self._port = target.rpartition(":")
        self._open: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.delay_s = 0.0
        self.cut: frozenset[str] = frozenset()
        self.accepted = 0

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Listen on a free port for a while and give the address."""
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
        """Pass nothing on any more over the connections that are open; new ones work."""
        for connection in self._open:
            connection.silent = {"there", "back"}

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        try:
            ahead, onward = await asyncio.open_connection(self._host, int(self._port))
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection([writer, onward])
        self._open.add(connection)
        for direction, source, sink in (("there", reader, onward), ("back", ahead, writer)):
            task = asyncio.create_task(self._pass_on(connection, direction, source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pass_on(
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
                    # A stream with a hole would be no stream: nothing follows either.
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
