"""A text stream that drops lines instead of blocking on a slow reader."""

from __future__ import annotations

import os

MAX_BUFFER_BYTES = 256 * 1024
"""Maximum size of the buffer for a slow reader. It holds a few seconds of lines at the rate limit
of one event, and is less than 1 % of a host's memory."""


class DroppingStream:
    """Writes to a file descriptor without ever blocking.

    Args:
        descriptor: File descriptor to write to; it is set to non-blocking mode.
        limit: Buffer size in bytes; lines that do not fit are dropped as a whole.
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
        """Return the number of lines dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def write(self, text: str) -> int:
        """Write a line, or drop it if the buffer is full."""
        line = text.encode()
        if self._buffer:
            self.flush()
        if len(self._buffer) + len(line) > self._limit:
            self._dropped += 1
            return 0
        self._buffer += line
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the stream; a failing log must not stop the daemon.
                self._dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:written]
