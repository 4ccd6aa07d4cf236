"""What the ledger holds of placements, workers, finished jobs and handovers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from linkspan.model.resources import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from linkspan.ledger.job_entry import JobCounts
    from linkspan.ledger.records import TakenOver
    from linkspan.model.job import JobSpec, TaskId
    from linkspan.model.worker import WorkerSpec


class ApplyResult(Enum):
    """Result of applying a decision to the ledger."""

    APPLIED = "applied"
    LATE = "landed too long after its writer read the log"
    DUPLICATE = "already so"
    CONFLICT = "the job id stands for another job"
    CANCELLED = "the job was cancelled before it arrived"
    UNKNOWN = "names a job or worker that the ledger does not know"
    WRONG_STATE = "the task is not in the state that the decision needs"
    NO_ROOM = "the worker has no room left"


class Placement(NamedTuple):
    """The placement of a task's current attempt.

    Attributes:
        worker: The worker's ledger number.
        size: Resources that the attempt reserves on the worker.
        offset: Offset of the record that placed it.
        recalled: Offset of the record that recalled it, or -1.
    """

    worker: int
    size: Resources
    offset: int
    recalled: int = -1


@dataclass(slots=True)
class WorkerEntry:
    """A worker in the ledger, with its tasks and their reserved resources."""

    number: int
    spec: WorkerSpec
    used: Resources = NO_RESOURCES
    tasks: set[TaskId] = field(default_factory=set)

    @property
    def room(self) -> Resources:
        """Resources that are not reserved."""
        return self.spec.size - self.used


class Finished(NamedTuple):
    """Specification and task counts of a finished job."""

    spec: JobSpec
    counts: JobCounts


class Handover(NamedTuple):
    """Tasks handed over to another hall, with the record that takes them over there."""

    hall: str
    taken: TakenOver
