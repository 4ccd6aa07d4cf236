"""Follows a partition and delivers each record once and in order, across gaps and outages."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import LogGap, StoreRefused, StoreUnanswered
from linkspan.store.keyed_snapshot import KeyedSnapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.store.types import Entry, Page, Partition, Store

READ_WAIT_S = 2.0
"""Time that one read waits for a new record, in seconds. It is far below the 30 s that the
store allows, so that a connection silenced by a network cut is detected within seconds, and so
is a record that a slow store accepted while the read was in transit."""

INITIAL_BACKOFF_S = 0.15
"""Initial backoff after a failed read, in seconds; it doubles up to ``MAX_BACKOFF_S``."""

MAX_BACKOFF_S = 0.6
"""Limits the backoff between reads, in seconds: a configuration must be in force within two
seconds, also right after a store outage."""


class Follower:
    """Reader that follows a partition, starting with a snapshot of its keys or its oldest record.

    Args:
        store: Store to read from.
        partition: Partition to follow.
        on_entries: Called with new entries, in order, synchronously after each read.
        on_reset: For keyed partitions, called at the start and after a gap with a snapshot of
            the keys and the offset of the snapshot. The entries come in order. They may include
            older records of keys that changed or were removed while the snapshot was read.
        pause_s: Minimum time between two reads, to save calls.
        on_health: Called with whether the store answers, at each change.
        on_caught_up: Called after each read that reached the end of the partition.
        on_missed: Called when records expired before they were read; for partitions without keys.
        max_past_records: Maximum number of existing records to start with, ``None`` to start with
            the oldest record in the store.
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
        max_past_records: int | None = None,
    ) -> None:
        self._store = store
        self._partition = partition
        self._on_entries = on_entries
        self._on_reset = on_reset
        self._on_health = on_health
        self._on_caught_up = on_caught_up
        self._on_missed = on_missed
        self._max_past_records = max_past_records
        self._offset = -1
        self._end = 0
        self._needs_snapshot = on_reset is not None
        self._synced_at = float("-inf")
        self._last_response_at = float("-inf")
        self._healthy = True
        self._ready = asyncio.Event()
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._pace_changed = asyncio.Event()
        self._snapshot = KeyedSnapshot(store, partition)
        self._reading: asyncio.Task[None] | None = None
        self.pause_s = pause_s
        self.wait_s = READ_WAIT_S

    def __repr__(self) -> str:
        return f"Follower({self._partition}, offset={self._offset})"

    @property
    def offset(self) -> int:
        """Offset of the next record to read; negative before the first read."""
        return self._offset

    @property
    def synced_at(self) -> float:
        """Steady time as of which all records in the store have been read."""
        return self._synced_at

    @property
    def last_response_at(self) -> float:
        """Steady time of the store's last answer to a read."""
        return self._last_response_at

    @property
    def ready(self) -> bool:
        """Whether the partition has been read to its end, since the last resume if any."""
        return self._ready.is_set()

    def pause(self) -> None:
        """Stop reading until resumed, except for a read in progress and calls of :meth:`sync`."""
        self._resumed.clear()

    def resume(self) -> None:
        """End a pause; for keyed partitions only.

        Many records may have been written meanwhile, so the follower reads a new snapshot of the
        keys instead.
        """
        self._ready.clear()
        self._needs_snapshot = True
        self._resumed.set()

    def set_pace(self, *, pause_s: float, wait_s: float) -> None:
        """Change how often it reads; a pause in progress ends.

        Args:
            pause_s: Minimum time between two reads, in seconds.
            wait_s: Time that one read waits for a new record, in seconds.
        """
        if (pause_s, wait_s) != (self.pause_s, self.wait_s):
            self.pause_s, self.wait_s = pause_s, wait_s
            self._pace_changed.set()

    async def run(self) -> None:
        """Follow the partition until cancelled."""
        backoff_s = INITIAL_BACKOFF_S
        try:
            while True:
                await self._resumed.wait()
                offset = self._offset
                try:
                    await self._follow()
                except (StoreRefused, StoreUnanswered):
                    self._set_health(False)
                    await asyncio.sleep(backoff_s)
                    backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                    continue
                self._set_health(True)
                backoff_s = INITIAL_BACKOFF_S
                if not self._has_unread:
                    await self._pause()
                elif self._offset == offset:
                    await asyncio.sleep(INITIAL_BACKOFF_S)
        finally:
            if self._reading:
                self._reading.cancel()

    async def _pause(self) -> None:
        """Wait before the next read, until the pause is over or the pace changes."""
        self._pace_changed.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(self.pause_s):
                await self._pace_changed.wait()

    async def sync(self) -> None:
        """Read up to the current end of the partition; concurrent callers share the reads.

        Raises:
            StoreRefused: The store refused a read.
            StoreUnanswered: The store did not answer.
        """
        asked_at = steady()
        # A read returns a limited number of bytes, and a shared read may have begun earlier.
        while self._synced_at < asked_at:
            await self._share_read()

    @property
    def _has_unread(self) -> bool:
        return self._needs_snapshot or not self.ready or self._offset < self._end

    async def _follow(self) -> None:
        if self._has_unread:
            await self._share_read()
        else:
            await self._read_records(self.wait_s)

    async def _share_read(self) -> None:
        """Wait for the read in progress, or begin one.

        The read continues if a caller that waits for it is cancelled.
        """
        reading = self._reading
        if reading is None or reading.done():
            reading = self._reading = asyncio.create_task(self._read())
            reading.add_done_callback(_retrieve_exception)
        try:
            await asyncio.shield(reading)
        except asyncio.CancelledError:
            own = asyncio.current_task()
            if reading.cancelled() and own and not own.cancelling():
                raise StoreUnanswered("follower was stopped; ask another host") from None
            raise

    async def _read(self) -> None:
        if self._needs_snapshot:
            await self._read_snapshot()
        else:
            await self._read_records(0.0)

    async def _read_records(self, wait_s: float) -> None:
        if self._offset < 0 and self._max_past_records is not None:
            self._offset = max(await self._find_end() - self._max_past_records, 0)
        asked_at = steady()
        try:
            page = await self._store.read(self._partition, max(self._offset, 0), wait_s=wait_s)
        except LogGap as gap:
            self._on_gap(gap)
            return
        self._last_response_at = steady()
        # If a new snapshot is due, the page is dropped: the snapshot includes its records.
        if not self._needs_snapshot:
            self._apply_page(page, asked_at)

    async def _find_end(self) -> int:
        """Return the end offset of the partition.

        The store finds the end from an offset that it still has. If the start has expired, the
        error names the first available offset.
        """
        start = 0
        while True:
            try:
                return await self._store.end(self._partition, start)
            except LogGap as gap:
                if gap.first <= start:
                    raise StoreUnanswered("store named no later first offset; ask again") from gap
                start = gap.first

    def _on_gap(self, gap: LogGap) -> None:
        if self._on_reset:
            self._needs_snapshot = True
        elif gap.first > self._offset:
            self._offset = gap.first
            self._on_missed()

    def _apply_page(self, page: Page, asked_at: float) -> None:
        fresh = tuple(entry for entry in page.entries if entry.offset >= self._offset)
        self._end = max(self._end, page.end)
        if fresh:
            self._offset = fresh[-1].offset + 1
            self._on_entries(fresh)
        self._offset = max(self._offset, 0)
        if self._offset >= page.end:
            # The time of the call is a safe lower bound: a read that waits may be fresher.
            self._mark_synced(asked_at)

    async def _read_snapshot(self) -> None:
        assert self._on_reset
        snapshot = self._snapshot
        try:
            synced_at = await snapshot.read()
        except LogGap:
            self._snapshot = KeyedSnapshot(self._store, self._partition)
            return
        self._snapshot = KeyedSnapshot(self._store, self._partition)
        self._needs_snapshot = False
        self._last_response_at = steady()
        self._offset = self._end = snapshot.end
        self._on_reset(snapshot.entries, snapshot.end)
        self._mark_synced(synced_at)

    def _mark_synced(self, synced_at: float) -> None:
        self._synced_at = max(self._synced_at, synced_at)
        self._ready.set()
        self._on_caught_up()

    def _set_health(self, healthy: bool) -> None:
        if healthy != self._healthy:
            self._healthy = healthy
            self._on_health(healthy)


def _retrieve_exception(reading: asyncio.Task[None]) -> None:
    """Mark the exception of a read as retrieved, so that asyncio logs no warning for it.

    Callers that wait get the exception, and the follower retries and reports its health.
    """
    if not reading.cancelled():
        reading.exception()
