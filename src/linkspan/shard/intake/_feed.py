"""News of jobs from the job book, as the core takes them in."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, Any

from linkspan.clock import steady
from linkspan.errors import RecordError
from linkspan.events import Event

if TYPE_CHECKING:
    from linkspan.jobs.catalog import JobEntry
    from linkspan.jobs.records import Delegation
    from linkspan.shard._context import TenureContext

MAX_LOGGED_DELEGATIONS = 20
"""Loans that a line names: a job may have lent hundreds of tasks, and each line that
places one names its number, too."""


class JobFeed:
    """Passes on what the job book says of the jobs of a shard.

    Args:
        context: What the tenure works with.
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
        """Take in that something is known of a job that was not before."""
        now = steady()
        entry = self._job_registry.catalog.get(job_id)
        if entry is None:
            return
        if entry.finished:
            self._core.on_finished(job_id)
        elif job_id in self._core.jobs:
            self._on_known_job(job_id, entry, now)
        elif entry.shard == self._shard or self._shard in entry.delegated:
            # A former owner that has not yet read of our claim may see it too.
            self.add_job(job_id, entry, now, inherited=self._core.awaiting_reports)
        self._changes.notify()

    def add_job(
        self,
        job_id: str,
        entry: JobEntry,
        now: float,
        *,
        inherited: bool,
        progress: dict[int, bytes] | None = None,
    ) -> None:
        """Take a job in; a progress record that does not fit it is logged."""
        if entry.submitted is None:
            return
        borrowed = None if entry.shard == self._shard else entry.open_delegations(self._shard)
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
            records=len(progress or ()),
            begun=entry.begun,
            moved=entry.moved is not None,
            borrowed=borrowed is not None,
            **_handed_over(entry, borrowed),
        )
        try:
            self._core.add_job(
                entry.submitted,
                now,
                inherited=inherited,
                moved=entry.moved is not None,
                begun=entry.begun,
                progress=progress,
                delegated_here=borrowed,
                delegated_elsewhere={
                    s: entry.open_delegations(s) for s in entry.delegated if s != self._shard
                },
            )
        except RecordError as error:
            self._log.write(Event.RECORD_SKIPPED, partition="progress", error=str(error))
        if entry.cancelled:
            self._core.cancel_job(job_id)

    def _on_known_job(self, job_id: str, entry: JobEntry, now: float) -> None:
        if entry.cancelled:
            self._core.cancel_job(job_id)
        elif entry.shard == self._shard:
            self.reclaim_tasks(job_id, entry, now)
        elif self._core.jobs[job_id].delegated_here:
            self._core.accept_delegations(job_id, entry.open_delegations(self._shard), now)
        elif self._core.jobs[job_id].handing_over:
            self._on_moved_job(job_id, entry, now)

    def _on_moved_job(self, job_id: str, entry: JobEntry, now: float) -> None:
        """Let go of a job whose move is told; the answer to its record may come later."""
        self._core.remove_moved(job_id)
        if entry.open_delegations(self._shard):
            self.add_job(job_id, entry, now, inherited=self._core.awaiting_reports)

    def reclaim_tasks(self, job_id: str, entry: JobEntry, now: float) -> None:
        """Look after the tasks again that other shards returned."""
        for delegations in entry.returned_delegations.values():
            self._core.reclaim_tasks(job_id, delegations, now)


def _handed_over(entry: JobEntry, borrowed: tuple[Delegation, ...] | None) -> dict[str, Any]:
    """Return the records by which other shards gave a job or tasks of it."""
    fields: dict[str, Any] = {}
    if entry.moved:
        fields["moved_at"] = entry.moved[1]
    if borrowed:
        fields["loans"] = {
            f"{delegation.step}.{delegation.index}": delegation.number
            for delegation in islice(borrowed, MAX_LOGGED_DELEGATIONS)
        }
    return fields
