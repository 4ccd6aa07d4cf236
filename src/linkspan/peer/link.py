"""One connection to a peer, opened when needed and again after a loss."""

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
"""Bytes that may wait for a slow peer before the link is cut."""

CONNECT_TIMEOUT_S = 1.0
"""Time that opening a connection may take."""

RENEW_S = 30.0
"""Time without a word from a peer after which its connection is opened anew: one that
went silent without a reset looks like one whose messages want no answer, as heartbeats
do. Costs a handshake for each peer that often."""


class PeerLink:
    """Sends messages to one peer and pairs its answers with the requests.

    Args:
        address: ``ip:port`` of the peer's inner listener.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._writer: StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._requests = count(1)
        self._waiting: dict[int, asyncio.Future[Message]] = {}
        self._heard_at = float("-inf")
        self._lock = asyncio.Lock()

    def __repr__(self) -> str:
        return f"PeerLink({self._address!r}, waiting={len(self._waiting)})"

    async def send(self, message: Message, request: int = 0) -> None:
        """Send a message, opening the connection if need be.

        Raises:
            Unreachable: It surely did not go out, or may not have.
            ConnectionRefusedError: Nothing listens at the address.
        """
        writer = await self._open()
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._cut()
            raise Unreachable(f"peer {self._address} reads too slowly; link cut")
        write_frame(writer, encode(Envelope(request, message)))

    async def ask(self, message: Message, *, timeout_s: float) -> Message:
        """Send a request and return its answer.

        Raises:
            Unreachable: No answer; the peer may have acted all the same.
            ConnectionRefusedError: Nothing listens at the address.
        """
        request = next(self._requests)
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._waiting[request] = answer
        asked = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                await self.send(message, request)
                return await answer
        except TimeoutError as error:
            if self._heard_at < asked:
                # It may have gone silent for good: the next message opens it anew.
                self._drop()
            raise Unreachable(f"peer {self._address} did not answer in {timeout_s} s") from error
        finally:
            self._waiting.pop(request, None)

    async def close(self) -> None:
        """Close the connection; a later message opens it again."""
        reading = self._reading
        self._cut()
        if reading is not None:
            with contextlib.suppress(asyncio.CancelledError):
                await reading

    async def _open(self) -> StreamWriter:
        async with self._lock:
            if time.monotonic() - self._heard_at > RENEW_S:
                self._drop()
            if self._writer is not None and not self._writer.is_closing():
                return self._writer
            host, _, port = self._address.rpartition(":")
            try:
                opening = asyncio.open_connection(host, int(port))
                reader, writer = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
            except ConnectionRefusedError:
                raise
            except (OSError, TimeoutError) as error:
                raise Unreachable(f"peer {self._address}: {error!r}; it is tried again") from error
            self._writer, self._heard_at = writer, time.monotonic()
            self._reading = asyncio.create_task(self._read(reader, writer))
            return writer

    async def _read(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            while (body := await read_frame(reader)) is not None:
                envelope = decode(body)
                self._heard_at = time.monotonic()
                answer = self._waiting.pop(envelope.request, None)
                if answer is not None and not answer.done():
                    answer.set_result(envelope.message)
        except (BadFrame, OSError):
            pass
        finally:
            writer.close()
            if self._writer is writer:
                self._fail_waiting()

    def _fail_waiting(self) -> None:
        for answer in self._waiting.values():
            if not answer.done():
                answer.set_exception(Unreachable(f"peer {self._address} closed the connection"))
        self._waiting.clear()

    def _cut(self) -> None:
        """Close the connection and give up what was asked over it."""
        self._drop()
        self._fail_waiting()

    def _drop(self) -> None:
        """Close the connection; what was asked over it may still be asked anew."""
        if self._reading is not None:
            self._reading.cancel()
        if self._writer is not None:
            self._writer.close()
        self._writer = self._reading = None
