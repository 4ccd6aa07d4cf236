"""Records of jobs in the store: submitted, moved, lent, returned, cancelled, begun, finished.

Each is a keyed record, so that the newest of each key outlasts the log's
retention. Several hosts may accept one job; each writes a key of its own and the
lowest offset decides, so that all readers agree on the job's shard.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.jobs.crash import Crash
    from linkspan.jobs.spec import JobSpec
    from linkspan.model.configuration import QueueTerms


class JobState(Enum):
    """States of a job as callers see them."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in _FINAL


_FINAL = frozenset((JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED))


@dataclass(frozen=True, slots=True)
class Submitted:
    """A job was accepted.

    Attributes:
        spec: The job.
        shard: Number of the shard that runs it.
        accepted_at: Time of day at the accepting host, in seconds since 1970.
        host: Life of the accepting host's process, and which sending of its record this
            is: each writes a key of its own.
        terms: What it was accepted under; ``None`` in records of earlier versions.
        version: Version of the configuration that tells these, as far as it is known.
    """

    spec: JobSpec
    shard: int
    accepted_at: float
    host: str
    terms: QueueTerms | None = None
    version: int | None = None


@dataclass(frozen=True, slots=True)
class Moved:
    """A job of which nothing was started lives in another shard from here on."""

    job_id: str
    shard: int


@dataclass(frozen=True, slots=True, order=True)
class Delegation:
    """One handing of a standing task to another shard.

    Attributes:
        step: Number of the step.
        index: Number of the task in the step.
        number: Counts the loans of this task, from 1.
        crash_count: Executors that had crashed under it when it was lent, or given back; what it
            may still take down is bounded over all halls. No part of what names the loan.
        crash_score: What these count.
        identified_crashes: Those of the crashes that are known by name.
    """

    step: int
    index: int
    number: int
    crash_count: int = field(default=0, compare=False)
    crash_score: int = field(default=0, compare=False)
    identified_crashes: tuple[Crash, ...] = field(default=(), compare=False)


@dataclass(frozen=True, slots=True)
class Delegated:
    """Standing tasks of a job are looked after by another shard from here on.

    Attributes:
        job_id: The job.
        shard: The other shard.
        delegations: All loans to it that were not returned.
    """

    job_id: str
    shard: int
    delegations: tuple[Delegation, ...]


@dataclass(frozen=True, slots=True)
class Returned:
    """Loans that the other shard gave back, since it had no room.

    Attributes:
        job_id: The job.
        shard: The other shard.
        delegations: All loans that it gave back.
    """

    job_id: str
    shard: int
    delegations: tuple[Delegation, ...]


@dataclass(frozen=True, slots=True)
class Cancelled:
    """A caller cancelled a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Begun:
    """A job's first task was started."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Finished:
    """A job reached its final state.

    Attributes:
        job_id: The job.
        state: The final state.
        shard: Shard that ran it, whose owner prunes the record in the end.
        at: Time of day of the owner, in seconds since 1970.
        queue: The job's queue.
    """

    job_id: str
    state: JobState
    shard: int
    at: float
    queue: str


@dataclass(frozen=True, slots=True)
class Tombstone:
    """A key's record is no longer needed.

    Attributes:
        kind: First letter of the key: ``s``, ``m``, ``l``, ``r``, ``c``, ``b`` or ``f``.
        job_id: The job.
        part: Rest of the key: the accepting host of a submission, the other shard
            of a loan.
    """

    kind: str
    job_id: str
    part: str = ""


JobRecord = Submitted | Moved | Delegated | Returned | Cancelled | Begun | Finished | Tombstone
