"""Checks that appends are done once and in order although answers are lost.

A writer that gets no answer cannot know whether the append was done. It repeats the append under
the same sequence number, which the store carries out once. Followers receive each record once.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.errors import ProducerFenced, StoreRefused
from linkspan.store.follower import Follower
from linkspan.store.types import Entry, Page, Partition, Producer, Record
from linkspan.store.writer import GroupWriter
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import run_virtual

LOG = Partition("log")


def values(store: MemoryStore) -> list[bytes]:
    return [entry.value for entry in store.log(LOG).entries]


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("seed", range(5))
def test_lost_answers_duplicate_no_record(seed: int, late: bool) -> None:
    async def play() -> MemoryStore:
        store = MemoryStore(seed)
        store.lost_answer_share, store.late = 0.5, late
        writer = GroupWriter(StoreLink(store, "h"), LOG, name="w", epoch=1)
        running = asyncio.create_task(writer.run())
        offsets = []
        for number in range(20):
            offsets.append(writer.write([Record(b"%d" % number)]))
            await asyncio.sleep(0.2)
        results = await asyncio.gather(*offsets)
        await asyncio.sleep(10.0)
        running.cancel()
        assert results == sorted(results)
        return store

    assert values(run_virtual(play())) == [b"%d" % number for number in range(20)]


def test_a_write_without_retries_fails_at_once_and_is_never_done() -> None:
    async def play() -> MemoryStore:
        store = MemoryStore()
        store.refusing.add("h")
        writer = GroupWriter(StoreLink(store, "h"), LOG, name="w", epoch=1)
        running = asyncio.create_task(writer.run())
        began = asyncio.get_running_loop().time()
        patient = writer.write([Record(b"patient")])
        with pytest.raises(StoreRefused):
            await writer.write([Record(b"impatient")], retry_refused=False)
        assert asyncio.get_running_loop().time() - began < 0.1
        store.refusing.clear()
        await patient
        await asyncio.sleep(5.0)
        running.cancel()
        return store

    assert values(run_virtual(play())) == [b"patient"]


def test_a_write_without_retries_and_of_unknown_outcome_does_not_fail() -> None:
    async def play() -> MemoryStore:
        store = MemoryStore()
        store.lost_answer_share, store.late = 1.0, True
        writer = GroupWriter(StoreLink(store, "h"), LOG, name="w", epoch=1)
        running = asyncio.create_task(writer.run())
        write = writer.write([Record(b"a")], retry_refused=False)
        await asyncio.sleep(0.5)
        store.lost_answer_share = 0.0
        store.refusing.add("h")
        await asyncio.sleep(2.0)
        assert not write.done(), "the outcome of the append is still unknown"
        store.refusing.clear()
        await write
        await asyncio.sleep(8.0)
        running.cancel()
        return store

    assert values(run_virtual(play())) == [b"a"]


def test_a_fenced_writer_stops() -> None:
    async def play() -> None:
        store = MemoryStore()
        store.apply(LOG, [], None, Producer("w", 5, 1))
        writer = GroupWriter(StoreLink(store, "h"), LOG, name="w", epoch=4)
        running = asyncio.create_task(writer.run())
        with pytest.raises(ProducerFenced):
            await writer.write([Record(b"a")])
        with pytest.raises(ProducerFenced):
            await running

    run_virtual(play())


@pytest.mark.parametrize("seed", range(5))
def test_a_follower_sees_each_record_once(seed: int) -> None:
    async def play() -> tuple[list[Entry], MemoryStore]:
        store = MemoryStore(seed)
        seen: list[Entry] = []
        link = StoreLink(store, "h")
        follower = Follower(link, LOG, on_entries=seen.extend)
        running = asyncio.create_task(follower.run())
        for number in range(30):
            store.put(LOG, b"", b"%d" % number)
            if number % 7 == 3:
                store.silent.add("h")
            if number % 7 == 6:
                store.silent.clear()
                await follower.sync()
            await asyncio.sleep(store.random.uniform(0.0, 0.6))
        await asyncio.sleep(4.0)
        running.cancel()
        return seen, store

    seen, store = run_virtual(play())
    assert seen == store.log(LOG).entries


def test_a_sync_reads_to_the_end_over_many_pages() -> None:
    """Checks that a sync does not end after one page: else later records count as missing."""

    class SmallPages(StoreLink):
        async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
            page = await super().read(partition, start, wait_s=wait_s)
            return Page(page.entries[:2], page.end)

    async def play() -> list[Entry]:
        store = MemoryStore()
        seen: list[Entry] = []
        for number in range(7):
            store.put(LOG, b"", b"%d" % number)
        follower = Follower(SmallPages(store, "h"), LOG, on_entries=seen.extend)
        await follower.sync()
        return seen

    assert [entry.value for entry in run_virtual(play())] == [b"%d" % n for n in range(7)]


def test_a_keyed_follower_reads_a_new_snapshot_after_a_gap() -> None:
    async def play() -> None:
        store = MemoryStore()
        keyed = Partition("keyed", keyed=True)
        resets: list[int] = []
        state: dict[bytes, bytes] = {}
        follower = Follower(
            StoreLink(store, "h"),
            keyed,
            on_entries=lambda entries: state.update({e.key: e.value for e in entries}),
            on_reset=lambda entries, end: (
                resets.append(end),
                state.update({e.key: e.value for e in entries}),
            )[0],
        )
        running = asyncio.create_task(follower.run())
        store.put(keyed, b"a", b"1")
        await asyncio.sleep(1.0)
        store.silent.add("h")
        await asyncio.sleep(3.0)
        store.put(keyed, b"b", b"2")
        store.forget(keyed)
        store.silent.clear()
        await asyncio.sleep(4.0)
        running.cancel()
        assert state == {b"a": b"1", b"b": b"2"}
        assert resets in ([0, 2], [1, 2])

    run_virtual(play())
