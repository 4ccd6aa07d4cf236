"""The newest record of each key of a partition, page by page and as of one offset."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.clock import steady

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.store.types import Entry, Partition, Store


class KeyedSnapshot:
    """Reads the newest records; what came is kept over calls that fail.

    Args:
        store: Where to read.
        partition: Keyed partition to read.
    """

    def __init__(self, store: Store, partition: Partition) -> None:
        self._store = store
        self._partition = partition
        self._after: bytes | None = None
        self._listed = False
        self._end = -1
        self._by_offset: dict[int, Entry] = {}

    def __repr__(self) -> str:
        return f"KeyedSnapshot({self._partition}, {len(self._by_offset)} records, end={self._end})"

    @property
    def entries(self) -> tuple[Entry, ...]:
        """What was read so far, in order of offsets; among them keys that were dropped since."""
        return tuple(self._by_offset[offset] for offset in sorted(self._by_offset))

    @property
    def end(self) -> int:
        """Offset up to which records were read; below 0 before the first page."""
        return self._end

    async def read(self) -> float:
        """Read what is missing, and return the steady time as of which nothing is.

        Pages of keys are no snapshot. The records from the first page's end on, read
        after the last page, make them one.

        Raises:
            StoreRefused: The store answers with a refusal; call again to go on.
            StoreUnanswered: The store does not answer; call again to go on.
            LogGap: Records since the first page are gone: begin another listing.
        """
        while not self._listed:
            await self._read_page()
        while True:
            asked = steady()
            if await self._reach_end():
                return asked

    async def _read_page(self) -> None:
        page = await self._store.newest_page(self._partition, after=self._after)
        if self._end < 0:
            self._end = page.end
        if page.entries:
            self._after = page.entries[-1].key
        self._keep(page.entries)
        self._listed = not page.more

    async def _reach_end(self) -> bool:
        page = await self._store.read(self._partition, self._end)
        self._keep(page.entries)
        if page.entries:
            self._end = page.entries[-1].offset + 1
        return self._end >= page.end

    def _keep(self, entries: Iterable[Entry]) -> None:
        self._by_offset.update((entry.offset, entry) for entry in entries)
