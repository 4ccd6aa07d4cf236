"""The records of a tenure: progress, ends, beginnings, and their removal."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

from linkspan.clock import steady
from linkspan.jobs.records import Begun, Finished, Tombstone
from linkspan.shard.attempt import NEVER
from linkspan.shard.recovery.progress import ROSTER_KEY, encode_roster, encode_run, key_of
from linkspan.store.types import Record

if TYPE_CHECKING:
    from linkspan.jobs.catalog import JobEntry
    from linkspan.jobs.records import JobRecord
    from linkspan.shard._context import TenureContext
    from linkspan.shard.job_run import JobRun

FLUSH_S = 0.06
"""Time for which changes of progress are gathered into one append."""

START_FLUSH_S = 0.015
"""Least time between two appends where starts wait: an append takes some 5 ms."""

MAX_QUICK_FLUSHES = 10
"""Appends within a second up to which they may follow each other that soon. The store takes some
hundreds a second of all halls: busy ones gather starts for as long as other changes."""

ANSWERS_S = 0.5
"""Longest time for which the answer to a start waits to be put on record."""

BEGUN_S = 1.0
"""Time for which jobs that began are gathered; counts may be two seconds old."""

PRUNE_S = 15.0
"""Time between removals of records that are past their time."""

PRUNE_MARGIN_S = 60.0
"""Time for which finished jobs are kept beyond what callers were promised."""


def next_flush_at(flushes: deque[float], now: float) -> float:
    """Return the steady time before which no append is to follow.

    Args:
        flushes: Steady times of the last appends, as many as may be quick within a second.
        now: Steady time.

    Example:
        >>> next_flush_at(deque([0.0, 9.0], maxlen=2), 9.0)
        9.015
        >>> next_flush_at(deque([8.5, 9.0], maxlen=2), 9.0)
        9.06
    """
    busy = len(flushes) == flushes.maxlen and now - flushes[0] < 1.0
    return flushes[-1] + (FLUSH_S if busy else START_FLUSH_S)


class RecordWriter:
    """Writes what the core wants durable and removes what is past its time.

    Args:
        context: What the tenure works with.
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
            await self._gather()
            await asyncio.sleep(next_flush_at(flushes, steady()) - steady())
            changes.dirty.clear()
            changes.starts.clear()
            await self.flush()
            flushes.append(steady())

    async def _gather(self) -> None:
        """Wait for more changes, unless a start waits for its record."""
        with suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_S):
                await self._changes.starts.wait()

    async def answers_loop(self) -> None:
        """Have answers to starts written for as long as the tenure lasts."""
        while True:
            await asyncio.sleep(ANSWERS_S)
            if self._core.dirty:
                self._changes.dirty.set()

    async def flush(self) -> None:
        """Write the progress and the roster that changed since the last time.

        Raises:
            Fenced, ProducerFenced, ProducerGap: Another owner writes.
        """
        core = self._core
        runs = list(core.dirty.values())
        core.dirty.clear()
        core.write_urgent = False
        dropped, core.dropped = core.dropped, []
        # A job whose final state is on its way is dropped once that is durable.
        runs = [run for run in runs if not run.job.closing]
        versions = [run.version for run in runs]
        # First, since a job that moved away may have come back with loans meanwhile.
        records = [Record(b"", key) for key in dropped]
        records += [Record(encode_run(run), key_of(run)) for run in runs]
        roster, holds = frozenset(core.executors), core.withheld_count
        if self._changes.roster_changed():
            listed = encode_roster(e.on_roster for e in core.executors.values())
            records.append(Record(listed, ROSTER_KEY))
        if not records:
            return
        await self._writer.write(records)
        self._changes.roster = roster
        self._changes.withheld_count = holds
        if self._core.suspects:
            # They wait until their crashes are on record.
            self._changes.wake.set()
        self._mark_durable(runs, versions, roster)
        self._changes.stored()

    def _mark_durable(
        self, runs: list[JobRun], versions: list[int], roster: frozenset[str]
    ) -> None:
        for run, version in zip(runs, versions, strict=True):
            run.durable = max(run.durable, version)
        for executor_id in roster:
            executor = self._core.executors.get(executor_id)
            if executor and not executor.rostered:
                executor.rostered = True
                self._changes.wake.set()

    async def finish_loop(self) -> None:
        """Write the final records of jobs that were decided."""
        while True:
            await self._changes.finish.wait()
            self._changes.finish.clear()
            decided, self._core.finished = self._core.finished, []
            for finished in decided:
                self._scope.spawn(self._record_finish(finished))

    async def _record_holds(self) -> None:
        """Wait until the roster tells of all ends that are held by now.

        Once a job is over, nothing else keeps a next owner from having them forgotten.
        """
        holds = self._core.withheld_count
        while self._changes.withheld_count < holds:
            self._changes.dirty.set()
            await self._changes.next_stored()

    async def _record_finish(self, finished: Finished) -> None:
        await self._record_holds()
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
        await self._job_registry.write(records)
        self._core.on_finished(finished.job_id)
        self._changes.notify()

    async def begun_loop(self) -> None:
        """Write which jobs began."""
        while True:
            await asyncio.sleep(BEGUN_S)
            begun, self._core.begun = self._core.begun, []
            records = [
                Begun(job_id)
                for job_id in begun
                if job_id in self._core.jobs and not self._core.jobs[job_id].closing
            ]
            if records:
                await self._job_registry.write(records)

    async def prune_loop(self) -> None:
        """Remove the final records that are past their time."""
        while True:
            await asyncio.sleep(PRUNE_S)
            limit = time.time() - self._settings.bounds.state_kept_s - PRUNE_MARGIN_S
            old = [
                record
                for job_id, entry in self._job_registry.catalog.jobs_of_shard(self._shard)
                if entry.finished and entry.finished.at < limit
                for record in _last_records(job_id, entry)
            ]
            if old:
                await self._job_registry.write(old)


def _last_records(job_id: str, entry: JobEntry) -> list[JobRecord]:
    """Return what removes a finished job whole.

    A caller that sent the job again may have left a submission behind its end: without
    the end it would count as a new job.
    """
    submissions = [Tombstone("s", job_id, writer_id) for writer_id in entry.writer_ids]
    return [*submissions, Tombstone("f", job_id)]
