"""Restores the state of a shard that a former owner left in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from linkspan.clock import steady
from linkspan.errors import LogGap, RecordError, StoreRefused, StoreUnanswered
from linkspan.events import Event
from linkspan.jobs.records import Delegated, Returned
from linkspan.shard.leases import inherited_lease_expiry
from linkspan.shard.recovery.job_progress import JobProgress
from linkspan.shard.recovery.progress import (
    ROSTER_KEY,
    decode_done,
    decode_roster,
    job_of_done_key,
    moved_to,
    parse_key,
)
from linkspan.shard.reports._watch import INITIAL_BACKOFF_S
from linkspan.store.keyed_snapshot import KeyedSnapshot

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from linkspan.jobs.catalog import JobEntry
    from linkspan.shard._context import TenureContext
    from linkspan.shard.handover._handovers import Handovers
    from linkspan.shard.intake._feed import JobFeed
    from linkspan.shard.ownership.ownership import Claim
    from linkspan.shard.reports._watch import ExecutorWatch

T = TypeVar("T")


class Recovery:
    """Rebuilds the state of a shard from the store.

    Args:
        context: Shared objects of the tenure.
        feed: Adds jobs to the shard.
        handovers: Finishes moves of jobs to other shards.
        watch: Polls executors.
        claim: What is known of former owners.
    """

    def __init__(
        self,
        context: TenureContext,
        feed: JobFeed,
        handovers: Handovers,
        watch: ExecutorWatch,
        claim: Claim,
    ) -> None:
        self._core = context.core
        self._shard = context.shard
        self._hall = context.hall
        self._settings = context.settings
        self._store = context.store
        self._partition = context.partition
        self._job_registry = context.job_registry
        self._executor_registry = context.executor_registry
        self._operator_records = context.operator_records
        self._log = context.log
        self._metrics = context.metrics
        self._writer = context.writer
        self._scope = context.scope
        self._proof = context.proof
        self._changes = context.changes
        self._feed = feed
        self._handovers = handovers
        self._watch = watch
        self._former_owners_remaining_s = claim.former_owners_remaining_s
        self._starts_recorded = claim.starts_recorded
        self._standing_starts_recorded = claim.standing_starts_recorded
        self._token = context.token
        self._done = False

    def __repr__(self) -> str:
        return f"Recovery(shard={self._shard})"

    @property
    def done(self) -> bool:
        """Whether the shard's state is complete."""
        return self._done

    async def recover(self) -> None:
        """Fence off the former owner and take over its work.

        Raises:
            Fenced, ProducerFenced, ProducerGap: A newer owner already writes to the partition.
        """
        await self._retry_until_answered(self._fence_former)
        records = await self._read_progress()
        await asyncio.gather(
            self._retry_until_answered(self._operator_records.follower.sync),
            self._retry_until_answered(self._executor_registry.follower.sync),
        )
        # Synchronized last, so that no job is added from an outdated view of the jobs.
        await self._retry_until_answered(self._job_registry.follower.sync)
        now = steady()
        core = self._core
        if configuration := self._operator_records.configuration.current:
            core.configure(configuration)
        core.evacuate(self._operator_records.evacuations.of(self._hall), now)
        leases_expire_at = inherited_lease_expiry(
            self._proof.claimed_at,
            self._former_owners_remaining_s,
            self._settings.bounds.max_lease_s,
        )
        self._inherit_executors(records.pop(ROSTER_KEY, b""), leases_expire_at)
        self._add_jobs(records, now)
        if not core.roster_readable:
            core.unrecorded_starts.distrust(list(core.jobs))
        core.list_executors(self._executor_registry.executors(self._hall), now)
        self._done = True
        self._metrics.count("claims")
        self._metrics.observe("recovery", now - self._proof.claimed_at)
        self._log.write(
            Event.OWNER_RECOVERED,
            shard=self._shard,
            token=self._token,
            took_s=round(now - self._proof.claimed_at, 3),
            roster=len(core.awaiting_report_ids),
            former_acts_s=round(self._former_owners_remaining_s, 2),
            starts_recorded=self._starts_recorded,
            standing_starts_recorded=self._standing_starts_recorded,
            leases_end_s=round(leases_expire_at - now, 2),
            **core.describe(),
        )
        self._watch.watch_all()
        self._changes.notify()

    async def _read_progress(self) -> dict[bytes, bytes]:
        """Return the shard's progress records; pages already read are kept across failures."""
        snapshot = KeyedSnapshot(self._store, self._partition)
        while True:
            try:
                await self._retry_until_answered(snapshot.read)
            except LogGap:
                # Records written since the first page, such as this tenure's fence, have left the
                # log.
                snapshot = KeyedSnapshot(self._store, self._partition)
                await asyncio.sleep(INITIAL_BACKOFF_S)
                continue
            newest = {entry.key: entry.value for entry in snapshot.entries}
            return {key: value for key, value in newest.items() if value}

    async def _fence_former(self) -> None:
        await self._writer.write([])

    async def _retry_until_answered(self, call: Callable[[], Coroutine[None, None, T]]) -> T:
        while True:
            try:
                return await call()
            except (StoreRefused, StoreUnanswered):
                await asyncio.sleep(INITIAL_BACKOFF_S)

    def _inherit_executors(self, roster: bytes, leases_expire_at: float) -> None:
        """Take over the executors of a roster, or the registered ones if it is unreadable."""
        core = self._core
        try:
            core.inherit(
                decode_roster(roster) if roster else (),
                leases_expire_at,
                starts_recorded=self._starts_recorded,
                standing_starts_recorded=self._standing_starts_recorded,
            )
            self._changes.roster = frozenset(core.roster_names)
        except RecordError as error:
            self._log.write(Event.RECORD_SKIPPED, partition="progress", error=str(error))
            core.inherit(
                self._executor_registry.executors(self._hall), leases_expire_at, read=False
            )

    def _add_jobs(self, records: dict[bytes, bytes], now: float) -> None:
        progress = self._by_job(records)
        for job_id, entry in list(self._job_registry.catalog.jobs_of_shard(self._shard)):
            of_job = progress.pop(job_id, JobProgress())
            if entry.finished:
                self._core.dropped += of_job.keys
            elif self._finish_move(job_id, entry, of_job):
                if entry.open_delegations(self._shard):
                    # Tasks were delegated to this shard since: the record of the move is older.
                    self._feed.add_job(job_id, entry, now, inherited=True)
                    self._core.unrecorded_starts.distrust([job_id])
            else:
                self._feed.add_job(job_id, entry, now, inherited=True, progress=of_job)
                self._republish_delegations(job_id, entry)
        for job_id, of_job in progress.items():
            # The records of an unknown job are kept: hosts of another version may know the job.
            if self._job_registry.catalog.get(job_id):
                self._core.dropped += of_job.keys

    def _by_job(self, records: dict[bytes, bytes]) -> dict[str, JobProgress]:
        """Return the progress records of each job."""
        progress: dict[str, JobProgress] = {}
        for key, value in records.items():
            try:
                if job_id := job_of_done_key(key):
                    of_job = progress.setdefault(job_id, JobProgress())
                    of_job.done = decode_done(value)
                else:
                    run = parse_key(key)
                    of_job = progress.setdefault(run.job_id, JobProgress())
                    of_job.runs[run.repetition] = value
                of_job.keys.append(key)
            except RecordError as error:
                self._log.write(Event.RECORD_SKIPPED, partition="progress", error=str(error))
        return progress

    def _finish_move(self, job_id: str, entry: JobEntry, progress: JobProgress) -> bool:
        """Finish a move that a former owner began, and return whether the job was moved away."""
        try:
            shard = moved_to(progress.runs.get(0, b""))
        except RecordError as error:
            self._log.write(Event.RECORD_SKIPPED, partition="progress", error=str(error))
            return False
        if shard is None:
            return False
        if entry.shard == self._shard:
            # Until all hosts know of the move, updates of the job must not add it here again.
            self._core.remove_moved(job_id)
            self._scope.spawn(self._handovers.publish_move(job_id, shard))
        else:
            self._core.dropped += progress.keys
        return True

    def _republish_delegations(self, job_id: str, entry: JobEntry) -> None:
        """Publish delegations and returns that a former owner may not have published."""
        if entry.shard != self._shard:
            returned = {
                delegation
                for delegations in self._core.delegations(job_id, steady()).values()
                for delegation in delegations
            }
            unpublished = returned & set(entry.open_delegations(self._shard))
            if unpublished:
                published = entry.returned_delegations.get(self._shard, ())
                self._job_registry.write(
                    [Returned(job_id, self._shard, (*published, *sorted(unpublished)))]
                )
            return
        self._feed.reclaim_tasks(job_id, entry, steady())
        for shard, delegations in self._core.delegations(job_id, steady()).items():
            if set(delegations) - set(entry.delegated.get(shard, ())):
                self._job_registry.write([Delegated(job_id, shard, delegations)])
