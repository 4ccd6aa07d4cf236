"""Following a partition: every record once, in order, over gaps and outages."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from linkspan.errors import LogGap, StoreRefused, StoreUnanswered
from linkspan.store.snapshot import read_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.store.types import Entry, Page, Partition, Store

WAIT_S = 2.0
"""How long one read waits for a record. Well under the 30 s that the store allows: a
connection that a cut silenced is found within seconds, and so is a record that a slow
store took in while the read was on its way."""

RETRY_S = 0.15
"""First pause after a failed read, in seconds; doubled up to the next."""

MAX_RETRY_S = 0.6
"""Longest pause between reads: a configuration is to be in force within two
seconds, also where the store has just come back."""


class Follower:
    """Reads a partition from its newest keys or its oldest record on.

    Args:
        store: Where to read.
        partition: Partition to follow.
        on_entries: Takes entries in order; called with no await between reads.
        on_reset: For keyed partitions, takes the newest record of each key and
            the end of the partition up to which they hold, at the start and after
            a gap.
        pause_s: Least time between two reads, to save calls.
        on_health: Called with whether the store answers, at each change.
        on_caught_up: Called after each read behind which nothing was written yet.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        *,
        on_entries: Callable[[tuple[Entry, ...]], None],
        on_reset: Callable[[tuple[Entry, ...], int], None] | None = None,
        on_caught_up: Callable[[], None] = lambda: None,
        pause_s: float = 0.0,
        on_health: Callable[[bool], None] = lambda _healthy: None,
    ) -> None:
        self._store = store
        self._partition = partition
        self._on_entries = on_entries
        self._on_reset = on_reset
        self._on_health = on_health
        self._on_caught_up = on_caught_up
        self._offset = -1
        self._synced_at = float("-inf")
        self._heard_at = float("-inf")
        self._healthy = True
        self._ready = asyncio.Event()
        self._lock = asyncio.Lock()
        self._listing = asyncio.Lock()
        self.pause_s = pause_s
        self.wait_s = WAIT_S

    def __repr__(self) -> str:
        return f"Follower({self._partition}, offset={self._offset})"

    @property
    def offset(self) -> int:
        """Offset of the next record; below 0 before the first read."""
        return self._offset

    @property
    def synced_at(self) -> float:
        """Steady time at which nothing newer was known to the store."""
        return self._synced_at

    @property
    def heard_at(self) -> float:
        """Steady time of the store's last answer."""
        return self._heard_at

    @property
    def ready(self) -> bool:
        """Whether the partition was read to its end once."""
        return self._ready.is_set()

    async def run(self) -> None:
        """Follow until cancelled."""
        pause = RETRY_S
        while True:
            try:
                await self._step(self.wait_s if self.ready else 0.0)
            except (StoreRefused, StoreUnanswered):
                self._set_health(False)
                await asyncio.sleep(pause)
                pause = min(2 * pause, MAX_RETRY_S)
                continue
            self._set_health(True)
            pause = RETRY_S
            await asyncio.sleep(self.pause_s)

    async def sync(self) -> None:
        """Read up to the present end.

        Raises:
            StoreRefused: The store answers with a refusal.
            StoreUnanswered: The store does not answer.
        """
        asked = time.monotonic()
        async with self._lock:
            # One read returns a bounded part of what there is.
            while self._synced_at < asked:
                await self._step(0.0)

    async def _step(self, wait_s: float) -> None:
        if self._offset < 0 and self._on_reset:
            await self._list_keys(self._offset)
            return
        asked = time.monotonic()
        start = max(self._offset, 0)
        try:
            page = await self._store.read(self._partition, start, wait_s=wait_s)
        except LogGap as gap:
            if self._on_reset:
                await self._list_keys(start)
            else:
                self._offset = max(self._offset, gap.first)
            return
        self._take(page, asked)

    def _take(self, page: Page, asked: float) -> None:
        self._heard_at = time.monotonic()
        fresh = tuple(entry for entry in page.entries if entry.offset >= self._offset)
        if fresh:
            self._offset = fresh[-1].offset + 1
            self._on_entries(fresh)
        self._offset = max(self._offset, 0)
        if self._offset >= page.end:
            # With a wait, the answer is as fresh as its arrival.
            self._caught_up(asked)

    async def _list_keys(self, missed: int) -> None:
        """Read the newest record of each key, unless another reader just did.

        A second listing beside the first could be the older one and undo what was
        read since.

        Args:
            missed: Offset that could not be read on from.
        """
        assert self._on_reset
        async with self._listing:
            if self._offset > missed:
                return
            asked = time.monotonic()
            entries, end = await read_snapshot(self._store, self._partition)
            self._heard_at = time.monotonic()
            self._on_reset(entries, end)
            self._offset = end
            self._caught_up(asked)

    def _caught_up(self, asked: float) -> None:
        self._synced_at = max(self._synced_at, asked)
        self._ready.set()
        self._on_caught_up()

    def _set_health(self, healthy: bool) -> None:
        if healthy != self._healthy:
            self._healthy = healthy
            self._on_health(healthy)
