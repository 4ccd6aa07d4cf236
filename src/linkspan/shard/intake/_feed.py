"""Passes changes of jobs from the job registry to the shard's core."""

from __future__ import annotations

from itertools import chain, islice
from typing import TYPE_CHECKING, Any

from linkspan.clock import steady, wall_offset_s
from linkspan.errors import RecordError
from linkspan.events import Event
from linkspan.shard.done_repetitions import NO_REPETITIONS

if TYPE_CHECKING:
    from linkspan.jobs.catalog import JobEntry
    from linkspan.jobs.records import Delegation
    from linkspan.shard._context import TenureContext
    from linkspan.shard.recovery.job_progress import JobProgress

MAX_LOGGED_DELEGATIONS = 20
"""Limits the delegations in one log line. A job may have hundreds of them, and the line for each
start of a delegated task contains its number as well."""


class JobFeed:
    """Applies the entries of the job registry to the jobs of a shard.

    Args:
        context: Shared context of the tenure.
    """

    def __init__(self, context: TenureContext) -> None:
        self._core = context.core
        self._shard = context.shard
        self._token = context.token
        self._job_registry = context.job_registry
        self._log = context.log
        self._changes = context.changes

    def __repr__(self) -> str:
        return f"JobFeed(shard={self._shard})"

    def on_job(self, job_id: str) -> None:
        """Handle a change of a job's entry in the registry."""
        now = steady()
        entry = self._job_registry.catalog.get(job_id)
        if entry is None:
            return
        if entry.finished:
            self._core.on_finished(job_id)
        elif job_id in self._core.jobs:
            self._on_known_job(job_id, entry, now)
        elif entry.shard == self._shard or self._shard in entry.delegated:
            # A previous owner that has not read this owner's claim yet may also receive the job,
            # so it counts as inherited while reports of inherited executors are awaited.
            self.add_job(job_id, entry, now, inherited=self._core.awaiting_reports)
        self._changes.notify()

    def add_job(
        self,
        job_id: str,
        entry: JobEntry,
        now: float,
        *,
        inherited: bool,
        progress: JobProgress | None = None,
    ) -> None:
        """Add a job to the shard, and log a progress record that does not match it."""
        if entry.submitted is None:
            return
        delegations = None if entry.shard == self._shard else entry.open_delegations(self._shard)
        self._log.write(
            Event.JOB_TAKEN_IN,
            shard=self._shard,
            job=job_id,
            offset=entry.offset,
            accepted_by=entry.submitted.writer_id,
            token=self._token,
            inherited=inherited,
            adopting=len(self._core.awaiting_report_ids),
            left=job_id in self._core.departed_jobs,
            records=len(progress.runs) if progress else 0,
            repetitions_done=progress.done.count if progress else 0,
            begun=entry.begun,
            ordered=entry.start_ordered,
            moved=entry.moved is not None,
            borrowed=delegations is not None,
            **_handover_fields(entry, delegations),
        )
        try:
            self._core.add_job(
                entry.submitted,
                now,
                inherited=inherited,
                moved=entry.moved is not None,
                start_ordered=entry.start_ordered,
                begun=entry.begun,
                progress=progress.runs if progress else None,
                done_repetitions=progress.done if progress else NO_REPETITIONS,
                delegated_here=delegations,
                delegated_elsewhere={
                    s: entry.open_delegations(s) for s in entry.delegated if s != self._shard
                },
                returned=tuple(chain.from_iterable(entry.returned_delegations.values())),
                completed=tuple(entry.completed),
                wall_offset_s=wall_offset_s(),
            )
        except RecordError as error:
            self._log.write(Event.RECORD_SKIPPED, partition="progress", error=str(error))
        if entry.cancelled:
            self._core.cancel_job(job_id)
        self._announce_done(job_id, entry)

    def _announce_done(self, job_id: str, entry: JobEntry) -> None:
        """Announce ends that a former owner found and may not have announced to other shards."""
        job = self._core.jobs.get(job_id)
        if job is None or not entry.delegated:
            return
        for shard in entry.delegated:
            for delegation in entry.open_delegations(shard):
                task = job.task(delegation.task_index)
                repetition_done = delegation.repetition in job.done_repetitions
                if repetition_done or (task and task.done):
                    self._core.announce_done_task(job_id, delegation.task_index)

    def _on_known_job(self, job_id: str, entry: JobEntry, now: float) -> None:
        job = self._core.jobs[job_id]
        if len(entry.completed) != job.completed_seen:
            job.completed_seen = len(entry.completed)
            self._core.complete_tasks(job_id, entry.completed, now)
        if entry.cancelled:
            self._core.cancel_job(job_id)
        elif entry.shard == self._shard:
            self.reclaim_tasks(job_id, entry, now)
        elif job.delegated_here:
            self._core.accept_delegations(job_id, entry.open_delegations(self._shard), now)
        elif job.moving:
            self._on_moved_job(job_id, entry, now)

    def _on_moved_job(self, job_id: str, entry: JobEntry, now: float) -> None:
        """Remove a job whose move the registry shows, even if its write is unanswered yet."""
        self._core.remove_moved(job_id)
        if entry.open_delegations(self._shard):
            self.add_job(job_id, entry, now, inherited=self._core.awaiting_reports)

    def reclaim_tasks(self, job_id: str, entry: JobEntry, now: float) -> None:
        """Manage the tasks again that other shards have returned."""
        for delegations in entry.returned_delegations.values():
            self._core.reclaim_tasks(job_id, delegations, now)


def _handover_fields(entry: JobEntry, delegations: tuple[Delegation, ...] | None) -> dict[str, Any]:
    """Return the log fields that identify the move or the delegations of a job to this shard."""
    fields: dict[str, Any] = {}
    if entry.moved:
        fields["moved_at"] = entry.moved[1]
    if delegations:
        fields["loans"] = {
            _task_field(delegation): delegation.number
            for delegation in islice(delegations, MAX_LOGGED_DELEGATIONS)
        }
    return fields


def _task_field(delegation: Delegation) -> str:
    """Return a delegated task's name within its job, without the repetition if it is the first."""
    name = f"{delegation.step}.{delegation.index}"
    return f"{delegation.repetition}.{name}" if delegation.repetition else name
