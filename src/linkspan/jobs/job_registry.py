"""A host's view of all jobs, and its way to add records to them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.errors import InvalidInput, RecordError, StoreRefused, StoreUnanswered
from linkspan.events import Event
from linkspan.jobs.catalog import JobCatalog, JobEntry
from linkspan.jobs.record_codec import decode, encode, key_sent_again
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
"""All job records, in one order for all hosts."""

FRESH_S = 0.03
"""Age up to which a view of the jobs counts as present: the store answers within
7 to 15 ms, so a younger one would not be much different."""


REFRESH_S = 1.0
"""Longest wait for a present view where the caller names no time, in seconds: a store
that is well answers in a fiftieth of it, and who asks has executors' leases to renew."""


class JobRegistry:
    """Follows the job records and writes new ones.

    Args:
        store: The platform's store.
        incarnation: Life of this process, the name of its writer.
        log: Where events go.
    """

    def __init__(self, store: Store, incarnation: str, log: EventLog) -> None:
        self._log = log
        self._started = steady()
        self._listeners: list[Callable[[str], None]] = []
        self._changed: dict[str, None] = {}
        self._unread: dict[str, int] = {}
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
            rewrite=_sent_again,
        )

    def __repr__(self) -> str:
        return f"JobRegistry({self.catalog!r})"

    @property
    def takes_writes(self) -> bool:
        """Whether the store took the last record, or has answered since it did not."""
        return self.writer.healthy or self.follower.last_response_at > self.writer.failed_at

    def subscribe(self, listener: Callable[[str], None]) -> Callable[[], None]:
        """Call a listener with the id of each job that changes; return the way to end it."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def write(self, records: Sequence[JobRecord], *, patient: bool = True) -> asyncio.Future[int]:
        """Queue job records; see :meth:`GroupWriter.write`."""
        rows = [Record(value, key) for key, value in map(encode, records)]
        return self.writer.write(rows, patient=patient)

    def knows(self, job_id: str) -> bool:
        """Whether a job was accepted, by what was read or by this host itself."""
        return job_id in self._unread or self.catalog.get(job_id) is not None

    def note_accepted(self, job_id: str, offset: int) -> None:
        """Know of a job that this host wrote, before its record is read back.

        It enters the catalog when it is read: a record in front of it may name another
        hall, and the first one counts.
        """
        if offset >= self.follower.offset:
            self._unread[job_id] = offset

    async def look_up(
        self, job_id: str, *, limit_s: float = REFRESH_S
    ) -> tuple[JobEntry | None, bool]:
        """Return a job as of now, and whether the view is fresh.

        A final state is shown without asking the store: it never changes. A job that is
        not known is surely none only where the view is fresh.

        Args:
            job_id: The job.
            limit_s: Longest wait for a fresh view, in seconds.
        """
        entry = self.catalog.get(job_id)
        if entry and entry.finished:
            return entry, True
        limit_s = min(limit_s, REFRESH_S) if entry else limit_s
        fresh_s = 0.0 if job_id in self._unread else FRESH_S
        fresh = await self.refresh(fresh_s=fresh_s, limit_s=limit_s)
        return self.catalog.get(job_id), fresh

    async def refresh(self, *, fresh_s: float = FRESH_S, limit_s: float = REFRESH_S) -> bool:
        """Read to the present end of the records and return whether that was possible.

        The read goes on after the limit, for the next who asks.

        Args:
            fresh_s: Age in seconds under which what was read counts as present.
            limit_s: Longest wait in seconds.
        """
        if steady() - self.follower.synced_at < fresh_s:
            return True
        try:
            async with asyncio.timeout(limit_s):
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
        held = (job_id for job_id in job_of_key.values() if job_id)
        forgotten = self.catalog.retain(held, before=end)
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
        """Tell of what changed, once all that was written by now is known.

        Told record by record, a listener would act on jobs that have moved or ended
        in a later record of the same read.
        """
        read = self.follower.offset
        self._unread = {j: offset for j, offset in self._unread.items() if offset >= read}
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
        event = Event.STORE_BACK if healthy else Event.STORE_DOWN
        self._log.write(event, partition=JOBS.topic)


def _sent_again(record: Record, unanswered: int) -> Record:
    if not record.value:
        # It removes a record under the key that this was written under.
        return record
    return record._replace(key=key_sent_again(record.key, unanswered))
