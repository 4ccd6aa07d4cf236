"""The newest record of each key of a partition, page by page and as of one offset."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.store.types import Entry, Partition, Store


class Listing:
    """Reads the newest records; what came is kept over calls that fail.

    Args:
        store: Where to read.
        partition: Keyed partition to read.
    """

    def __init__(self, store: Store, partition: Partition) -> None:
        self._store = store
        self._partition = partition
        self._entries: list[Entry] = []
        self._end = -1
        self._listed = False

    def __repr__(self) -> str:
        return f"Listing({self._partition}, {len(self._entries)} keys, listed={self._listed})"

    @property
    def entries(self) -> tuple[Entry, ...]:
        """What was read so far, in order of offsets."""
        return tuple(sorted(self._entries))

    @property
    def end(self) -> int:
        """End of the partition when the first page was read: reading on there misses nothing."""
        return self._end

    async def read(self) -> None:
        """Read the pages that are missing.

        Raises:
            StoreRefused: The store answers with a refusal; call again to go on.
            StoreUnanswered: The store does not answer; call again to go on.
        """
        while not self._listed:
            await self._read_page()

    async def _read_page(self) -> None:
        after = self._entries[-1].key if self._entries else None
        page = await self._store.newest_page(self._partition, after=after)
        if self._end < 0:
            self._end = page.end
        self._entries += page.entries
        self._listed = not page.more
