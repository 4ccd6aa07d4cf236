"""The jobs that this host knows of: a fold of the job records."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from linkspan.jobs.records import (
    Begun,
    Cancelled,
    Delegated,
    Delegation,
    Finished,
    JobRecord,
    JobState,
    Moved,
    Returned,
    Submitted,
    Tombstone,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


@dataclass(slots=True)
class JobEntry:
    """A job and what is known of its progress.

    Attributes:
        submitted: The submission that counts, ``None`` if only a later record is known.
        offset: Offset of that submission.
        moved: Shard that the job was moved to, and the offset of that record.
        delegated: Loans of standing tasks to other shards, by shard.
        returned_delegations: Loans that those shards gave back, by shard.
        hosts: Hosts that accepted the job, each with a record of its own.
        begun: Whether a task of it was started.
        cancelled: Whether a caller cancelled it.
        finished: Its final record.
    """

    submitted: Submitted | None = None
    offset: int = -1
    moved: tuple[int, int] | None = None
    delegated: dict[int, tuple[Delegation, ...]] = field(default_factory=dict)
    returned_delegations: dict[int, tuple[Delegation, ...]] = field(default_factory=dict)
    hosts: tuple[str, ...] = ()
    begun: bool = False
    cancelled: bool = False
    finished: Finished | None = None

    @property
    def known(self) -> bool:
        """Whether the job was accepted."""
        return self.submitted is not None or self.finished is not None

    @property
    def shard(self) -> int | None:
        """Shard that the job lives in, ``None`` while it is not known."""
        if self.moved:
            return self.moved[0]
        source = self.submitted or self.finished
        return source.shard if source else None

    def open_delegations(self, shard: int) -> tuple[Delegation, ...]:
        """Return the loans to a shard that it has not given back."""
        back = set(self.returned_delegations.get(shard, ()))
        return tuple(
            delegation for delegation in self.delegated.get(shard, ()) if delegation not in back
        )

    @property
    def state(self) -> JobState:
        """State to show to callers."""
        if self.finished:
            return self.finished.state
        if self.cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if self.begun else JobState.QUEUED


class JobCatalog:
    """Fold of all job records, the same on every host.

    Records may be applied again and, while a reader catches up by keys, out of
    order; the outcome is the same.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, JobEntry] = {}
        self._waiting: dict[str, set[str]] = {}

    def __repr__(self) -> str:
        return f"JobCatalog({len(self._jobs)} jobs)"

    def get(self, job_id: str) -> JobEntry | None:
        """Return the job, or ``None`` if it was never accepted as far as is known."""
        entry = self._jobs.get(job_id)
        return entry if entry and entry.known else None

    def waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return len(self._waiting.get(queue, ()))

    def of_shard(self, shard: int) -> Iterator[tuple[str, JobEntry]]:
        """Iterate over the jobs that live in a shard or lent tasks to it."""
        for job_id, entry in self._jobs.items():
            if entry.known and (entry.shard == shard or shard in entry.delegated):
                yield job_id, entry

    def apply(self, offset: int, record: JobRecord) -> str:
        """Take a record in and return the id of its job."""
        if isinstance(record, Submitted):
            self._submitted(offset, record)
            return record.spec.job_id
        if isinstance(record, Tombstone):
            self._dropped(record)
            return record.job_id
        entry = self._jobs.setdefault(record.job_id, JobEntry())
        if isinstance(record, Moved):
            if entry.moved is None or entry.moved[1] < offset:
                entry.moved = (record.shard, offset)
        elif isinstance(record, Delegated):
            entry.delegated[record.shard] = _joined(entry.delegated, record)
        elif isinstance(record, Returned):
            entry.returned_delegations[record.shard] = _joined(entry.returned_delegations, record)
        elif isinstance(record, Cancelled):
            entry.cancelled = True
        elif isinstance(record, Begun):
            entry.begun = True
        elif entry.finished is None:
            entry.finished = record
        self._count(record.job_id, entry)
        return record.job_id

    def retain(self, job_ids: Iterable[str], *, before: int) -> int:
        """Forget jobs that the store no longer holds, and return how many.

        Args:
            job_ids: Jobs of which the store holds a key.
            before: Jobs submitted at or past this offset are kept in any case.
        """
        kept = set(job_ids)
        gone = [j for j, e in self._jobs.items() if j not in kept and e.offset < before]
        for job_id in gone:
            self._forget(job_id)
        return len(gone)

    def _submitted(self, offset: int, record: Submitted) -> None:
        job_id = record.spec.job_id
        entry = self._jobs.setdefault(job_id, JobEntry())
        if record.host not in entry.hosts:
            entry.hosts += (record.host,)
        if entry.submitted is None or offset < entry.offset:
            entry.submitted = record
            entry.offset = offset
        self._count(job_id, entry)

    def _dropped(self, record: Tombstone) -> None:
        entry = self._jobs.get(record.job_id)
        if entry is None:
            return
        if record.kind == "m":
            entry.moved = None
        elif record.kind == "l":
            entry.delegated.pop(int(record.part), None)
        elif record.kind == "r":
            entry.returned_delegations.pop(int(record.part), None)
        elif record.kind == "f" or (record.kind == "s" and entry.finished is None):
            # A submission is dropped before the end only if it was void.
            self._forget(record.job_id)
        elif record.kind == "s":
            entry.submitted = None

    def _count(self, job_id: str, entry: JobEntry) -> None:
        if entry.submitted is None:
            return
        waiting = self._waiting.setdefault(entry.submitted.spec.queue, set())
        if entry.begun or entry.cancelled or entry.finished:
            waiting.discard(job_id)
        elif entry.submitted.spec.schedule is None:
            waiting.add(job_id)

    def _forget(self, job_id: str) -> None:
        entry = self._jobs.pop(job_id, None)
        if entry and entry.submitted:
            self._waiting.get(entry.submitted.spec.queue, set()).discard(job_id)


def _joined(
    known: dict[int, tuple[Delegation, ...]], record: Delegated | Returned
) -> tuple[Delegation, ...]:
    """Return the loans of a record and those known before.

    Loans are numbered and none is taken back but by its return, so nothing is lost if a
    record that was written earlier is done later than its successor.
    """
    return tuple(dict.fromkeys((*known.get(record.shard, ()), *record.delegations)))
