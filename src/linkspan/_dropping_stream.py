"""A text stream that drops lines rather than wait for its reader."""

from __future__ import annotations

import os

MAX_BUFFER_BYTES = 256 * 1024
"""Bytes kept for a reader that is behind: some seconds of lines at the bound on floods,
and under one part in a hundred of a host's memory."""


class DroppingStream:
    """Writes to a file descriptor that is never waited for.

    Args:
        descriptor: Where to write; it is made non-blocking.
        limit: Bytes kept while the reader is behind; whole lines past that are dropped.
    """

    def __init__(self, descriptor: int, *, limit: int = MAX_BUFFER_BYTES) -> None:
        self._descriptor = descriptor
        self._limit = limit
        self._buffer = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def __repr__(self) -> str:
        return f"DroppingStream({self._descriptor}, {len(self._buffer)} bytes)"

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def write(self, text: str) -> int:
        """Write a line, or drop it if the reader is too far behind."""
        line = text.encode()
        if self._buffer:
            self.flush()
        if len(self._buffer) + len(line) > self._limit:
            self._dropped += 1
            return 0
        self._buffer += line
        return len(text)

    def flush(self) -> None:
        """Hand on what the reader takes at once."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more: a log must not end its daemon.
                self._dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:written]
