"""Listings of keys: whole, as of one offset, one at a time, and never over newer state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from linkspan.errors import LogGap, StoreUnanswered
from linkspan.store.follower import Follower
from linkspan.store.keyed_snapshot import KeyedSnapshot
from linkspan.store.types import Entry, KeyPage, Page, Partition
from tests.standins.memory_store import LISTED_KEYS, READ_RECORDS, MemoryStore, StoreLink
from tests.virtual_time import run_virtual

KEYED = Partition("keyed", keyed=True)
HOST = "h"
SECOND_PAGE_S = 1.0
"""Time that the second page of a listing takes."""


class Reader:
    """A follower, and what it applied."""

    def __init__(self, link: StoreLink) -> None:
        self.state: dict[bytes, bytes] = {}
        self.listed_to: list[int] = []
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
        self.listed_to.append(end)

    def _on_caught_up(self) -> None:
        self.offsets.append(self.follower.offset)
        self.caught_up.append(dict(self.state))


class Links(StoreLink):
    """A way to the store with something that happens at each call."""

    def __init__(self, store: MemoryStore) -> None:
        super().__init__(store, HOST)
        self.lists = 0
        self.before_read: Callable[[], None] = lambda: None
        self.after_list: Callable[[], None] = lambda: None

    async def newest_records_page(
        self, partition: Partition, *, after: bytes | None = None
    ) -> KeyPage:
        self.lists += after is None
        page = await super().newest_records_page(partition, after=after)
        if not page.more:
            self.after_list()
        return page

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        self.before_read()
        return await super().read(partition, start, wait_s=wait_s)


async def read_snapshot(link: StoreLink, partition: Partition) -> tuple[tuple[Entry, ...], int]:
    """Return the newest record of each key as a follower would take it."""
    while True:
        listing = KeyedSnapshot(link, partition)
        try:
            await listing.read()
        except LogGap:
            continue
        newest = {entry.key: entry for entry in listing.entries}
        return tuple(entry for entry in newest.values() if entry.value), listing.end


def filled(store: MemoryStore, *, keys: int = LISTED_KEYS + 1) -> None:
    """Write so many keys that a listing takes two pages by default."""
    for number in range(keys):
        store.put(KEYED, b"k%03d" % number, b"old")


def newest_of(store: MemoryStore) -> dict[bytes, bytes]:
    state = {entry.key: entry.value for entry in store.log(KEYED).entries}
    return {key: value for key, value in state.items() if value}


def test_a_record_that_moves_between_pages_is_in_a_snapshot() -> None:
    """Its old key stands on a page to come, its new one on a page that was read."""

    async def play() -> tuple[dict[bytes, bytes], dict[bytes, bytes], int, int]:
        store = MemoryStore()
        filled(store)
        store.put(KEYED, b"s:job", b"submitted")
        store.page_delays[HOST, KEYED] = [0.0, SECOND_PAGE_S]
        reading = asyncio.create_task(read_snapshot(StoreLink(store, HOST), KEYED))
        await asyncio.sleep(SECOND_PAGE_S / 2)
        store.put(KEYED, b"f:job", b"finished")
        store.put(KEYED, b"s:job", b"")
        store.put(KEYED, b"k000", b"")
        for _ in range(READ_RECORDS):
            store.put(KEYED, b"k001", b"new")
        entries, end = await reading
        read = {entry.key: entry.value for entry in entries}
        return read, newest_of(store), end, store.log(KEYED).end

    read, newest, end, log_end = run_virtual(play())
    assert read == newest
    assert end == log_end


def test_what_is_told_after_a_listing_is_as_of_one_offset() -> None:
    """A host that had just read the keys answered that a finished job was not there."""

    async def play() -> tuple[list[dict[bytes, bytes]], dict[bytes, bytes]]:
        store = MemoryStore()
        filled(store)
        store.put(KEYED, b"s:job", b"submitted")
        store.page_delays[HOST, KEYED] = [0.0, SECOND_PAGE_S]
        reader = Reader(StoreLink(store, HOST))
        work = asyncio.create_task(reader.follower.run())
        await asyncio.sleep(SECOND_PAGE_S / 2)
        store.put(KEYED, b"f:job", b"finished")
        store.put(KEYED, b"s:job", b"")
        await asyncio.sleep(2 * SECOND_PAGE_S)
        work.cancel()
        return reader.caught_up, newest_of(store)

    caught_up, newest = run_virtual(play())
    assert caught_up
    assert all(state == newest for state in caught_up)


def test_a_listing_whose_records_are_gone_is_made_anew() -> None:
    """What was written during the listing cannot be read on from."""

    async def play() -> tuple[dict[bytes, bytes], dict[bytes, bytes], int]:
        store = MemoryStore()
        filled(store)
        link = Links(store)

        def lose_history() -> None:
            if link.lists < 3:
                store.put(KEYED, b"k000", b"new %d" % link.lists)
                store.put(KEYED, b"late %d" % link.lists, b"1")
                store.forget(KEYED)

        link.after_list = lose_history
        entries, _ = await read_snapshot(link, KEYED)
        return {e.key: e.value for e in entries}, newest_of(store), link.lists

    read, newest, lists = run_virtual(play())
    assert read == newest
    assert lists == 3


def test_readers_that_wait_for_a_listing_list_no_more() -> None:
    """Callers asked a host that had just started, and each had the keys listed again."""

    async def play() -> tuple[int, list[int], list[int]]:
        store = MemoryStore()
        filled(store)
        link = Links(store)
        store.page_delays[HOST, KEYED] = [0.0, SECOND_PAGE_S]
        reader = Reader(link)
        work = asyncio.create_task(reader.follower.run())
        await asyncio.sleep(SECOND_PAGE_S / 2)
        store.put(KEYED, b"k000", b"new")
        await asyncio.gather(*(reader.follower.sync() for _ in range(5)))
        assert reader.state == newest_of(store)
        await asyncio.sleep(SECOND_PAGE_S)
        work.cancel()
        return link.lists, reader.listed_to, reader.offsets

    lists, listed_to, offsets = run_virtual(play())
    assert lists == 1
    assert len(listed_to) == 1
    assert offsets == sorted(offsets)


def test_a_caller_that_leaves_in_the_middle_of_a_listing_holds_up_nobody() -> None:
    async def play() -> bool:
        store = MemoryStore()
        filled(store)
        store.page_delays[HOST, KEYED] = [0.0, SECOND_PAGE_S]
        reader = Reader(StoreLink(store, HOST))
        leaver = asyncio.create_task(reader.follower.sync())
        await asyncio.sleep(SECOND_PAGE_S / 2)
        waiters = [asyncio.create_task(reader.follower.sync()) for _ in range(2)]
        await asyncio.sleep(0.0)
        leaver.cancel()
        waiters[0].cancel()
        await asyncio.wait_for(waiters[1], SECOND_PAGE_S)
        return reader.state == newest_of(store) and reader.follower.ready

    assert run_virtual(play())


def test_a_listing_that_cannot_be_read_on_from_is_not_applied() -> None:
    """The store fails between the listing and what was written during it."""

    async def play() -> tuple[list[int], list[int]]:
        store = MemoryStore()
        filled(store)
        link = Links(store)
        link.after_list = lambda: store.silent.add(HOST)
        reader = Reader(link)
        with pytest.raises(StoreUnanswered):
            await reader.follower.sync()
        before = list(reader.listed_to)
        assert not reader.follower.ready
        assert reader.follower.offset < 0
        link.after_list = lambda: None
        store.silent.clear()
        await reader.follower.sync()
        return before, reader.listed_to

    before, after = run_virtual(play())
    assert before == []
    assert len(after) == 1


def test_an_empty_partition_is_listed_to_its_end() -> None:
    async def play() -> tuple[list[int], int, bool]:
        reader = Reader(StoreLink(MemoryStore(), HOST))
        await reader.follower.sync()
        return reader.listed_to, reader.follower.offset, reader.follower.ready

    assert run_virtual(play()) == ([0], 0, True)


class OvertakenLink(StoreLink):
    """Answers of the store that overtake each other.

    A sync meets a gap; the long read of the other reader is answered past the gap, and
    goes on from there while the listing of the first is still on its way.
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


def test_a_reader_that_asked_during_the_last_answer_reads_once_more() -> None:
    """What a listing holds is as old as the question for it, not as its answer."""

    async def play() -> tuple[dict[bytes, bytes], dict[bytes, bytes]]:
        store = MemoryStore()
        filled(store, keys=3)
        link = OvertakenLink(store)
        link.slow_s = SECOND_PAGE_S
        reader = Reader(link)
        work = asyncio.create_task(reader.follower.run())
        await asyncio.sleep(SECOND_PAGE_S / 2)
        store.put(KEYED, b"k000", b"new")
        await reader.follower.sync()
        read = dict(reader.state)
        work.cancel()
        return read, newest_of(store)

    read, newest = run_virtual(play())
    assert read == newest


def test_a_listing_that_another_reader_has_passed_is_not_applied() -> None:
    """An older listing over newer state: the offset went back, and what was known with it."""

    async def play() -> tuple[list[int], list[dict[bytes, bytes]]]:
        store = MemoryStore()
        filled(store, keys=3)
        link = OvertakenLink(store)
        reader = Reader(link)
        work = asyncio.create_task(reader.follower.run())
        await asyncio.sleep(0.5)
        link.gap = True
        late = asyncio.create_task(reader.follower.sync())
        await asyncio.sleep(SECOND_PAGE_S / 2)
        store.put(KEYED, b"k000", b"new")
        await late
        work.cancel()
        return reader.offsets, reader.caught_up

    offsets, caught_up = run_virtual(play())
    assert offsets == sorted(offsets)
    values = [state[b"k000"] for state in caught_up]
    assert values == sorted(values, key=[b"old", b"new"].index)
