"""Records of a hall's ledger, and the decisions that they contain."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, TypeAlias

from linkspan.model.job import AttemptId, JobSpec
from linkspan.model.resources import Resources
from linkspan.model.worker import WorkerSpec


class Outcome(IntEnum):
    """Outcome of an attempt that ended by itself."""

    SUCCEEDED = 0
    FAILED = 1


class Placed(NamedTuple):
    """Assigns an attempt to the worker with this ledger number."""

    attempt: AttemptId
    worker: int


class Ended(NamedTuple):
    """Reports that an attempt ended by itself, according to its worker."""

    attempt: AttemptId
    outcome: Outcome


class Submitted(NamedTuple):
    """Submits a job."""

    spec: JobSpec


class WorkerSeen(NamedTuple):
    """Reports a worker's size and incarnation, from its own report."""

    spec: WorkerSpec


class Cancelled(NamedTuple):
    """Cancels a job, even when its submission has not arrived yet."""

    job_id: str


class Evicted(NamedTuple):
    """Reports that an attempt stopped for good without an end, according to its worker.

    Attributes:
        attempt: The attempt.
        checkpoint: Checkpoint that the next attempt resumes from, "" to start over.
        started: Whether the attempt ever ran.
    """

    attempt: AttemptId
    checkpoint: str
    started: bool


class Recalled(NamedTuple):
    """Recalls an attempt: a scheduler that has applied this does not renew its lease."""

    attempt: AttemptId


class Lapsed(NamedTuple):
    """Reports that the lease of a recalled attempt has certainly expired."""

    attempt: AttemptId


class Resized(NamedTuple):
    """Sets the size that later attempts of a job reserve."""

    job: int
    size: Resources


class Joined(NamedTuple):
    """Adds a scheduler, which may renew leases from this record on."""

    scheduler: str


class Left(NamedTuple):
    """Removes a scheduler, which no longer renews leases."""

    scheduler: str


class Expelled(NamedTuple):
    """Expels a silent scheduler, which renews no lease once it has applied this."""

    scheduler: str


class SnapshotPart(NamedTuple):
    """One part of a snapshot, for readers that start after old records were dropped.

    Attributes:
        as_of: First offset that the snapshot does not contain.
        part: Index of this part, from 0.
        parts: Number of parts.
        body: Bytes of this part.
    """

    as_of: int
    part: int
    parts: int
    body: bytes


class HandedOver(NamedTuple):
    """Hands a job's queued tasks over to another hall's ledger."""

    job: int
    hall: str


class MovedTask(NamedTuple):
    """A task that another hall takes over, with its last attempt and its checkpoint."""

    index: int  # type: ignore[assignment]
    attempt: int
    checkpoint: str


class TakenOver(NamedTuple):
    """Takes over tasks that another hall's ledger has handed over.

    Attributes:
        origin: The other hall and the job's number in its ledger, as ``HALL/NUMBER``.
        spec: The job.
        tasks: The tasks that were handed over.
    """

    origin: str
    spec: JobSpec
    tasks: tuple[MovedTask, ...]


Decision: TypeAlias = (
    Placed
    | Ended
    | Submitted
    | WorkerSeen
    | Cancelled
    | Evicted
    | Recalled
    | Lapsed
    | Resized
    | Joined
    | Left
    | Expelled
    | SnapshotPart
    | HandedOver
    | TakenOver
)


@dataclass(frozen=True, slots=True)
class Record:
    """One append to the log: decisions of one writer, applied in order.

    Attributes:
        writer: Scheduler that appended the record.
        serial: Sequence number among the writer's records.
        read_offset: First offset that the writer had not read.
        decisions: The decisions.
    """

    writer: str
    serial: int
    read_offset: int
    decisions: tuple[Decision, ...]
