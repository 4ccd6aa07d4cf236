"""Types of the job records in the store.

All job records are keyed, so the newest record of each key outlasts the log's retention.
Several hosts may accept the same job. Each host then writes a submission under its own key, and
the submission with the lowest offset counts, so all readers agree on the job's shard.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from linkspan.jobs.crash import Crash
    from linkspan.jobs.failed_run import FailedRun
    from linkspan.jobs.spec import JobSpec
    from linkspan.model.configuration import QueueTerms


class JobState(Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether no further state follows."""
        return self in _FINAL


_FINAL = frozenset((JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED))


@dataclass(frozen=True, slots=True)
class Submitted:
    """A job was accepted.

    Attributes:
        spec: The job.
        shard: Number of the shard that runs it.
        accepted_at: Wall-clock time of the accepting host, in seconds since 1970.
        writer_id: Incarnation of the accepting host process, followed by the number of the retry if
            the record was sent again. Each host and each retry writes its own key.
        terms: Terms of the queue at acceptance; ``None`` in records of earlier versions.
        version: Version of the configuration that defines the terms, ``None`` if unknown.
    """

    spec: JobSpec
    shard: int
    accepted_at: float
    writer_id: str
    terms: QueueTerms | None = None
    version: int | None = None


@dataclass(frozen=True, slots=True)
class Moved:
    """A job with no started task was moved to another shard."""

    job_id: str
    shard: int


class TaskIndex(NamedTuple):
    """One task among those of its job.

    Attributes:
        repetition: Number of the job's repetition.
        step: Index of the step in the job.
        task: Index of the task in the step.
    """

    repetition: int
    step: int
    task: int


@dataclass(frozen=True, slots=True, order=True)
class Delegation:
    """One delegation of a task to another shard.

    The task and the number identify a delegation. What is known of the task's runs is carried along
    so that limits on crashes and on failed runs hold across halls, no run number is used twice, and
    waits end in whichever hall. None of it takes part in comparisons.

    Attributes:
        step: Index of the step in the job.
        index: Index of the task in the step.
        number: Sequence number of the delegation among those of this task, from 1.
        crash_count: Executors that had crashed under the task when it was delegated or returned.
        crash_score: Score of these crashes.
        identified_crashes: Those crashes whose executor incarnation is known.
        give_up_deferred: Whether an owner has put off giving the task up until its next crash.
        waited_s: Seconds that the task had been waiting for a run when the record was written. A
            duration, as the clocks of hosts differ.
        repetition: Number of the job's repetition.
        next_run: Number of the task's next run.
        checkpoint: Checkpoint from which the next run resumes.
        saved_by: Number of the run that saved the checkpoint.
        failed_runs: Failed runs of the task whose identity is known.
        more_failures: Number of further failed runs.
        never_ran: Whether no run had a number below that of the next one, as far as is known.
    """

    step: int
    index: int
    number: int
    crash_count: int = field(default=0, compare=False)
    crash_score: int = field(default=0, compare=False)
    identified_crashes: tuple[Crash, ...] = field(default=(), compare=False)
    give_up_deferred: bool = field(default=False, compare=False)
    waited_s: float = field(default=0.0, compare=False)
    repetition: int = 0
    next_run: int = field(default=1, compare=False)
    checkpoint: str = field(default="", compare=False)
    saved_by: int = field(default=0, compare=False)
    failed_runs: tuple[FailedRun, ...] = field(default=(), compare=False)
    more_failures: int = field(default=0, compare=False)
    never_ran: bool = field(default=False, compare=False)

    @property
    def task_index(self) -> TaskIndex:
        """The delegated task."""
        return TaskIndex(self.repetition, self.step, self.index)


@dataclass(frozen=True, slots=True)
class Delegated:
    """Tasks of a job were delegated to another shard.

    Attributes:
        job_id: The job.
        shard: The shard that runs the tasks.
        delegations: All delegations to the shard that were not returned.
    """

    job_id: str
    shard: int
    delegations: tuple[Delegation, ...]


@dataclass(frozen=True, slots=True)
class Returned:
    """Delegated tasks were returned by a shard that lacks the capacity to run them.

    Attributes:
        job_id: The job.
        shard: The shard that returned the tasks.
        delegations: All delegations that the shard returned.
    """

    job_id: str
    shard: int
    delegations: tuple[Delegation, ...]


@dataclass(frozen=True, slots=True)
class Completed:
    """Tasks of a job are done, by an end that one shard found while another manages them or waits.

    A task that is done stays so, whichever shard managed it and under which delegation. So the
    record applies in each shard and in any order.

    Attributes:
        job_id: The job.
        part: Distinguishes the record among those of the job.
        tasks: The tasks.
    """

    job_id: str
    part: str
    tasks: tuple[TaskIndex, ...]


@dataclass(frozen=True, slots=True)
class Cancelled:
    """A caller cancelled a job, which may not be known yet.

    Attributes:
        job_id: The job.
        at: Time of day at the host that was asked, in seconds since 1970; 0 in records of earlier
            versions, which wrote none for unknown jobs.
    """

    job_id: str
    at: float = 0.0


@dataclass(frozen=True, slots=True)
class StartOrdered:
    """A start of a task of a job may have been sent; :class:`Begun` replaces the record."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Begun:
    """The first task of a job has begun."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Finished:
    """A job reached its final state.

    Attributes:
        job_id: The job.
        state: The final state.
        shard: Shard that ran the job; its owner removes the record eventually.
        at: Wall-clock time of the owner, in seconds since 1970.
        queue: Name of the job's queue.
    """

    job_id: str
    state: JobState
    shard: int
    at: float
    queue: str


@dataclass(frozen=True, slots=True)
class Tombstone:
    """Removal of a key.

    Attributes:
        kind: First letter of the key: ``s``, ``m``, ``l``, ``r``, ``d``, ``c``, ``b`` or ``f``.
        job_id: The job.
        part: Rest of the key: the accepting host of a submission, the shard that tasks were
            delegated to, or the part of a :class:`Completed`.
    """

    kind: str
    job_id: str
    part: str = ""


JobRecord = (
    Submitted
    | Moved
    | Delegated
    | Returned
    | Completed
    | Cancelled
    | StartOrdered
    | Begun
    | Finished
    | Tombstone
)
