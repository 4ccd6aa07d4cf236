"""Jobs as callers submit them, and the ids of their tasks and attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from linkspan.model.resources import Resources


class Priority(IntEnum):
    """Priority classes, most important first.

    ``SERVICE`` and ``WATCHER`` tasks run until cancelled; the others end by themselves.
    """

    SERVICE = 0
    URGENT = 1
    WATCHER = 2
    BATCH = 3


class TaskId(NamedTuple):
    """Identifies a task within one hall's ledger by the job's ledger number and an index."""

    job: int
    index: int  # type: ignore[assignment]


class AttemptId(NamedTuple):
    """Identifies one attempt to run a task; attempts count from 1."""

    job: int
    index: int  # type: ignore[assignment]
    attempt: int

    @property
    def task(self) -> TaskId:
        """The task that the attempt runs."""
        return TaskId(self.job, self.index)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted: ``count`` identical tasks under an id that the caller chose.

    Attributes:
        job_id: The caller's id; submissions with the same id are one job.
        customer: Customer that the job belongs to.
        team: Team whose quota it counts against.
        kind: Kind of work; usage and interference are estimated per kind.
        count: Number of tasks.
        size: Declared resources of each task.
        priority: Priority class.
        repeatable: Whether a task may run again when its outcome is unknown.
        labels: Labels that selectors match.
        selector: Selector of the workers that may run the job.
        run_s: Declared duration in seconds, 0 when not declared.
    """

    job_id: str
    customer: str
    team: str
    kind: str
    count: int
    size: Resources
    priority: Priority = Priority.BATCH
    repeatable: bool = True
    labels: dict[str, str] = field(default_factory=dict, hash=False)
    selector: str = ""
    run_s: int = 0

    @property
    def restarts(self) -> bool:
        """Whether a task is started again after its end (services and watchers)."""
        return self.priority in (Priority.SERVICE, Priority.WATCHER)
