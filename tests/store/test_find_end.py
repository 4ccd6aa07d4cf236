"""Checks the search for the end of a log whose first records the store has dropped.

The store answers a call from a dropped offset with the first offset it retains, and the follower
repeats the call from there. A store whose answers name no later offset must not be called in a
tight loop.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.errors import LogGap
from linkspan.store.follower import Follower
from linkspan.store.types import Entry, Partition, Record
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import run_virtual

THINGS = Partition("things")


class RecordingLink(StoreLink):
    """Records the start offset of each call for the end."""

    def __init__(self, store: MemoryStore) -> None:
        super().__init__(store, "h")
        self.starts: list[int] = []

    async def end(self, partition: Partition, start: int) -> int:
        self.starts.append(start)
        return await super().end(partition, start)


def write(store: MemoryStore, count: int) -> None:
    store.apply(THINGS, [Record(b"%d" % number) for number in range(count)], None, None)


def test_a_store_reports_its_first_offset_and_leaves_the_second_call_to_the_caller() -> None:
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


def test_a_follower_that_starts_near_the_end_calls_again_from_the_first_offset_at_once() -> None:
    async def play() -> None:
        store = MemoryStore()
        write(store, 30)
        store.forget(THINGS)
        write(store, 10)
        link = RecordingLink(store)
        received: list[Entry] = []
        follower = Follower(link, THINGS, on_entries=received.extend, max_past_records=4)
        began = asyncio.get_running_loop().time()
        await follower.sync()
        assert link.starts == [0, 30]
        assert [entry.offset for entry in received] == [36, 37, 38, 39]
        assert asyncio.get_running_loop().time() - began < 0.02

    run_virtual(play())


class EndlessGapLink(StoreLink):
    """Answers each call for the end with a gap that begins at the requested offset."""

    def __init__(self, store: MemoryStore) -> None:
        super().__init__(store, "h")
        self.calls = 0

    async def end(self, partition: Partition, start: int) -> int:
        await super().end(partition, start)
        self.calls += 1
        raise LogGap(start)


def test_a_store_that_reports_no_later_offset_is_called_again_after_a_delay() -> None:
    async def play() -> int:
        link = EndlessGapLink(MemoryStore())
        health: list[bool] = []
        follower = Follower(
            link,
            THINGS,
            on_entries=lambda _entries: None,
            on_health=health.append,
            max_past_records=4,
        )
        running = asyncio.create_task(follower.run())
        await asyncio.sleep(6.0)
        running.cancel()
        assert health == [False]
        return link.calls

    # The delay between calls grows to 0.6 s.
    assert run_virtual(play()) <= 14
