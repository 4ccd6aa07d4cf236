"""Reads a snapshot of the keys of a partition: the newest record of each key as of one offset."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.clock import steady

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.store.types import Entry, Partition, Store


class KeyedSnapshot:
    """Reader of a snapshot of the keys, page by page.

    A read that fails keeps the pages read so far, and the next call continues from there.

    Args:
        store: Store to read from.
        partition: Keyed partition to read.
    """

    def __init__(self, store: Store, partition: Partition) -> None:
        self._store = store
        self._partition = partition
        self._last_key: bytes | None = None
        self._all_pages_read = False
        self._end = -1
        self._by_offset: dict[int, Entry] = {}

    def __repr__(self) -> str:
        return f"KeyedSnapshot({self._partition}, {len(self._by_offset)} records, end={self._end})"

    @property
    def entries(self) -> tuple[Entry, ...]:
        """Records read so far, in order of offsets; including keys that were removed since."""
        return tuple(self._by_offset[offset] for offset in sorted(self._by_offset))

    @property
    def end(self) -> int:
        """Offset up to which the records were read; negative before the first page."""
        return self._end

    async def read(self) -> float:
        """Read what is missing and return the steady time as of which the snapshot is complete.

        The pages are read one after another and are not consistent by themselves. The reader
        therefore also reads all records written since the first page.

        Raises:
            StoreRefused: The store refused a call; call again to continue.
            StoreUnanswered: The store did not answer; call again to continue.
            LogGap: Records written since the first page have expired; begin a new snapshot.
        """
        while not self._all_pages_read:
            await self._read_page()
        while True:
            asked_at = steady()
            if await self._read_to_end():
                return asked_at

    async def _read_page(self) -> None:
        page = await self._store.newest_records_page(self._partition, after=self._last_key)
        if self._end < 0:
            self._end = page.end
        if page.entries:
            self._last_key = page.entries[-1].key
        self._add_entries(page.entries)
        self._all_pages_read = not page.more

    async def _read_to_end(self) -> bool:
        page = await self._store.read(self._partition, self._end)
        self._add_entries(page.entries)
        if page.entries:
            self._end = page.entries[-1].offset + 1
        return self._end >= page.end

    def _add_entries(self, entries: Iterable[Entry]) -> None:
        self._by_offset.update((entry.offset, entry) for entry in entries)
