"""Bodies of requests while they arrive, with a declared length or in chunks (RFC 9112, 6 and 7)."""

from __future__ import annotations

import re
from enum import Enum, auto
from typing import Protocol

from linkspan.errors import BodyRefused
from linkspan.host.callers.paged_bytes import PagedBytes

_CHUNK_SIZE = re.compile(rb"([0-9a-fA-F]{1,16})(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?")
_LINE_END = b"\r\n"

_SMALL_SIZES = {text: n for n in range(1, 256) for text in (b"%x" % n, b"%X" % n)}
"""Sizes of small chunks by their usual forms."""

_MAX_SMALL_LINE_BYTES = 4

MAX_SIZE_LINE_BYTES = 18
"""Length of a chunk's size line without an extension, at most: 16 digits and the line end."""


class Body(Protocol):
    """A body that arrives."""

    content: PagedBytes
    complete: bool

    def feed(self, data: bytes, start: int) -> int:
        """Take bytes that have arrived.

        Args:
            data: Bytes of the connection.
            start: Index of the first one to take.

        Returns:
            Index of the first byte that was not taken: it belongs to the next request, or to a
            part of the framing whose rest has not arrived, or the work of one turn is done.

        Raises:
            BodyRefused: The body exceeds a limit, or its framing is not valid.
        """


class SizedBody:
    """Body with a declared length.

    Args:
        length: Length in bytes.

    Attributes:
        content: Bytes that have arrived.
        complete: Whether the whole body has arrived.
    """

    __slots__ = ("_missing", "complete", "content")

    def __init__(self, length: int) -> None:
        self._missing = length
        self.content = PagedBytes()
        self.complete = not length

    def feed(self, data: bytes, start: int) -> int:
        """Take bytes that have arrived, see ``Body``."""
        end = min(len(data), start + self._missing)
        self.content.append(data, start, end)
        self._missing -= end - start
        self.complete = not self._missing
        return end


class _Expected(Enum):
    """Part of the framing that comes next."""

    SIZE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILER = auto()


class ChunkedBody:
    """Body in chunks, of unknown length.

    Args:
        max_bytes: Maximum length of the content.
        max_extra_bytes: Maximum length of all chunk extensions and trailers.
        max_chunks: Number of chunks that one call of ``feed`` takes at most.

    Attributes:
        content: Content that has arrived.
        complete: Whether the whole body has arrived.
    """

    __slots__ = (
        "_expected",
        "_extra_bytes",
        "_max_bytes",
        "_max_chunks",
        "_max_extra_bytes",
        "_missing",
        "complete",
        "content",
    )

    def __init__(self, *, max_bytes: int, max_extra_bytes: int, max_chunks: int) -> None:
        self._max_bytes = max_bytes
        self._max_extra_bytes = max_extra_bytes
        self._max_chunks = max_chunks
        self._extra_bytes = 0
        self._expected = _Expected.SIZE
        self._missing = 0
        self.content = PagedBytes()
        self.complete = False

    def feed(self, data: bytes, start: int) -> int:
        """Take bytes that have arrived, see ``Body``."""
        if self._expected is _Expected.SIZE:
            start = self._read_small_chunks(data, start)
        return self._read_chunk(data, start)

    def _read_small_chunks(self, data: bytes, start: int) -> int:
        """Take small chunks that have arrived whole, with little work for each."""
        pieces = []
        room = self._max_bytes - len(self.content)
        for _ in range(self._max_chunks):
            line_end = data.find(_LINE_END, start, start + _MAX_SMALL_LINE_BYTES)
            size = _SMALL_SIZES.get(data[start:line_end], 0) if line_end > 0 else 0
            begin = line_end + len(_LINE_END)
            end = begin + size
            after = end + len(_LINE_END)
            if not 0 < size <= room or data[end:after] != _LINE_END:
                break
            pieces.append(data[begin:end])
            room -= size
            start = after
        joined = b"".join(pieces)
        self.content.append(joined, 0, len(joined))
        return start

    def _read_chunk(self, data: bytes, start: int) -> int:
        """Take as much of the present chunk as has arrived."""
        if self._expected is _Expected.SIZE:
            start = self._read_size(data, start)
        if self._expected is _Expected.DATA:
            start = self._read_data(data, start)
        if self._expected is _Expected.DATA_END:
            start = self._read_data_end(data, start)
        if self._expected is _Expected.TRAILER:
            start = self._read_trailers(data, start)
        return start

    def _read_size(self, data: bytes, start: int) -> int:
        end = data.find(_LINE_END, start)
        if end < 0:
            self._check_partial(len(data) - start)
            return start
        match = _CHUNK_SIZE.fullmatch(data, start, end)
        if match is None:
            raise BodyRefused(400, "chunk size is not valid")
        self._count_extra(end - match.end(1))
        self._missing = int(match[1], 16)
        if len(self.content) + self._missing > self._max_bytes:
            raise BodyRefused(413, "body exceeds its limit")
        self._expected = _Expected.DATA if self._missing else _Expected.TRAILER
        return end + len(_LINE_END)

    def _read_data(self, data: bytes, start: int) -> int:
        end = min(len(data), start + self._missing)
        self.content.append(data, start, end)
        self._missing -= end - start
        if not self._missing:
            self._expected = _Expected.DATA_END
        return end

    def _read_data_end(self, data: bytes, start: int) -> int:
        present = data[start : start + len(_LINE_END)]
        if not _LINE_END.startswith(present):
            raise BodyRefused(400, "chunk does not end where its size says")
        if len(present) < len(_LINE_END):
            return start
        self._expected = _Expected.SIZE
        return start + len(_LINE_END)

    def _read_trailers(self, data: bytes, start: int) -> int:
        """Skip the fields after the last chunk."""
        while (end := data.find(_LINE_END, start)) > start:
            self._count_extra(end + len(_LINE_END) - start)
            start = end + len(_LINE_END)
        if end < 0:
            self._check_partial(len(data) - start)
            return start
        self.complete = True
        return start + len(_LINE_END)

    def _check_partial(self, length: int) -> None:
        """Check the length of a line of the framing whose end has not arrived."""
        if self._extra_bytes + length > self._max_extra_bytes + MAX_SIZE_LINE_BYTES:
            raise BodyRefused(431, "chunk extensions and trailers exceed the limit of a head")

    def _count_extra(self, length: int) -> None:
        self._extra_bytes += length
        self._check_partial(0)
