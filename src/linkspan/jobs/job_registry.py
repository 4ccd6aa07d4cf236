"""View of all jobs on a host, kept current from the job records, and the writer of new records."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import InvalidInput, RecordError, StoreRefused, StoreUnanswered
from linkspan.events import Event
from linkspan.jobs.catalog import JobCatalog, JobEntry
from linkspan.jobs.record_codec import decode, encode, retry_key
from linkspan.jobs.records import JobRecord, Submitted
from linkspan.jobs.spec import check_job
from linkspan.store.follower import Follower
from linkspan.store.types import Partition, Record
from linkspan.store.writer import GroupWriter

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from linkspan.events import EventLog
    from linkspan.store.types import Entry, Store

JOBS = Partition("jobs", keyed=True)
"""Partition of all job records, which every host reads in the same order."""

MAX_FRESH_AGE_S = 0.03
"""Limits the age of a view of the jobs that counts as fresh, in seconds. A call to the store takes
about as long, so a newer view would hardly differ."""


MAX_REFRESH_WAIT_S = 1.0
"""Limits the wait for a fresh view if the caller passes no limit, in seconds. A healthy store
answers in a fiftieth of this time, and an owner that waits has executor leases to renew."""


class JobRegistry:
    """Follows the job records and writes new ones.

    Args:
        store: The platform's store.
        incarnation: Incarnation of this process; part of the producer name of its writer.
        log: Event log.
    """

    def __init__(self, store: Store, incarnation: str, log: EventLog) -> None:
        self._log = log
        self._started = steady()
        self._listeners: list[Callable[[str], None]] = []
        self._changed: dict[str, None] = {}
        self._unread_submissions: dict[str, int] = {}
        self._disturbed_at = float("-inf")
        self.catalog = JobCatalog()
        self.follower = Follower(
            store,
            JOBS,
            on_entries=self._on_entries,
            on_reset=self._on_reset,
            on_caught_up=self._on_caught_up,
            on_health=self._on_health,
        )
        self.writer = GroupWriter(
            store,
            JOBS,
            name=f"jobs-{incarnation}",
            epoch=1,
            may_renumber=True,
            on_health=self._on_health,
            on_renumber=self._on_renumber,
            rewrite=_for_retry,
        )

    def __repr__(self) -> str:
        return f"JobRegistry({self.catalog!r})"

    @property
    def accepts_writes(self) -> bool:
        """Whether the last append succeeded, or the store has answered since it failed."""
        return self.writer.healthy or self.follower.last_response_at > self.writer.failed_at

    @property
    def disturbed_at(self) -> float:
        """Steady time at which this host's calls last began or ceased to fail."""
        return self._disturbed_at

    def subscribe(self, listener: Callable[[str], None]) -> Callable[[], None]:
        """Call a listener with the id of each changed job; return a function that unsubscribes."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def write(
        self,
        records: Sequence[JobRecord],
        *,
        retry_refused: bool = True,
        max_age_s: float = math.inf,
    ) -> asyncio.Future[int]:
        """Queue job records; see :meth:`GroupWriter.write`."""
        rows = [Record(value, key) for key, value in map(encode, records)]
        return self.writer.write(rows, retry_refused=retry_refused, max_age_s=max_age_s)

    def knows(self, job_id: str) -> bool:
        """Whether a job was accepted, by any host as far as read or by this host just now."""
        return job_id in self._unread_submissions or self.catalog.get(job_id) is not None

    def note_accepted(self, job_id: str, offset: int) -> None:
        """Remember a job that this host wrote until its record is read back.

        The job enters the catalog only when the record is read: an earlier submission by
        another host may assign the job to another hall, and the first submission counts.
        """
        if offset >= self.follower.offset:
            self._unread_submissions[job_id] = offset

    async def look_up(
        self, job_id: str, *, timeout_s: float = MAX_REFRESH_WAIT_S
    ) -> tuple[JobEntry | None, bool]:
        """Return the current state of a job, and whether the view is fresh.

        Finished jobs are returned without a call to the store, since they never change. A
        missing job is certain not to exist only if the view is fresh.

        Args:
            job_id: The job.
            timeout_s: Maximum wait for a fresh view, in seconds.
        """
        entry = self.catalog.get(job_id)
        if entry and entry.finished:
            return entry, True
        timeout_s = min(timeout_s, MAX_REFRESH_WAIT_S) if entry else timeout_s
        max_age_s = 0.0 if job_id in self._unread_submissions else MAX_FRESH_AGE_S
        fresh = await self.refresh(max_age_s=max_age_s, timeout_s=timeout_s)
        return self.catalog.get(job_id), fresh

    async def refresh(
        self, *, max_age_s: float = MAX_FRESH_AGE_S, timeout_s: float = MAX_REFRESH_WAIT_S
    ) -> bool:
        """Read to the current end of the records and return whether that succeeded in time.

        The read continues after the limit, so that later calls benefit from it.

        Args:
            max_age_s: Age in seconds below which the view counts as fresh.
            timeout_s: Maximum wait in seconds.
        """
        if steady() - self.follower.synced_at < max_age_s:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self.follower.sync()
        except (StoreRefused, StoreUnanswered, TimeoutError):
            return False
        return True

    def _on_entries(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            job_id = self._apply(entry)
            if job_id:
                self._changed[job_id] = None

    def _on_reset(self, entries: Sequence[Entry], end: int) -> None:
        job_of_key: dict[bytes, str | None] = {}
        for entry in entries:
            job_id = self._apply(entry)
            job_of_key[entry.key] = job_id if entry.value else None
            if job_id:
                self._changed[job_id] = None
        stored = (job_id for job_id in job_of_key.values() if job_id)
        forgotten = self.catalog.retain(stored, before=end)
        self._log.write(
            Event.RECORDS_LISTED,
            partition=JOBS.topic,
            keys=len(job_of_key),
            bytes=sum(len(entry.key) + len(entry.value) for entry in entries),
            end=end,
            forgotten=forgotten,
            since_start_s=round(steady() - self._started, 3),
        )

    def _on_caught_up(self) -> None:
        """Notify the listeners of changed jobs once the records are read to their end.

        If listeners were notified after each record, they would act on jobs that a later
        record of the same read moves or finishes.
        """
        next_offset = self.follower.offset
        self._unread_submissions = {
            j: offset for j, offset in self._unread_submissions.items() if offset >= next_offset
        }
        changed, self._changed = self._changed, {}
        for job_id in changed:
            self._notify(job_id)

    def _apply(self, entry: Entry) -> str | None:
        try:
            record = decode(entry.key, entry.value)
            if isinstance(record, Submitted):
                check_job(record.spec)
            return self.catalog.apply(entry.offset, record)
        except (RecordError, InvalidInput) as error:
            self._log.write(Event.RECORD_SKIPPED, offset=entry.offset, error=str(error))
            return None

    def _notify(self, job_id: str) -> None:
        for listener in list(self._listeners):
            listener(job_id)

    def _on_renumber(self, epoch: int) -> None:
        self._log.write(Event.PRODUCER_RENUMBERED, partition=JOBS.topic, epoch=epoch)

    def _on_health(self, healthy: bool) -> None:
        self._disturbed_at = steady()
        event = Event.STORE_BACK if healthy else Event.STORE_DOWN
        self._log.write(event, partition=JOBS.topic)


def _for_retry(record: Record, unanswered: int) -> Record:
    if not record.value:
        # A tombstone must keep the key of the record that it removes.
        return record
    return record._replace(key=retry_key(record.key, unanswered))
