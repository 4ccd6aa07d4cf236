"""Message frames on a TCP stream: a version byte, a length and the message."""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING

from linkspan.errors import BadFrame

if TYPE_CHECKING:
    from asyncio import StreamReader, StreamWriter

VERSION = 1
"""Version of the peer protocol; a connection with another version is closed."""

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Limit on the size of a message."""

_HEADER = struct.Struct(">BI")


async def read_frame(reader: StreamReader, *, timeout_s: float = 30.0) -> bytes | None:
    """Read the next message, or return None if the stream ends between frames.

    Args:
        reader: The stream.
        timeout_s: Time limit for the rest of a frame after its first byte.

    Raises:
        BadFrame: The frame has another version, is too large, truncated or too slow.
    """
    try:
        first = await reader.readexactly(1)
    except asyncio.IncompleteReadError:
        return None
    try:
        async with asyncio.timeout(timeout_s):
            version, length = _HEADER.unpack(first + await reader.readexactly(_HEADER.size - 1))
            if version != VERSION:
                raise BadFrame(f"protocol version {version}; this side speaks {VERSION}")
            if length > MAX_FRAME_BYTES:
                raise BadFrame(f"frame of {length} bytes; the limit is {MAX_FRAME_BYTES}")
            return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, TimeoutError) as error:
        raise BadFrame("frame cut short; the connection is closed") from error


def write_frame(writer: StreamWriter, body: bytes) -> None:
    """Write a message to the stream's buffer as a frame."""
    writer.write(_HEADER.pack(VERSION, len(body)) + body)
