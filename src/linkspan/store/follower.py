"""Following a partition: every record once, in order, over gaps and outages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import LogGap, StoreRefused, StoreUnanswered
from linkspan.store.keyed_snapshot import KeyedSnapshot

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
        on_reset: For keyed partitions, takes the newest record of each key as of an
            offset, and that offset, at the start and after a gap. Records come in order;
            those of keys that changed or were dropped while the others were read are
            among them.
        pause_s: Least time between two reads, to save calls.
        on_health: Called with whether the store answers, at each change.
        on_caught_up: Called after each read behind which nothing was written yet.
        on_missed: Called when records went that were not read; for partitions without keys.
        most_past: Most records of the past to begin with, ``None`` to begin with the
            first that the store holds.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        *,
        on_entries: Callable[[tuple[Entry, ...]], None],
        on_reset: Callable[[tuple[Entry, ...], int], None] | None = None,
        on_caught_up: Callable[[], None] = lambda: None,
        on_missed: Callable[[], None] = lambda: None,
        pause_s: float = 0.0,
        on_health: Callable[[bool], None] = lambda _healthy: None,
        most_past: int | None = None,
    ) -> None:
        self._store = store
        self._partition = partition
        self._on_entries = on_entries
        self._on_reset = on_reset
        self._on_health = on_health
        self._on_caught_up = on_caught_up
        self._on_missed = on_missed
        self._most_past = most_past
        self._offset = -1
        self._end = 0
        self._unlisted = on_reset is not None
        self._synced_at = float("-inf")
        self._heard_at = float("-inf")
        self._healthy = True
        self._ready = asyncio.Event()
        self._wanted = asyncio.Event()
        self._wanted.set()
        self._listing = KeyedSnapshot(store, partition)
        self._reading: asyncio.Task[None] | None = None
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
    def last_response_at(self) -> float:
        """Steady time of the store's last answer."""
        return self._heard_at

    @property
    def ready(self) -> bool:
        """Whether the partition was read to its end once."""
        return self._ready.is_set()

    def pause(self) -> None:
        """Read nothing until resumed, but for what is under way or asked for by others."""
        self._wanted.clear()

    def resume(self) -> None:
        """End a pause; for keyed partitions only.

        What came meanwhile may be long, so the newest keys are read instead.
        """
        self._ready.clear()
        self._unlisted = True
        self._wanted.set()

    async def run(self) -> None:
        """Follow until cancelled."""
        pause = RETRY_S
        try:
            while True:
                await self._wanted.wait()
                offset = self._offset
                try:
                    await self._follow()
                except (StoreRefused, StoreUnanswered):
                    self._set_health(False)
                    await asyncio.sleep(pause)
                    pause = min(2 * pause, MAX_RETRY_S)
                    continue
                self._set_health(True)
                pause = RETRY_S
                if not self._behind:
                    await asyncio.sleep(self.pause_s)
                elif self._offset == offset:
                    await asyncio.sleep(RETRY_S)
        finally:
            if self._reading:
                self._reading.cancel()

    async def sync(self) -> None:
        """Read up to the present end; all who ask at one time share the reads.

        Raises:
            StoreRefused: The store answers with a refusal.
            StoreUnanswered: The store does not answer.
        """
        asked = steady()
        # One read returns a bounded part of what there is, and may have begun before.
        while self._synced_at < asked:
            await self._share_read()

    @property
    def _behind(self) -> bool:
        return self._unlisted or not self.ready or self._offset < self._end

    async def _follow(self) -> None:
        if self._behind:
            await self._share_read()
        else:
            await self._read_records(self.wait_s)

    async def _share_read(self) -> None:
        """Wait for the read that is under way, or begin one.

        It goes on when one who waits for it leaves.
        """
        reading = self._reading
        if reading is None or reading.done():
            reading = self._reading = asyncio.create_task(self._read())
            reading.add_done_callback(_note_failure)
        try:
            await asyncio.shield(reading)
        except asyncio.CancelledError:
            own = asyncio.current_task()
            if reading.cancelled() and own and not own.cancelling():
                raise StoreUnanswered("reading has ended; ask another host") from None
            raise

    async def _read(self) -> None:
        if self._unlisted:
            await self._list()
        else:
            await self._read_records(0.0)

    async def _read_records(self, wait_s: float) -> None:
        if self._offset < 0 and self._most_past is not None:
            self._offset = max(await self._find_end() - self._most_past, 0)
        asked = steady()
        try:
            page = await self._store.read(self._partition, max(self._offset, 0), wait_s=wait_s)
        except LogGap as gap:
            self._on_gap(gap)
            return
        self._heard_at = steady()
        # Once the keys are to be read anew, only what follows them counts.
        if not self._unlisted:
            self._take(page, asked)

    async def _find_end(self) -> int:
        """Return the end, asked for from where the store says that its records begin."""
        start = 0
        while True:
            try:
                return await self._store.end(self._partition, start)
            except LogGap as gap:
                if gap.first <= start:
                    raise StoreUnanswered("store names no record to begin with; ask again") from gap
                start = gap.first

    def _on_gap(self, gap: LogGap) -> None:
        if self._on_reset:
            self._unlisted = True
        elif gap.first > self._offset:
            self._offset = gap.first
            self._on_missed()

    def _take(self, page: Page, asked: float) -> None:
        fresh = tuple(entry for entry in page.entries if entry.offset >= self._offset)
        self._end = max(self._end, page.end)
        if fresh:
            self._offset = fresh[-1].offset + 1
            self._on_entries(fresh)
        self._offset = max(self._offset, 0)
        if self._offset >= page.end:
            # With a wait, the answer is as fresh as its arrival.
            self._reached_end(asked)

    async def _list(self) -> None:
        assert self._on_reset
        listing = self._listing
        try:
            synced_at = await listing.read()
        except LogGap:
            self._listing = KeyedSnapshot(self._store, self._partition)
            return
        self._listing = KeyedSnapshot(self._store, self._partition)
        self._unlisted = False
        self._heard_at = steady()
        self._offset = self._end = listing.end
        self._on_reset(listing.entries, listing.end)
        self._reached_end(synced_at)

    def _reached_end(self, synced_at: float) -> None:
        self._synced_at = max(self._synced_at, synced_at)
        self._ready.set()
        self._on_caught_up()

    def _set_health(self, healthy: bool) -> None:
        if healthy != self._healthy:
            self._healthy = healthy
            self._on_health(healthy)


def _note_failure(reading: asyncio.Task[None]) -> None:
    """Count a failed read as seen, also where all who waited for it have left.

    Those who wait are told, and the follower itself reads again and tells its health.
    """
    if not reading.cancelled():
        reading.exception()
