"""State of a job in the ledger, in three bytes per task."""

from __future__ import annotations

from array import array
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from linkspan.model.job import JobSpec
    from linkspan.model.resources import Resources


class TaskState(IntEnum):
    """State of a task; ``DONE`` and all higher values are final."""

    QUEUED = 0
    PLACED = 1
    RECALLED = 2
    DONE = 3
    FAILED = 4
    CANCELLED = 5
    LOST = 6
    MOVED = 7


class JobCounts(NamedTuple):
    """Number of a job's tasks by state.

    Attributes:
        queued: Tasks that wait for placement.
        running: Tasks that are placed or recalled.
        done: Tasks that succeeded.
        failed: Tasks that failed for good.
        cancelled: Cancelled tasks, including those in ``not_run``.
        not_run: Cancelled tasks that were never placed on a worker.
        lost: Tasks of a non-repeatable job whose end is unknown.
        moved: Tasks that belong to another hall's ledger.
    """

    queued: int
    running: int
    done: int
    failed: int
    cancelled: int
    not_run: int
    lost: int
    moved: int = 0


class JobEntry:
    """An unfinished job.

    Args:
        number: The job's number in this ledger.
        spec: The job as submitted.
    """

    __slots__ = (
        "attempts",
        "cancelled",
        "checkpoints",
        "failures",
        "number",
        "size",
        "spec",
        "states",
    )

    def __init__(self, number: int, spec: JobSpec) -> None:
        self.number = number
        self.spec = spec
        self.size: Resources = spec.size
        self.cancelled = False
        self.states = bytearray(spec.count)
        self.attempts = array("H", bytes(2 * spec.count))
        self.checkpoints: dict[int, str] = {}
        self.failures: dict[int, int] = {}

    def __repr__(self) -> str:
        return f"JobEntry({self.number}, {self.spec.job_id!r}, {self.counts()})"

    @property
    def is_over(self) -> bool:
        """Whether no task is queued, placed or recalled."""
        states = self.states
        return not any(states.count(s) for s in range(TaskState.DONE))

    @property
    def queued(self) -> int:
        """Number of queued tasks."""
        return self.states.count(TaskState.QUEUED)

    def next_queued(self, start: int = 0) -> int:
        """Return the index of the first queued task from ``start`` on, or -1."""
        return self.states.find(TaskState.QUEUED, start)

    def counts(self) -> JobCounts:
        """Return the number of tasks by state."""
        count = self.states.count
        not_run = sum(
            1
            for state, attempt in zip(self.states, self.attempts, strict=True)
            if state == TaskState.CANCELLED and attempt == 0
        )
        return JobCounts(
            queued=count(TaskState.QUEUED),
            running=count(TaskState.PLACED) + count(TaskState.RECALLED),
            done=count(TaskState.DONE),
            failed=count(TaskState.FAILED),
            cancelled=count(TaskState.CANCELLED),
            not_run=not_run,
            lost=count(TaskState.LOST),
            moved=count(TaskState.MOVED),
        )
