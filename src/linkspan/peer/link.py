"""A connection to a peer, opened on demand and reopened after a loss."""

from __future__ import annotations

import asyncio
import contextlib
import time
from itertools import count
from typing import TYPE_CHECKING

from linkspan.errors import BadFrame, Unreachable
from linkspan.peer.codec import decode, encode
from linkspan.peer.framing import read_frame, write_frame
from linkspan.peer.messages import Envelope

if TYPE_CHECKING:
    from asyncio import StreamReader, StreamWriter

    from linkspan.peer.messages import Message

MAX_UNSENT_BYTES = 256 * 1024
"""Limit on the bytes buffered for a slow peer; beyond it the connection is closed."""

CONNECT_TIMEOUT_S = 1.0
"""Time limit for opening a connection."""

MAX_IDLE_S = 30.0
"""Time without a message from a peer after which its connection is reopened before use.

A connection that broke without a reset cannot be told from one that carries only messages
without answers, such as heartbeats. The cost is one handshake per peer and period."""


class PeerLink:
    """Sends messages to one peer, and matches its answers to the requests.

    Args:
        address: ``ip:port`` of the listener for peers.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._writer: StreamWriter | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._requests = count(1)
        self._unanswered: dict[int, asyncio.Future[Message]] = {}
        self._last_message_at = float("-inf")
        self._lock = asyncio.Lock()

    def __repr__(self) -> str:
        return f"PeerLink({self._address!r}, unanswered={len(self._unanswered)})"

    async def send(self, message: Message, request: int = 0) -> None:
        """Send a message; opens the connection if necessary.

        Raises:
            Unreachable: The message was not sent.
            ConnectionRefusedError: Nothing listens at the address.
        """
        writer = await self._connect()
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._close_and_fail()
            raise Unreachable(f"peer {self._address} reads too slowly; the connection is closed")
        write_frame(writer, encode(Envelope(request, message)))

    async def ask(self, message: Message, *, timeout_s: float) -> Message:
        """Send a request and return the answer.

        Raises:
            Unreachable: No answer arrived; the peer may have handled the request.
            ConnectionRefusedError: Nothing listens at the address.
        """
        request = next(self._requests)
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._unanswered[request] = answer
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                await self.send(message, request)
                return await answer
        except TimeoutError as error:
            if self._last_message_at < sent_at:
                # The connection may be broken without a reset: the next message reopens it.
                self._disconnect()
            raise Unreachable(f"peer {self._address} did not answer in {timeout_s} s") from error
        finally:
            self._unanswered.pop(request, None)

    async def close(self) -> None:
        """Close the connection; a later message reopens it."""
        read_task = self._read_task
        self._close_and_fail()
        if read_task is not None:
            with contextlib.suppress(asyncio.CancelledError):
                await read_task

    async def _connect(self) -> StreamWriter:
        async with self._lock:
            if time.monotonic() - self._last_message_at > MAX_IDLE_S:
                self._disconnect()
            if self._writer is not None and not self._writer.is_closing():
                return self._writer
            host, _, port = self._address.rpartition(":")
            try:
                connecting = asyncio.open_connection(host, int(port))
                reader, writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
            except ConnectionRefusedError:
                raise
            except (OSError, TimeoutError) as error:
                raise Unreachable(
                    f"cannot connect to peer {self._address}: {error!r}; the next message retries"
                ) from error
            self._writer, self._last_message_at = writer, time.monotonic()
            self._read_task = asyncio.create_task(self._read(reader, writer))
            return writer

    async def _read(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            while (body := await read_frame(reader)) is not None:
                envelope = decode(body)
                self._last_message_at = time.monotonic()
                answer = self._unanswered.pop(envelope.request, None)
                if answer is not None and not answer.done():
                    answer.set_result(envelope.message)
        except (BadFrame, OSError):
            pass
        finally:
            writer.close()
            if self._writer is writer:
                self._fail_unanswered()

    def _fail_unanswered(self) -> None:
        for answer in self._unanswered.values():
            if not answer.done():
                answer.set_exception(Unreachable(f"peer {self._address} closed the connection"))
        self._unanswered.clear()

    def _close_and_fail(self) -> None:
        """Close the connection and fail its unanswered requests."""
        self._disconnect()
        self._fail_unanswered()

    def _disconnect(self) -> None:
        """Close the connection without failing its unanswered requests."""
        if self._read_task is not None:
            self._read_task.cancel()
        if self._writer is not None:
            self._writer.close()
        self._writer = self._read_task = None
