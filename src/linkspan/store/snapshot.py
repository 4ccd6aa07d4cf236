"""The newest record of each key of a partition, all as of one offset."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.errors import LogGap

if TYPE_CHECKING:
    from linkspan.store.types import Entry, Partition, Store


async def read_snapshot(store: Store, partition: Partition) -> tuple[tuple[Entry, ...], int]:
    """Return the newest record of each key, and the offset up to which they hold.

    The pages of a listing are read one after the other: a record that moves from one
    key to another meanwhile, as a job does from its submission to its end, may be in
    none of them. Read on from where the listing began, it is found.

    Raises:
        StoreRefused: The store answers with a refusal.
        StoreUnanswered: The store does not answer.
    """
    while True:
        listing = await store.newest(partition)
        newest = {entry.key: entry for entry in listing.entries}
        try:
            end = await _read_on(store, partition, listing.end, newest)
        except LogGap:
            # What was written during the listing is gone already: it is listed anew.
            continue
        return tuple(newest.values()), end


async def _read_on(
    store: Store, partition: Partition, start: int, newest: dict[bytes, Entry]
) -> int:
    """Bring listed records up to the present end of the partition, and return that end."""
    while True:
        page = await store.read(partition, start)
        for entry in page.entries:
            if entry.value:
                newest[entry.key] = entry
            else:
                newest.pop(entry.key, None)
            start = entry.offset + 1
        if start >= page.end:
            return start
