"""Finding the end of a log whose first records the store has dropped."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.errors import LogGap
from linkspan.store.follower import Follower
from linkspan.store.types import Entry, Partition, Record
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import run_virtual

THINGS = Partition("things")


class AskedLink(StoreLink):
    """Keeps where the end was asked from."""

    def __init__(self, store: MemoryStore) -> None:
        super().__init__(store, "h")
        self.asked: list[int] = []

    async def end(self, partition: Partition, start: int) -> int:
        self.asked.append(start)
        return await super().end(partition, start)


def write(store: MemoryStore, count: int) -> None:
    store.apply(THINGS, [Record(b"%d" % number) for number in range(count)], None, None)


def test_a_store_tells_where_its_records_begin_and_follows_nothing_itself() -> None:
    async def play() -> None:
        store = MemoryStore()
        write(store, 30)
        store.forget(THINGS)
        link = StoreLink(store, "h")
        with pytest.raises(LogGap) as gap:
            await link.end(THINGS, 0)
        assert gap.value.first == 30
        assert await link.end(THINGS, 30) == 30

    run_virtual(play())


def test_a_follower_that_begins_at_the_end_follows_the_stores_word_at_once() -> None:
    async def play() -> None:
        store = MemoryStore()
        write(store, 30)
        store.forget(THINGS)
        write(store, 10)
        link = AskedLink(store)
        taken: list[Entry] = []
        follower = Follower(link, THINGS, on_entries=taken.extend, max_past_records=4)
        began = asyncio.get_running_loop().time()
        await follower.sync()
        assert link.asked == [0, 30]
        assert [entry.offset for entry in taken] == [36, 37, 38, 39]
        assert asyncio.get_running_loop().time() - began < 0.02

    run_virtual(play())


class StuckLink(StoreLink):
    """Tells of a gap whose end is never reached."""

    def __init__(self, store: MemoryStore) -> None:
        super().__init__(store, "h")
        self.asked = 0

    async def end(self, partition: Partition, start: int) -> int:
        await super().end(partition, start)
        self.asked += 1
        raise LogGap(start)


def test_a_store_that_names_no_later_record_is_asked_again_with_a_pause() -> None:
    async def play() -> int:
        link = StuckLink(MemoryStore())
        health: list[bool] = []
        follower = Follower(
            link,
            THINGS,
            on_entries=lambda _entries: None,
            on_health=health.append,
            max_past_records=4,
        )
        work = asyncio.create_task(follower.run())
        await asyncio.sleep(6.0)
        work.cancel()
        assert health == [False]
        return link.asked

    # Pauses grow to 0.6 s.
    assert run_virtual(play()) <= 14
