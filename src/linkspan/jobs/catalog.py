"""Catalog of all known jobs, built by applying the job records."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.jobs.early_cancels import EarlyCancels
from linkspan.jobs.memory import JobMemory
from linkspan.jobs.records import (
    Begun,
    Cancelled,
    Completed,
    Delegated,
    Delegation,
    Finished,
    JobRecord,
    JobState,
    Moved,
    Returned,
    StartOrdered,
    Submitted,
    TaskIndex,
    Tombstone,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


@dataclass(slots=True)
class JobEntry:
    """A job and its progress as far as known.

    Attributes:
        submitted: The submission with the lowest offset, ``None`` if only other records are known.
        offset: Offset of that submission.
        moved: Shard that the job was moved to, and the offset of the record that moved it.
        delegated: Delegations of tasks to other shards, by shard.
        returned_delegations: Delegations that those shards returned, by shard.
        completed: Tasks that are done by the records of a shard that does not manage the job, or
            while another shard manages them.
        completed_parts: Parts of these records.
        writer_ids: Writers of the job's submissions, see :attr:`Submitted.writer_id`.
        start_ordered: Whether a start of a task of the job may have been sent.
        begun: Whether a task of the job has begun.
        cancelled: Whether a caller cancelled the job.
        finished: Record of the final state, ``None`` until the job is finished.
    """

    submitted: Submitted | None = None
    offset: int = -1
    moved: tuple[int, int] | None = None
    delegated: dict[int, tuple[Delegation, ...]] = field(default_factory=dict)
    returned_delegations: dict[int, tuple[Delegation, ...]] = field(default_factory=dict)
    completed: set[TaskIndex] = field(default_factory=set)
    completed_parts: set[str] = field(default_factory=set)
    writer_ids: tuple[str, ...] = ()
    start_ordered: bool = False
    begun: bool = False
    cancelled: bool = False
    finished: Finished | None = None

    @property
    def known(self) -> bool:
        """Whether the job was accepted."""
        return self.submitted is not None or self.finished is not None

    @property
    def shard(self) -> int | None:
        """Shard that the job belongs to, ``None`` while unknown."""
        if self.moved:
            return self.moved[0]
        source = self.submitted or self.finished
        return source.shard if source else None

    def open_delegations(self, shard: int) -> tuple[Delegation, ...]:
        """Return the delegations to a shard of tasks that it has not returned and are not done.

        Earlier delegations of a task than a returned one were returned, too. Their record may not
        have been read, as a later one has its key.
        """
        returned: dict[TaskIndex, int] = {}
        for delegation in self.returned_delegations.get(shard, ()):
            task = delegation.task_index
            returned[task] = max(returned.get(task, 0), delegation.number)
        return tuple(
            delegation
            for delegation in self.delegated.get(shard, ())
            if delegation.number > returned.get(delegation.task_index, 0)
            and delegation.task_index not in self.completed
        )

    @property
    def state(self) -> JobState:
        """State of the job as callers see it."""
        if self.finished:
            return self.finished.state
        if self.cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if self.begun else JobState.QUEUED


class JobCatalog:
    """State of all jobs according to their records, the same on every host.

    Applying records is idempotent and independent of their order. A reader that starts with the
    newest record of each key may see records again or out of order.

    Attributes:
        memory: Estimated memory of the unfinished jobs.
        early_cancels: Cancelled jobs of which no submission is known.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, JobEntry] = {}
        self._waiting: dict[str, set[str]] = {}
        self.memory = JobMemory()
        self.early_cancels = EarlyCancels()
        # These are few: a check of handovers need not go through all jobs.
        self._standing_or_delegated: dict[str, JobEntry] = {}

    def __repr__(self) -> str:
        return f"JobCatalog({len(self._jobs)} jobs)"

    def get(self, job_id: str) -> JobEntry | None:
        """Return a job, or ``None`` if no acceptance of the job is known."""
        entry = self._jobs.get(job_id)
        return entry if entry and entry.known else None

    def waiting(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue that have not begun."""
        return len(self._waiting.get(queue, ()))

    def jobs_of_shard(self, shard: int) -> Iterator[tuple[str, JobEntry]]:
        """Iterate over the jobs that belong to a shard or have delegated tasks to the shard."""
        for job_id, entry in self._jobs.items():
            if entry.known and (entry.shard == shard or shard in entry.delegated):
                yield job_id, entry

    def standing_or_delegated_jobs_of_shard(self, shard: int) -> Iterator[tuple[str, JobEntry]]:
        """Iterate, as :meth:`jobs_of_shard`, over unfinished jobs that may be in several halls.

        These are the jobs with standing tasks and those with delegations.
        """
        for job_id, entry in self._standing_or_delegated.items():
            if not entry.known or entry.finished:
                continue
            if entry.shard == shard or shard in entry.delegated:
                yield job_id, entry

    def apply(self, offset: int, record: JobRecord) -> str:
        """Apply a record and return the id of its job."""
        if isinstance(record, Submitted):
            self._apply_submission(offset, record)
            return record.spec.job_id
        if isinstance(record, Tombstone):
            self._apply_tombstone(record)
            return record.job_id
        entry = self._jobs.setdefault(record.job_id, JobEntry())
        if isinstance(record, Moved):
            if entry.moved is None or entry.moved[1] < offset:
                entry.moved = (record.shard, offset)
        elif isinstance(record, Delegated):
            entry.delegated[record.shard] = _merge_delegations(entry.delegated, record)
            self._standing_or_delegated[record.job_id] = entry
        elif isinstance(record, Returned):
            entry.returned_delegations[record.shard] = _merge_delegations(
                entry.returned_delegations, record
            )
        elif isinstance(record, Completed):
            entry.completed.update(record.tasks)
            entry.completed_parts.add(record.part)
        elif isinstance(record, Cancelled):
            entry.cancelled = True
            if not entry.known:
                self.early_cancels.add(record.job_id, record.at)
        elif isinstance(record, StartOrdered):
            entry.start_ordered = True
        elif isinstance(record, Begun):
            entry.start_ordered = entry.begun = True
        elif entry.finished is None:
            entry.finished = record
        self._update_sums(record.job_id, entry)
        return record.job_id

    def retain(self, job_ids: Iterable[str], *, before: int) -> int:
        """Remove jobs that are no longer in the store, and return their number.

        Args:
            job_ids: Jobs that have at least one key in the store.
            before: Jobs submitted at or after this offset are kept in any case.
        """
        kept = set(job_ids)
        removed = [j for j, e in self._jobs.items() if j not in kept and e.offset < before]
        for job_id in removed:
            self._remove(job_id)
        return len(removed)

    def _apply_submission(self, offset: int, record: Submitted) -> None:
        job_id = record.spec.job_id
        entry = self._jobs.setdefault(job_id, JobEntry())
        if record.writer_id not in entry.writer_ids:
            entry.writer_ids += (record.writer_id,)
        if entry.submitted is None or offset < entry.offset:
            self._discard_waiting(job_id, entry)
            entry.submitted = record
            entry.offset = offset
            if record.spec.standing:
                self._standing_or_delegated[job_id] = entry
        self._update_sums(job_id, entry)

    def _apply_tombstone(self, record: Tombstone) -> None:
        entry = self._jobs.get(record.job_id)
        if entry is None:
            return
        if record.kind == "m":
            entry.moved = None
        elif record.kind == "c":
            if not entry.known:
                self._remove(record.job_id)
        elif record.kind == "l":
            entry.delegated.pop(int(record.part), None)
        elif record.kind == "r":
            entry.returned_delegations.pop(int(record.part), None)
        elif record.kind == "d":
            entry.completed_parts.discard(record.part)
            if not entry.completed_parts:
                entry.completed.clear()
        elif record.kind == "f" or (record.kind == "s" and entry.finished is None):
            # A submission is removed before the job is finished only if it was void.
            self._remove(record.job_id)
        elif record.kind == "s":
            entry.submitted = None
            self.memory.remove(record.job_id)

    def _update_sums(self, job_id: str, entry: JobEntry) -> None:
        """Update what is counted over all jobs."""
        self._update_waiting(job_id, entry)
        if entry.known:
            self.early_cancels.discard(job_id)
        if entry.submitted is None or entry.finished or entry.shard is None:
            self.memory.remove(job_id)
        else:
            self.memory.add(entry.submitted.spec, {entry.shard, *entry.delegated})

    def _update_waiting(self, job_id: str, entry: JobEntry) -> None:
        if entry.submitted is None:
            return
        waiting = self._waiting.setdefault(entry.submitted.spec.queue, set())
        if entry.begun or entry.cancelled or entry.finished:
            waiting.discard(job_id)
        elif entry.submitted.spec.schedule is None:
            waiting.add(job_id)

    def _remove(self, job_id: str) -> None:
        entry = self._jobs.pop(job_id, None)
        self._standing_or_delegated.pop(job_id, None)
        self.memory.remove(job_id)
        self.early_cancels.discard(job_id)
        if entry:
            self._discard_waiting(job_id, entry)

    def _discard_waiting(self, job_id: str, entry: JobEntry) -> None:
        """Stop counting a job for the queue of its present submission."""
        if entry.submitted:
            self._waiting.get(entry.submitted.spec.queue, set()).discard(job_id)


def _merge_delegations(
    known: dict[int, tuple[Delegation, ...]], record: Delegated | Returned
) -> tuple[Delegation, ...]:
    """Return the delegations of a record together with those known before.

    Delegations are numbered and end only by being returned, so merging loses none if the store
    applies a record after its successor.
    """
    return tuple(dict.fromkeys((*known.get(record.shard, ()), *record.delegations)))
