"""Checks snapshots of the keys: complete, of one offset, shared, and never over newer state.

The pages of newest records are read at different times, so a record that moves to another key
between two pages is in neither. A snapshot is the pages and the records that were written while
they were read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from linkspan.errors import LogGap, StoreUnanswered
from linkspan.store.follower import Follower
from linkspan.store.keyed_snapshot import KeyedSnapshot
from linkspan.store.types import Entry, KeyPage, Page, Partition
from tests.standins.memory_store import MAX_PAGE_KEYS, MAX_READ_RECORDS, MemoryStore, StoreLink
from tests.virtual_time import run_virtual

KEYED = Partition("keyed", keyed=True)
HOST = "h"
SECOND_PAGE_S = 1.0
"""Delay of the second page of a snapshot."""


class Reader:
    """A follower with the state and the offsets that it reported."""

    def __init__(self, link: StoreLink) -> None:
        self.state: dict[bytes, bytes] = {}
        self.reset_offsets: list[int] = []
        self.offsets: list[int] = []
        self.caught_up: list[dict[bytes, bytes]] = []
        self.follower = Follower(
            link,
            KEYED,
            on_entries=self._on_entries,
            on_reset=self._on_reset,
            on_caught_up=self._on_caught_up,
        )

    def _on_entries(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self.state[entry.key] = entry.value
            if not entry.value:
                del self.state[entry.key]

    def _on_reset(self, entries: tuple[Entry, ...], end: int) -> None:
        self.state = {}
        self._on_entries(entries)
        self.reset_offsets.append(end)

    def _on_caught_up(self) -> None:
        self.offsets.append(self.follower.offset)
        self.caught_up.append(dict(self.state))


class HookedLink(StoreLink):
    """A link to the store with callbacks before a read and after the last page of a snapshot."""

    def __init__(self, store: MemoryStore) -> None:
        super().__init__(store, HOST)
        self.snapshot_count = 0
        self.before_read: Callable[[], None] = lambda: None
        self.after_last_page: Callable[[], None] = lambda: None

    async def newest_records_page(
        self, partition: Partition, *, after: bytes | None = None
    ) -> KeyPage:
        self.snapshot_count += after is None
        page = await super().newest_records_page(partition, after=after)
        if not page.more:
            self.after_last_page()
        return page

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        self.before_read()
        return await super().read(partition, start, wait_s=wait_s)


async def read_snapshot(link: StoreLink, partition: Partition) -> tuple[tuple[Entry, ...], int]:
    """Return the newest record of each key, as a follower applies it, and its offset."""
    while True:
        snapshot = KeyedSnapshot(link, partition)
        try:
            await snapshot.read()
        except LogGap:
            continue
        newest = {entry.key: entry for entry in snapshot.entries}
        return tuple(entry for entry in newest.values() if entry.value), snapshot.end


def fill(store: MemoryStore, *, keys: int = MAX_PAGE_KEYS + 1) -> None:
    """Write keys, by default as many as fill one page and need a second one."""
    for number in range(keys):
        store.put(KEYED, b"k%03d" % number, b"old")


def newest_values(store: MemoryStore) -> dict[bytes, bytes]:
    state = {entry.key: entry.value for entry in store.log(KEYED).entries}
    return {key: value for key, value in state.items() if value}


def test_a_record_that_moves_between_pages_is_in_the_snapshot() -> None:
    """Checks a record whose new key is on a page already read, its old key on a later page."""

    async def play() -> tuple[dict[bytes, bytes], dict[bytes, bytes], int, int]:
        store = MemoryStore()
        fill(store)
        store.put(KEYED, b"s:job", b"submitted")
        store.page_delays[HOST, KEYED] = [0.0, SECOND_PAGE_S]
        reading = asyncio.create_task(read_snapshot(StoreLink(store, HOST), KEYED))
        await asyncio.sleep(SECOND_PAGE_S / 2)
        store.put(KEYED, b"f:job", b"finished")
        store.put(KEYED, b"s:job", b"")
        store.put(KEYED, b"k000", b"")
        for _ in range(MAX_READ_RECORDS):
            store.put(KEYED, b"k001", b"new")
        entries, end = await reading
        read = {entry.key: entry.value for entry in entries}
        return read, newest_values(store), end, store.log(KEYED).end

    read, newest, end, log_end = run_virtual(play())
    assert read == newest
    assert end == log_end


def test_the_state_after_a_snapshot_is_of_one_offset() -> None:
    """Checks a job that finishes between two pages: else the host reports it as unknown."""

    async def play() -> tuple[list[dict[bytes, bytes]], dict[bytes, bytes]]:
        store = MemoryStore()
        fill(store)
        store.put(KEYED, b"s:job", b"submitted")
        store.page_delays[HOST, KEYED] = [0.0, SECOND_PAGE_S]
        reader = Reader(StoreLink(store, HOST))
        running = asyncio.create_task(reader.follower.run())
        await asyncio.sleep(SECOND_PAGE_S / 2)
        store.put(KEYED, b"f:job", b"finished")
        store.put(KEYED, b"s:job", b"")
        await asyncio.sleep(2 * SECOND_PAGE_S)
        running.cancel()
        return reader.caught_up, newest_values(store)

    caught_up, newest = run_virtual(play())
    assert caught_up
    assert all(state == newest for state in caught_up)


def test_a_snapshot_is_read_again_after_a_gap() -> None:
    """Checks that the snapshot is read again if the store drops records written during it."""

    async def play() -> tuple[dict[bytes, bytes], dict[bytes, bytes], int]:
        store = MemoryStore()
        fill(store)
        link = HookedLink(store)

        def drop_history() -> None:
            if link.snapshot_count < 3:
                store.put(KEYED, b"k000", b"new %d" % link.snapshot_count)
                store.put(KEYED, b"late %d" % link.snapshot_count, b"1")
                store.forget(KEYED)

        link.after_last_page = drop_history
        entries, _ = await read_snapshot(link, KEYED)
        return {e.key: e.value for e in entries}, newest_values(store), link.snapshot_count

    read, newest, snapshot_count = run_virtual(play())
    assert read == newest
    assert snapshot_count == 3


def test_readers_that_wait_for_a_snapshot_share_it() -> None:
    """Checks that callers of a host that has just started wait for its first snapshot."""

    async def play() -> tuple[int, list[int], list[int]]:
        store = MemoryStore()
        fill(store)
        link = HookedLink(store)
        store.page_delays[HOST, KEYED] = [0.0, SECOND_PAGE_S]
        reader = Reader(link)
        running = asyncio.create_task(reader.follower.run())
        await asyncio.sleep(SECOND_PAGE_S / 2)
        store.put(KEYED, b"k000", b"new")
        await asyncio.gather(*(reader.follower.sync() for _ in range(5)))
        assert reader.state == newest_values(store)
        await asyncio.sleep(SECOND_PAGE_S)
        running.cancel()
        return link.snapshot_count, reader.reset_offsets, reader.offsets

    snapshot_count, reset_offsets, offsets = run_virtual(play())
    assert snapshot_count == 1
    assert len(reset_offsets) == 1
    assert offsets == sorted(offsets)


def test_a_cancelled_reader_does_not_delay_the_other_readers_of_a_snapshot() -> None:
    async def play() -> bool:
        store = MemoryStore()
        fill(store)
        store.page_delays[HOST, KEYED] = [0.0, SECOND_PAGE_S]
        reader = Reader(StoreLink(store, HOST))
        leaving = asyncio.create_task(reader.follower.sync())
        await asyncio.sleep(SECOND_PAGE_S / 2)
        waiting = [asyncio.create_task(reader.follower.sync()) for _ in range(2)]
        await asyncio.sleep(0.0)
        leaving.cancel()
        waiting[0].cancel()
        await asyncio.wait_for(waiting[1], SECOND_PAGE_S)
        return reader.state == newest_values(store) and reader.follower.ready

    assert run_virtual(play())


def test_a_snapshot_whose_later_records_are_not_read_is_not_applied() -> None:
    """Checks a store that fails between the pages and the read of records written meanwhile."""

    async def play() -> tuple[list[int], list[int]]:
        store = MemoryStore()
        fill(store)
        link = HookedLink(store)
        link.after_last_page = lambda: store.silent.add(HOST)
        reader = Reader(link)
        with pytest.raises(StoreUnanswered):
            await reader.follower.sync()
        before = list(reader.reset_offsets)
        assert not reader.follower.ready
        assert reader.follower.offset < 0
        link.after_last_page = lambda: None
        store.silent.clear()
        await reader.follower.sync()
        return before, reader.reset_offsets

    before, after = run_virtual(play())
    assert before == []
    assert len(after) == 1


def test_an_empty_partition_has_an_empty_snapshot() -> None:
    async def play() -> tuple[list[int], int, bool]:
        reader = Reader(StoreLink(MemoryStore(), HOST))
        await reader.follower.sync()
        return reader.reset_offsets, reader.follower.offset, reader.follower.ready

    assert run_virtual(play()) == ([0], 0, True)


class OvertakenLink(StoreLink):
    """Delays answers of the store so that they overtake each other.

    A sync receives a gap. The long poll of the other reader is answered past the gap and
    continues from there, while the snapshot of the sync is still delayed.
    """

    def __init__(self, store: MemoryStore) -> None:
        super().__init__(store, HOST)
        self.gap = False
        self.slow_s = 0.0

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        if self.gap and not wait_s:
            self.gap = False
            self.slow_s = SECOND_PAGE_S
            raise LogGap(start + 1)
        page = await super().read(partition, start, wait_s=wait_s)
        if not wait_s and self.slow_s:
            slow_s, self.slow_s = self.slow_s, 0.0
            await asyncio.sleep(slow_s)
        return page


def test_a_sync_that_begins_during_a_read_reads_once_more() -> None:
    """Checks that an answer counts with the time of its request, not of its arrival."""

    async def play() -> tuple[dict[bytes, bytes], dict[bytes, bytes]]:
        store = MemoryStore()
        fill(store, keys=3)
        link = OvertakenLink(store)
        link.slow_s = SECOND_PAGE_S
        reader = Reader(link)
        running = asyncio.create_task(reader.follower.run())
        await asyncio.sleep(SECOND_PAGE_S / 2)
        store.put(KEYED, b"k000", b"new")
        await reader.follower.sync()
        read = dict(reader.state)
        running.cancel()
        return read, newest_values(store)

    read, newest = run_virtual(play())
    assert read == newest


def test_a_snapshot_older_than_the_followers_offset_is_not_applied() -> None:
    """Checks that the offset and the state never go back to those of an older snapshot."""

    async def play() -> tuple[list[int], list[dict[bytes, bytes]]]:
        store = MemoryStore()
        fill(store, keys=3)
        link = OvertakenLink(store)
        reader = Reader(link)
        running = asyncio.create_task(reader.follower.run())
        await asyncio.sleep(0.5)
        link.gap = True
        delayed_sync = asyncio.create_task(reader.follower.sync())
        await asyncio.sleep(SECOND_PAGE_S / 2)
        store.put(KEYED, b"k000", b"new")
        await delayed_sync
        running.cancel()
        return reader.offsets, reader.caught_up

    offsets, caught_up = run_virtual(play())
    assert offsets == sorted(offsets)
    values = [state[b"k000"] for state in caught_up]
    assert values == sorted(values, key=[b"old", b"new"].index)
