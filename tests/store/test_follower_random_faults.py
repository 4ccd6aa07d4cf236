"""Checks a keyed follower's state against the log under random failures, gaps and changes.

The pages of newest records, the reads that bring them to one offset, and the reads of several
callers overlap. Each state that the follower reports must have existed in the log, and no report
may be older than the previous one.
"""

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
"""Times between changes, so that several fall between two pages and some between reads."""


class PagedLink(StoreLink):
    """Answers in pages of three records, with delays, and loses a fifth of the answers."""

    listed_keys = 3

    def __init__(self, store: MemoryStore) -> None:
        super().__init__(store, "h")
        self._memory_store = store

    async def newest_records_page(
        self, partition: Partition, *, after: bytes | None = None
    ) -> KeyPage:
        page = await super().newest_records_page(partition, after=after)
        await self._delay_or_lose()
        return page

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        page = await super().read(partition, start, wait_s=wait_s)
        await self._delay_or_lose()
        return Page(page.entries[:3], page.end)

    async def _delay_or_lose(self) -> None:
        await asyncio.sleep(self._memory_store.random.uniform(0.0, 0.03))
        if self._memory_store.random.random() < 0.2:
            raise StoreUnanswered("broken off")


class View:
    """State that a follower reported, checked against the log."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.state: dict[bytes, bytes] = {}
        self.offset = 0
        self.resets = 0

    def reset(self, entries: tuple[Entry, ...], end: int) -> None:
        assert end >= self.offset, "an older state is reported after a newer one"
        assert list(entries) == sorted(entries)
        self.state = {}
        self.resets += 1
        self._fold(entries)
        self.offset = end
        assert self.state == self.expected_state(end), "the log never had this state"

    def apply(self, entries: tuple[Entry, ...]) -> None:
        assert [e.offset for e in entries] == list(
            range(self.offset, self.offset + len(entries))
        ), "a record is missed or reported twice"
        self._fold(entries)
        self.offset += len(entries)

    def _fold(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self.state[entry.key] = entry.value
        self.state = {key: value for key, value in self.state.items() if value}

    def expected_state(self, end: int) -> dict[bytes, bytes]:
        newest = {entry.key: entry.value for entry in self._store.log(THINGS).entries[:end]}
        return {key: value for key, value in newest.items() if value}


async def _write_changes(store: MemoryStore) -> None:
    for number in range(400):
        value = b"" if store.random.random() < 0.3 else b"%d" % number
        store.put(THINGS, store.random.choice(KEYS), value)
        if store.random.random() < 0.03:
            store.forget(THINGS)
        await asyncio.sleep(store.random.choice(PAUSES_S))


async def _sync_repeatedly(follower: Follower) -> None:
    while True:
        with suppress(StoreRefused, StoreUnanswered):
            await follower.sync()
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("seed", range(20))
def test_each_reported_state_existed_in_the_log(seed: int) -> None:
    async def play() -> None:
        store = MemoryStore(seed)
        for key in KEYS:
            store.put(THINGS, key, b"first")
        view = View(store)
        follower = Follower(
            PagedLink(store), THINGS, on_entries=view.apply, on_reset=view.reset, pause_s=0.01
        )
        running = [asyncio.create_task(follower.run())]
        running += [asyncio.create_task(_sync_repeatedly(follower)) for _ in range(3)]
        await _write_changes(store)
        await asyncio.sleep(10.0)
        assert view.offset == store.log(THINGS).end
        assert view.state == view.expected_state(view.offset)
        assert view.resets >= 1
        for task in running:
            assert not task.done(), task
            task.cancel()

    run_virtual(play())
