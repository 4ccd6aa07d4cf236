"""A keyed follower's view against the log itself, over drawn failures, gaps and changes."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest

from linkspan.errors import StoreRefused, StoreUnanswered
from linkspan.store.follower import Follower
from linkspan.store.types import Entry, KeyPage, Page, Partition
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import run_virtual

THINGS = Partition("things", keyed=True)
KEYS = [b"%02d" % number for number in range(12)]
PAUSES_S = (0.0, 0.005, 0.005, 0.2)
"""Times between changes: several come between two pages, and some while nothing is read."""


class PagedLink(StoreLink):
    """Answers in pages of three, late, and now and then not at all."""

    listed_keys = 3

    def __init__(self, store: MemoryStore) -> None:
        super().__init__(store, "h")
        self._memory = store

    async def newest_records_page(
        self, partition: Partition, *, after: bytes | None = None
    ) -> KeyPage:
        page = await super().newest_records_page(partition, after=after)
        await self._travel()
        return page

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        page = await super().read(partition, start, wait_s=wait_s)
        await self._travel()
        return Page(page.entries[:3], page.end)

    async def _travel(self) -> None:
        await asyncio.sleep(self._memory.random.uniform(0.0, 0.03))
        if self._memory.random.random() < 0.2:
            raise StoreUnanswered("broken off")


class View:
    """What a follower told, checked against the log."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.state: dict[bytes, bytes] = {}
        self.offset = 0
        self.resets = 0

    def reset(self, entries: tuple[Entry, ...], end: int) -> None:
        assert end >= self.offset, "an older state is told after a newer one"
        assert list(entries) == sorted(entries)
        self.state = {}
        self.resets += 1
        self._fold(entries)
        self.offset = end
        assert self.state == self.true_state(end), "no state that ever was"

    def take(self, entries: tuple[Entry, ...]) -> None:
        assert [e.offset for e in entries] == list(
            range(self.offset, self.offset + len(entries))
        ), "a record is missed or told twice"
        self._fold(entries)
        self.offset += len(entries)

    def _fold(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self.state[entry.key] = entry.value
        self.state = {key: value for key, value in self.state.items() if value}

    def true_state(self, end: int) -> dict[bytes, bytes]:
        newest = {entry.key: entry.value for entry in self._store.log(THINGS).entries[:end]}
        return {key: value for key, value in newest.items() if value}


async def _change(store: MemoryStore) -> None:
    for number in range(400):
        value = b"" if store.random.random() < 0.3 else b"%d" % number
        store.put(THINGS, store.random.choice(KEYS), value)
        if store.random.random() < 0.03:
            store.forget(THINGS)
        await asyncio.sleep(store.random.choice(PAUSES_S))


async def _ask(follower: Follower) -> None:
    while True:
        with suppress(StoreRefused, StoreUnanswered):
            await follower.sync()
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("seed", range(20))
def test_each_state_that_is_told_was_the_logs(seed: int) -> None:
    async def play() -> None:
        store = MemoryStore(seed)
        for key in KEYS:
            store.put(THINGS, key, b"first")
        view = View(store)
        follower = Follower(
            PagedLink(store), THINGS, on_entries=view.take, on_reset=view.reset, pause_s=0.01
        )
        work = [asyncio.create_task(follower.run())]
        work += [asyncio.create_task(_ask(follower)) for _ in range(3)]
        await _change(store)
        await asyncio.sleep(10.0)
        assert view.offset == store.log(THINGS).end
        assert view.state == view.true_state(view.offset)
        assert view.resets >= 1
        for task in work:
            assert not task.done(), task
            task.cancel()

    run_virtual(play())
