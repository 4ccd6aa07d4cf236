"""Server for messages from peers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from linkspan.errors import BadFrame
from linkspan.peer.codec import decode, encode
from linkspan.peer.framing import read_frame, write_frame
from linkspan.peer.messages import Envelope

if TYPE_CHECKING:
    from asyncio import StreamReader, StreamWriter
    from collections.abc import Awaitable, Callable

    from linkspan.peer.messages import Message

MAX_CONNECTIONS = 1_024
"""Limit on concurrent connections; further ones are closed."""

MAX_SILENCE_S = 120.0
"""Time without a complete message after which a connection is closed.

Peers reopen a connection that was silent for 30 s before they use it, so that a connection
that is silent for this long carries no further message."""


class PeerServer:
    """Handles messages from peers; closes a connection that sends an invalid frame.

    Args:
        handle: Called with each message; returns the answer, or None.
        on_bad_peer: Called with the reason when a connection is closed for an invalid
            frame.
    """

    def __init__(
        self,
        handle: Callable[[Message], Awaitable[Message | None]],
        *,
        on_bad_peer: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._handle = handle
        self._on_bad_peer = on_bad_peer
        self._server: asyncio.Server | None = None
        self._connections: set[StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f"PeerServer(connections={len(self._connections)})"

    async def start(self, host: str, port: int) -> str:
        """Start to listen, and return the bound ``ip:port``."""
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            writer.close()
            return
        self._connections.add(writer)
        try:
            while (body := await _next_frame(reader)) is not None:
                task = asyncio.create_task(self._answer(decode(body), writer))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except BadFrame as error:
            self._on_bad_peer(str(error))
        except (OSError, TimeoutError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, envelope: Envelope, writer: StreamWriter) -> None:
        answer = await self._handle(envelope.message)
        if answer is None or not envelope.request or writer.is_closing():
            return
        write_frame(writer, encode(Envelope(envelope.request, answer)))
        with contextlib.suppress(OSError):
            await writer.drain()


async def _next_frame(reader: StreamReader) -> bytes | None:
    async with asyncio.timeout(MAX_SILENCE_S):
        return await read_frame(reader)
