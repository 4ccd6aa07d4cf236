"""Connections that go silent for good: no reset, no answer, while new ones work."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class SilentProxy:
    """Passes bytes on to a server until its connections are silenced.

    Args:
        target: ``ip:port`` of the server.
    """

    def __init__(self, target: str) -> None:
        self._host, _, self._port = target.rpartition(":")
        self._open: set[asyncio.Event] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.accepted = 0

    def silence(self) -> None:
        """Pass nothing on any more over the connections that are open now."""
        for silent in self._open:
            silent.set()

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Listen on a free loopback port and give its address."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        try:
            yield f"{host}:{port}"
        finally:
            server.close()
            for task in self._tasks:
                task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        silent = asyncio.Event()
        self._open.add(silent)
        other_reader, other_writer = await asyncio.open_connection(self._host, int(self._port))
        for source, sink in ((reader, other_writer), (other_reader, writer)):
            task = asyncio.create_task(_pass_on(source, sink, silent))
            self._tasks.add(task)


async def _pass_on(
    source: asyncio.StreamReader, sink: asyncio.StreamWriter, silent: asyncio.Event
) -> None:
    while data := await source.read(65536):
        if not silent.is_set():
            sink.write(data)
    if not silent.is_set():
        sink.close()
