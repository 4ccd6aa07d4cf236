"""Bytes that grow without being moved."""

from __future__ import annotations

PAGE_BYTES = 16 * 1024
"""Size of a page. Pages of one size leave no gaps in the process's memory when they are freed."""


class PagedBytes:
    """Bytes in pages, to which more are appended.

    Example:
        >>> content = PagedBytes()
        >>> content.append(b"<abc>", 1, 4)
        >>> len(content), content.take()
        (3, b'abc')
    """

    __slots__ = ("_length", "_pages")

    def __init__(self) -> None:
        self._pages: list[bytearray] = []
        self._length = 0

    def __repr__(self) -> str:
        return f"PagedBytes({self._length} bytes)"

    def __len__(self) -> int:
        return self._length

    def append(self, data: bytes, start: int, end: int) -> None:
        """Append the bytes of ``data`` from ``start`` to before ``end``."""
        pages = self._pages
        while start < end:
            used = self._length % PAGE_BYTES
            if not used:
                pages.append(bytearray())
            stop = min(end, start + PAGE_BYTES - used)
            pages[-1] += data[start:stop]
            self._length += stop - start
            start = stop

    def take(self) -> bytes:
        """Return all bytes, and keep none."""
        taken = b"".join(self._pages)
        self._pages = []
        self._length = 0
        return taken
