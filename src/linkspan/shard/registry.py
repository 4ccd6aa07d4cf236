"""Follows the executors' registrations in the store."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import RecordError, StoreRefused, StoreUnanswered
from linkspan.events import Event
from linkspan.shard._entry_disputes import EntryDisputes
from linkspan.shard._health_log import health_logger
from linkspan.store.follower import Follower

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from linkspan.events import EventLog
    from linkspan.shard.messages import ExecutorRecord
    from linkspan.store.types import Entry, Partition, Store

REGISTRATION_GRACE_S = 2.5
"""Time for which an executor counts as registered after its entry vanished. Entries that expired
during an outage of the store are back within about two seconds after the outage, and an executor
whose entry was replaced by another writer restores it within this time, too."""

DISPUTE_S = 15.0
"""Time for which an entry must have stood that gives an incarnation another service, hall or
labels. The executor restores its own entry long before. Otherwise the hall that knew it has moved
its work away by then."""

EXPIRY_CHECK_INTERVAL_S = 0.1
"""Interval between checks for entries that have been missing for the grace time."""


class ExecutorRegistry:
    """The registered executors, by id.

    Args:
        store: The platform's store.
        partition: Partition of the registrations.
        decode: Decodes a registration.
        log: Event log.
        serves: Returns whether the configuration in force has a service. Entries of other services
            are ignored; such an entry may even have the address of a healthy executor.

    Attributes:
        on_change: Called after each change of the registrations.
        follower: Reads the partition.
    """

    def __init__(
        self,
        store: Store,
        partition: Partition,
        decode: Callable[[str, bytes], ExecutorRecord],
        log: EventLog,
        *,
        serves: Callable[[str], bool] = lambda _service: True,
    ) -> None:
        self._decode = decode
        self._log = log
        self._serves = serves
        self._records: dict[str, ExecutorRecord] = {}
        self._missing_since: dict[str, float] = {}
        self._disputes = EntryDisputes()
        self._store_available = True
        self._following = asyncio.Event()
        self._following.set()
        self._log_health = health_logger(log, partition)
        self.on_change: Callable[[], None] = lambda: None
        self.follower = Follower(
            store,
            partition,
            on_entries=self._on_entries,
            on_reset=self._on_reset,
            on_health=self._on_read_health,
        )

    def __repr__(self) -> str:
        return f"ExecutorRegistry({len(self._records)} executors)"

    def pause(self) -> None:
        """Stop following registrations, while no shard of this host needs them."""
        self._following.clear()
        self.follower.pause()
        self._records.clear()
        self._missing_since.clear()
        self._disputes.clear()

    def resume(self) -> None:
        """Follow registrations again, for a shard that needs them."""
        self._following.set()
        self.follower.resume()

    def executors(self, hall: str | None = None) -> list[ExecutorRecord]:
        """Return the registered executors of one hall, or of all halls."""
        in_hall = (r for r in self._records.values() if hall is None or r.hall == hall)
        return [record for record in in_hall if self._serves(record.service)]

    @property
    def missing(self) -> dict[str, float]:
        """Steady times since when the entries of executors within their grace time are missing."""
        records = self._records
        return {records[i].executor_id: at for i, at in self._missing_since.items() if i in records}

    async def expire_loop(self) -> None:
        """Remove executors whose entry stays missing beyond the grace time, until cancelled."""
        while True:
            await self._following.wait()
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if self._expired_ids() or self._disputes.settled(steady() - DISPUTE_S):
                await self._expire()

    def _expired_ids(self) -> list[str]:
        limit = steady() - REGISTRATION_GRACE_S
        return [executor_id for executor_id, since in self._missing_since.items() if since < limit]

    async def _expire(self) -> None:
        try:
            # A read without waiting detects a new outage that a pending long poll would hide.
            await self.follower.sync()
        except (StoreRefused, StoreUnanswered):
            self._on_health(False)
            return
        if not self._store_available:
            self._on_health(True)
            return
        expired = self._expired_ids()
        for executor_id in expired:
            del self._missing_since[executor_id]
            self._records.pop(executor_id, None)
        settled = self._disputes.settled(steady() - DISPUTE_S)
        for executor_id in settled:
            self._records[executor_id] = self._disputes.remove(executor_id)
            self._missing_since.pop(executor_id, None)
        if expired or settled:
            self.on_change()

    def _on_read_health(self, healthy: bool) -> None:
        self._log_health(healthy)
        self._on_health(healthy)

    def _on_health(self, healthy: bool) -> None:
        """Restart the times of missing and of disputed entries when the store fails or recovers.

        Executors cannot write during an outage, so that a missing entry then proves nothing, and
        neither does one that its executor has not replaced.
        """
        self._store_available = healthy
        self._missing_since = dict.fromkeys(self._missing_since, steady())
        self._disputes.restart()

    def _on_entries(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            self._apply(entry)
        self.on_change()

    def _on_reset(self, entries: Sequence[Entry], _end: int) -> None:
        present = {entry.key.decode(errors="replace") for entry in entries if entry.value}
        for executor_id in set(self._records) - present:
            self._missing_since.setdefault(executor_id, steady())
        self._on_entries(entries)

    def _apply(self, entry: Entry) -> None:
        try:
            executor_id = entry.key.decode()
        except UnicodeDecodeError as error:
            self._log.write(Event.RECORD_SKIPPED, offset=entry.offset, error=str(error))
            return
        if not entry.value:
            self._disputes.discard(executor_id)
            self._missing_since.setdefault(executor_id, steady())
            return
        try:
            record = self._decode(executor_id, entry.value)
        except RecordError as error:
            self._log.write(Event.RECORD_SKIPPED, offset=entry.offset, error=str(error))
            self._mark_unconfirmed(executor_id)
            return
        if self._disputes.disputes(executor_id, record, self._records.get(executor_id)):
            self._mark_unconfirmed(executor_id)
            return
        self._records[executor_id] = record
        self._missing_since.pop(executor_id, None)

    def _mark_unconfirmed(self, executor_id: str) -> None:
        """Mark an executor whose newest entry is invalid or disputed.

        Its runs continue, as for a missing entry, but it gets no new work from now on.
        """
        known = self._records.get(executor_id)
        if known is None:
            return
        self._records[executor_id] = replace(known, confirmed=False)
        self._missing_since.setdefault(executor_id, steady())
