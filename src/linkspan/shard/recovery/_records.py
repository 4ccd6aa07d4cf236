"""Writes and removes the records of a tenure: progress, job starts and final states."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING
from zlib import crc32

from linkspan.clock import steady, wall_offset_s
from linkspan.events import Event
from linkspan.jobs.records import Begun, Finished, StartOrdered, Tombstone
from linkspan.shard.attempt import NEVER
from linkspan.shard.recovery._recorded_attempts import note_durable, note_encoded
from linkspan.shard.recovery.progress import (
    ROSTER_KEY,
    done_key,
    encode_done,
    encode_roster,
    encode_run,
    progress_key,
)
from linkspan.store.types import Record

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.jobs.catalog import JobEntry
    from linkspan.jobs.records import JobRecord
    from linkspan.shard._context import TenureContext
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.shard_job import ShardJob

FLUSH_INTERVAL_S = 0.06
"""Time for which changes of progress are collected into one append."""

MIN_START_FLUSH_INTERVAL_S = 0.015
"""Minimum time between two appends while starts wait for their record: an append takes some 5
ms."""

MAX_QUICK_FLUSHES = 10
"""Appends within a second that may follow each other after ``MIN_START_FLUSH_INTERVAL_S``. The
store accepts some hundreds per second from all halls together: busy halls collect starts for as
long as other changes."""

MAX_ANSWER_RECORD_DELAY_S = 0.5
"""Longest time before the answer to a start is recorded."""

MAX_FINAL_RECORD_S = 0.25
"""Time for which the final record of a job may be on its way before its progress is recorded, too.
The next owner of a job without either would run again what was done last."""

BEGUN_BATCH_S = 1.0
"""Time for which begins of jobs are collected into one write; published counts may be two seconds
old."""

PRUNE_INTERVAL_S = 15.0
"""Time between removals of expired records."""

PRUNE_MARGIN_S = 60.0
"""Time for which finished jobs are kept beyond the time that callers were promised."""


def next_flush_at(flushes: deque[float], now: float) -> float:
    """Return the steady time before which no further append may be sent.

    Args:
        flushes: Steady times of the last appends; its maximum length is the number of quick appends
            allowed within a second.
        now: Steady time.

    Example:
        >>> next_flush_at(deque([0.0, 9.0], maxlen=2), 9.0)
        9.015
        >>> next_flush_at(deque([8.5, 9.0], maxlen=2), 9.0)
        9.06
    """
    busy = len(flushes) == flushes.maxlen and now - flushes[0] < 1.0
    return flushes[-1] + (FLUSH_INTERVAL_S if busy else MIN_START_FLUSH_INTERVAL_S)


class RecordWriter:
    """Writes the changes that the core wants durable and removes expired records.

    Args:
        context: Shared objects of the tenure.
    """

    def __init__(self, context: TenureContext) -> None:
        self._core = context.core
        self._shard = context.shard
        self._settings = context.settings
        self._job_registry = context.job_registry
        self._writer = context.writer
        self._scope = context.scope
        self._changes = context.changes

    def __repr__(self) -> str:
        return f"RecordWriter(shard={self._shard})"

    async def flush_loop(self) -> None:
        """Write changes of progress for as long as the tenure lasts."""
        changes = self._changes
        flushes: deque[float] = deque([NEVER], maxlen=MAX_QUICK_FLUSHES)
        while True:
            await changes.dirty.wait()
            await self._wait_for_batch()
            await asyncio.sleep(next_flush_at(flushes, steady()) - steady())
            changes.dirty.clear()
            changes.starts.clear()
            await self.flush()
            flushes.append(steady())

    async def _wait_for_batch(self) -> None:
        """Wait for more changes, unless a start waits for its record."""
        with suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_INTERVAL_S):
                await self._changes.starts.wait()

    async def record_answers_loop(self) -> None:
        """Trigger the writing of answers to starts for as long as the tenure lasts."""
        while True:
            await asyncio.sleep(MAX_ANSWER_RECORD_DELAY_S)
            if self._core.dirty:
                self._changes.dirty.set()

    async def flush(self) -> None:
        """Write the progress and the roster that changed since the last flush.

        Raises:
            Fenced, ProducerFenced, ProducerGap: Another owner writes to the partition.
        """
        core = self._core
        runs = list(core.dirty.values())
        core.dirty.clear()
        core.write_urgent = False
        dropped, core.dropped = core.dropped, []
        runs = [run for run in runs if run.job.records_progress]
        versions = [run.version for run in runs]
        # Tombstones come first: a job that moved away may have returned with delegated tasks since,
        # and its new record must follow them.
        records = [Record(b"", key) for key in dropped]
        records += _progress_records(runs)
        named = [attempt for run in runs for attempt in note_encoded(run)]
        roster, withheld_count = frozenset(core.roster_names), core.withheld_count
        if self._changes.roster_changed():
            executors = (e for name, e in core.executors.items() if name in roster)
            roster_value = encode_roster(e.roster_record for e in executors)
            records.append(Record(roster_value, ROSTER_KEY))
        if not records:
            return
        await self._writer.write(records)
        note_durable(named)
        self._changes.roster = roster
        self._changes.withheld_count = withheld_count
        self._mark_durable(runs, versions, roster)
        if self._core.tasks_with_crash_history or any(run.has_failures for run in runs):
            # Tasks wait until their crashes and their failed runs are recorded.
            self._changes.wake.set()
        self._changes.stored()

    def _mark_durable(
        self, runs: list[JobRun], versions: list[int], roster: frozenset[str]
    ) -> None:
        for run, version in zip(runs, versions, strict=True):
            run.durable = max(run.durable, version)
        self._core.repetitions.on_durable(runs)
        for executor_id in sorted(roster):
            executor = self._core.executors.get(executor_id)
            if executor and not executor.rostered:
                executor.rostered = True
                self._core.log_if_ready(executor)
                self._changes.wake.set()

    async def finish_loop(self) -> None:
        """Write the final records of finished jobs."""
        while True:
            await self._changes.finish.wait()
            self._changes.finish.clear()
            decided, self._core.finished = self._core.finished, []
            for finished in decided:
                self._scope.spawn(self._record_finish(finished))

    async def _wait_for_withheld_ends(self) -> None:
        """Wait until the roster records all ends that are withheld now.

        Once a job is finished, nothing else keeps a next owner from acknowledging these ends.
        """
        withheld_count = self._core.withheld_count
        while self._changes.withheld_count < withheld_count:
            self._changes.dirty.set()
            await self._changes.next_stored()

    async def _record_finish(self, finished: Finished) -> None:
        await self._wait_for_withheld_ends()
        entry = self._job_registry.catalog.get(finished.job_id)
        records: list[JobRecord] = [
            Finished(finished.job_id, finished.state, finished.shard, time.time(), finished.queue)
        ]
        records += [
            Tombstone("s", finished.job_id, writer_id)
            for writer_id in (entry.writer_ids if entry else ())
        ]
        records += [Tombstone(kind, finished.job_id) for kind in ("c", "b", "m")]
        records += [
            Tombstone(kind, finished.job_id, str(shard))
            for shard in (entry.delegated if entry else ())
            for kind in ("l", "r")
        ]
        records += _completion_tombstones(finished.job_id, entry)
        write = self._job_registry.write(records)
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_FINAL_RECORD_S):
                await asyncio.shield(write)
        if not write.done():
            self._core.record_progress_of_ended(finished.job_id)
            self._changes.notify()
        await write
        self._core.on_finished(finished.job_id)
        self._changes.notify()

    async def record_started_jobs_loop(self) -> None:
        """Record which jobs have begun, and of which others a start was ordered."""
        while True:
            await asyncio.sleep(BEGUN_BATCH_S)
            begun, self._core.begun = self._open_jobs(self._core.begun), []
            ordered, self._core.start_ordered = self._open_jobs(self._core.start_ordered), []
            for job in begun:
                self._log_begun(job)
            records: list[JobRecord] = [Begun(job.job_id) for job in begun]
            records += [StartOrdered(job.job_id) for job in ordered if not self._has_begun(job)]
            if records:
                await self._job_registry.write(records)

    def _open_jobs(self, job_ids: Iterable[str]) -> list[ShardJob]:
        """Return those of some jobs that this shard manages and whose end is not decided."""
        jobs = (self._core.jobs.get(job_id) for job_id in job_ids)
        return [job for job in jobs if job and not job.closing]

    def _has_begun(self, job: ShardJob) -> bool:
        """Return whether a task of a job has begun, here or in another hall.

        Another hall that runs tasks of the job announces it under the key of this shard's records.
        """
        entry = self._job_registry.catalog.get(job.job_id)
        return job.begun or (entry is not None and entry.begun)

    def _log_begun(self, job: ShardJob) -> None:
        """Log what shows that a job has begun."""
        attempts = list(job.attempts())
        self._core.log(
            Event.JOB_BEGUN,
            job=job.job_id,
            queue=job.spec.queue,
            confirmed=sum(attempt.confirmed_at > NEVER for attempt in attempts),
            unanswered=sum(attempt.start_unanswered for attempt in attempts),
            refused=sum(task.refusals for run in job.runs.values() for task in run.tasks()),
            done=sum(task.done for run in job.runs.values() for task in run.tasks()),
            shard=self._shard,
            token=self._core.token,
        )

    async def prune_loop(self) -> None:
        """Remove the final records that have expired."""
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_S)
            limit = time.time() - self._settings.bounds.state_kept_s - PRUNE_MARGIN_S
            expired: list[JobRecord] = [
                record
                for job_id, entry in self._job_registry.catalog.jobs_of_shard(self._shard)
                if entry.finished and entry.finished.at < limit
                for record in _removal_records(job_id, entry)
            ]
            expired += self._expired_early_cancels()
            if expired:
                await self._job_registry.write(expired)

    def _expired_early_cancels(self) -> list[JobRecord]:
        """Return the tombstones of expired early cancels, each of which one shard removes."""
        early_cancels = self._job_registry.catalog.early_cancels
        shards = len(self._settings.halls)
        return [
            Tombstone("c", job_id)
            for job_id in early_cancels.expired(time.time())
            if crc32(job_id.encode()) % shards == self._shard
        ]


def _progress_records(runs: Iterable[JobRun]) -> list[Record]:
    """Return the progress records of repetitions.

    The record of a job's done repetitions replaces those of each. They are in one append, so that
    a next owner reads one of them at least.
    """
    offset_s = wall_offset_s()
    jobs: dict[ShardJob, None] = {}
    records = []
    for run in runs:
        if run.recorded_as_done:
            jobs[run.job] = None
            records.append(Record(b"", progress_key(run)))
        else:
            records.append(Record(encode_run(run, offset_s), progress_key(run)))
    return [*(Record(encode_done(job), done_key(job.job_id)) for job in jobs), *records]


def _removal_records(job_id: str, entry: JobEntry) -> list[JobRecord]:
    """Return the tombstones that remove a finished job completely.

    A caller that sent the job again may have left a submission recorded after its final state.
    Without the final state, that submission would count as a new job, so it is removed first.
    """
    submissions = [Tombstone("s", job_id, writer_id) for writer_id in entry.writer_ids]
    # Another shard may have written such a record after the final state.
    completions = _completion_tombstones(job_id, entry)
    # So may a host that was asked to cancel it.
    return [*submissions, *completions, Tombstone("c", job_id), Tombstone("f", job_id)]


def _completion_tombstones(job_id: str, entry: JobEntry | None) -> list[Tombstone]:
    parts = entry.completed_parts if entry else ()
    return [Tombstone("d", job_id, part) for part in sorted(parts)]
