"""The fold: what the hall's records add up to, the same on every host."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

from linkspan.ledger.job_entry import JobCounts, JobEntry, TaskState
from linkspan.ledger.records import (
    Cancelled,
    Decision,
    Ended,
    Evicted,
    Expelled,
    HandedOver,
    Joined,
    Lapsed,
    Left,
    MovedTask,
    Outcome,
    Placed,
    Recalled,
    Record,
    Resized,
    SnapshotPart,
    Submitted,
    TakenOver,
    WorkerSeen,
)
from linkspan.model.job import AttemptId, TaskId
from linkspan.model.resources import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from linkspan.model.job import JobSpec
    from linkspan.model.worker import WorkerSpec

WINDOW = 20_000
"""A record that lands this many offsets after its writer's reading is ignored."""

MAX_FAILURES = 3
"""A task that failed this often is not tried again."""

MAX_ATTEMPTS = 60_000
"""Attempts of one task that its two-byte count can tell apart, with room."""

HANDOVERS_KEPT = 2_048
"""Handovers, in each direction, that are remembered."""

FINISHED_KEPT = 8_192
"""Finished jobs whose ids and counts are remembered."""


class ApplyResult(Enum):
    """What the fold made of a decision."""

    APPLIED = "applied"
    LATE = "landed too long after its writer read the log"
    DUPLICATE = "already so"
    CONFLICT = "the job id stands for another job"
    CANCELLED = "the job was cancelled before it arrived"
    UNKNOWN = "names a job or worker that the ledger does not know"
    WRONG_STATE = "the task is not in the state that the decision needs"
    NO_ROOM = "the worker has no room left"


class Placement(NamedTuple):
    """Where a task's present attempt was placed.

    Attributes:
        worker: The worker's ledger number.
        size: What it reserves there.
        offset: Offset of the record that placed it.
        recalled: Offset of the record that recalled it, -1 when none did.
    """

    worker: int
    size: Resources
    offset: int
    recalled: int = -1


@dataclass(slots=True)
class WorkerEntry:
    """A worker's account in the ledger."""

    number: int
    spec: WorkerSpec
    used: Resources = NO_RESOURCES
    tasks: set[TaskId] = field(default_factory=set)

    @property
    def room(self) -> Resources:
        """What may still be placed on it."""
        return self.spec.size - self.used


class Finished(NamedTuple):
    """What is remembered of a finished job."""

    spec: JobSpec
    counts: JobCounts


class Handover(NamedTuple):
    """Tasks that were given to another hall, as that hall is to take them up."""

    hall: str
    taken: TakenOver


def _keep_last(entries: OrderedDict[str, Any], count: int) -> None:
    while len(entries) > count:
        entries.popitem(last=False)


class Ledger:
    """State of one hall's jobs and workers, as the records up to now tell it.

    The only way to change it is :meth:`apply`, in the log's order. It reads no
    clock and draws nothing at random, so every host reaches the same state.

    Args:
        hall: The hall whose stream this folds.
    """

    def __init__(self, hall: str) -> None:
        self.hall = hall
        self.next_offset = 0
        self.next_job = 1
        self.jobs: dict[int, JobEntry] = {}
        self.job_numbers: dict[str, int] = {}
        self.workers: dict[int, WorkerEntry] = {}
        self.worker_numbers: dict[str, int] = {}
        self.placements: dict[TaskId, Placement] = {}
        self.recalled: set[TaskId] = set()
        self.schedulers: dict[str, int] = {}
        self.expelled: dict[str, int] = {}
        self.finished: OrderedDict[str, Finished] = OrderedDict()
        self.tombstones: OrderedDict[str, int] = OrderedDict()
        self.handed: OrderedDict[str, Handover] = OrderedDict()
        self.taken: OrderedDict[str, str] = OrderedDict()
        self._last_finished = (0, "")

    def __repr__(self) -> str:
        return (
            f"Ledger({self.hall!r}, next_offset={self.next_offset}, jobs={len(self.jobs)}, "
            f"placements={len(self.placements)}, workers={len(self.workers)})"
        )

    def attempt_of(self, task: TaskId) -> AttemptId:
        """Return the task's latest attempt; attempt 0 was never placed."""
        return AttemptId(*task, self.jobs[task.job].attempts[task.index])

    def apply(self, offset: int, record: Record) -> list[ApplyResult]:
        """Fold in the record at ``offset`` and return a verdict a decision.

        Args:
            offset: The record's place in the stream; records come in order,
                and one that was folded in before is left out.
            record: The record.
        """
        if offset < self.next_offset:
            return [ApplyResult.DUPLICATE] * len(record.decisions)
        self.next_offset = offset + 1
        self._forget_tombstones()
        if offset - record.read_offset > WINDOW:
            return [ApplyResult.LATE] * len(record.decisions)
        return [self._decide(offset, decision) for decision in record.decisions]

    def skip(self, offset: int) -> None:
        """Pass over an offset that holds no readable record."""
        self.next_offset = max(self.next_offset, offset + 1)

    def _decide(self, offset: int, decision: Decision) -> ApplyResult:
        match decision:
            case Placed(attempt, worker):
                return self._place(offset, attempt, worker)
            case Ended(attempt, outcome):
                return self._end(attempt, outcome)
            case Evicted(attempt, checkpoint, started):
                return self._evict(attempt, checkpoint, started)
            case Recalled(attempt):
                return self._recall(offset, attempt)
            case Lapsed(attempt):
                return self._lapse(attempt)
            case Submitted(spec):
                return self._submit(spec)
            case Cancelled(job_id):
                return self._cancel(offset, job_id)
            case WorkerSeen(spec):
                return self._see_worker(spec)
            case Resized(job, size):
                return self._resize(job, size)
            case Joined(scheduler):
                return self._join(offset, scheduler)
            case Left(scheduler):
                return self._leave(scheduler)
            case Expelled(scheduler):
                return self._expel(offset, scheduler)
            case HandedOver(job, hall):
                return self._hand_over(job, hall)
            case TakenOver():
                return self._take_over(decision)
            case SnapshotPart():
                return ApplyResult.APPLIED

    def _submit(self, spec: JobSpec) -> ApplyResult:
        if spec.job_id in self.tombstones:
            return ApplyResult.CANCELLED
        known = self.spec_of(spec.job_id)
        if known is not None:
            return ApplyResult.DUPLICATE if known == spec else ApplyResult.CONFLICT
        entry = JobEntry(self.next_job, spec)
        self.jobs[entry.number] = entry
        self.job_numbers[spec.job_id] = entry.number
        self.next_job += 1
        return ApplyResult.APPLIED

    def spec_of(self, job_id: str) -> JobSpec | None:
        """Return the job under way or remembered under this id."""
        number = self.job_numbers.get(job_id)
        if number is not None:
            return self.jobs[number].spec
        finished = self.finished.get(job_id)
        return finished.spec if finished else None

    def last_finished(self, number: int) -> str:
        """Return the id of the job finished last, if this was its number."""
        return self._last_finished[1] if self._last_finished[0] == number else ""

    def counts_of(self, job_id: str) -> JobCounts | None:
        """Return where the tasks of the job under this id stand."""
        number = self.job_numbers.get(job_id)
        if number is not None:
            return self.jobs[number].counts()
        finished = self.finished.get(job_id)
        return finished.counts if finished else None

    def _cancel(self, offset: int, job_id: str) -> ApplyResult:
        if job_id in self.finished:
            return ApplyResult.DUPLICATE
        number = self.job_numbers.get(job_id)
        if number is None:
            self.tombstones[job_id] = offset
            self.tombstones.move_to_end(job_id)
            return ApplyResult.APPLIED
        entry = self.jobs[number]
        if entry.cancelled:
            return ApplyResult.DUPLICATE
        entry.cancelled = True
        table = bytes.maketrans(bytes([TaskState.QUEUED]), bytes([TaskState.CANCELLED]))
        entry.states = entry.states.translate(table)
        self._finish_if_over(entry)
        return ApplyResult.APPLIED

    def _hand_over(self, job: int, hall: str) -> ApplyResult:
        """Give the job's queued tasks to another hall, once for each job."""
        entry = self.jobs.get(job)
        if entry is None:
            return ApplyResult.UNKNOWN
        origin = f"{self.hall}/{job}"
        if origin in self.handed or not entry.queued or hall == self.hall:
            return ApplyResult.WRONG_STATE
        tasks = []
        for index, state in enumerate(entry.states):
            if state == TaskState.QUEUED:
                entry.states[index] = TaskState.MOVED
                checkpoint = entry.checkpoints.pop(index, "")
                tasks.append(MovedTask(index, entry.attempts[index], checkpoint))
        self.handed[origin] = Handover(hall, TakenOver(origin, entry.spec, tuple(tasks)))
        _keep_last(self.handed, HANDOVERS_KEPT)
        self._finish_if_over(entry)
        return ApplyResult.APPLIED

    def _take_over(self, taken: TakenOver) -> ApplyResult:
        """Take up tasks that another hall's ledger has handed to this one."""
        spec = taken.spec
        if taken.origin in self.taken or self.spec_of(spec.job_id) is not None:
            return ApplyResult.DUPLICATE
        self.taken[taken.origin] = spec.job_id
        _keep_last(self.taken, HANDOVERS_KEPT)
        entry = JobEntry(self.next_job, spec)
        entry.states = bytearray([TaskState.MOVED]) * spec.count
        for index, attempt, checkpoint in taken.tasks:
            entry.states[index] = TaskState.QUEUED
            entry.attempts[index] = attempt
            if checkpoint:
                entry.checkpoints[index] = checkpoint
        self.jobs[entry.number] = entry
        self.job_numbers[spec.job_id] = entry.number
        self.next_job += 1
        if spec.job_id in self.tombstones:
            self._cancel(self.next_offset, spec.job_id)
        return ApplyResult.APPLIED

    def _place(self, offset: int, attempt: AttemptId, worker: int) -> ApplyResult:
        entry, account = self.jobs.get(attempt.job), self.workers.get(worker)
        if entry is None or account is None or attempt.index >= entry.spec.count:
            return ApplyResult.UNKNOWN
        index = attempt.index
        queued = entry.states[index] == TaskState.QUEUED
        if not queued or attempt.attempt != entry.attempts[index] + 1:
            return ApplyResult.WRONG_STATE
        if not entry.size.fits_within(account.room):
            return ApplyResult.NO_ROOM
        entry.states[index] = TaskState.PLACED
        entry.attempts[index] = attempt.attempt
        account.used += entry.size
        account.tasks.add(attempt.task)
        self.placements[attempt.task] = Placement(worker, entry.size, offset)
        return ApplyResult.APPLIED

    def _live(self, attempt: AttemptId) -> JobEntry | None:
        """Return the job if exactly this attempt is placed or recalled."""
        entry = self.jobs.get(attempt.job)
        if entry is None or attempt.task not in self.placements:
            return None
        return entry if entry.attempts[attempt.index] == attempt.attempt else None

    def _recall(self, offset: int, attempt: AttemptId) -> ApplyResult:
        entry = self._live(attempt)
        if entry is None or entry.states[attempt.index] != TaskState.PLACED:
            return ApplyResult.WRONG_STATE
        entry.states[attempt.index] = TaskState.RECALLED
        self.recalled.add(attempt.task)
        placement = self.placements[attempt.task]
        self.placements[attempt.task] = placement._replace(recalled=offset)
        return ApplyResult.APPLIED

    def _end(self, attempt: AttemptId, outcome: Outcome) -> ApplyResult:
        entry = self._live(attempt)
        if entry is None:
            return ApplyResult.WRONG_STATE
        if outcome is Outcome.SUCCEEDED:
            restarts = entry.spec.restarts and not entry.cancelled
            self._release(entry, attempt, TaskState.QUEUED if restarts else TaskState.DONE)
            return ApplyResult.APPLIED
        failures = entry.failures.get(attempt.index, 0) + 1
        entry.failures[attempt.index] = failures
        again = entry.spec.repeatable and (entry.spec.restarts or failures < MAX_FAILURES)
        self._release(entry, attempt, TaskState.QUEUED if again else TaskState.FAILED)
        return ApplyResult.APPLIED

    def _evict(self, attempt: AttemptId, checkpoint: str, started: bool) -> ApplyResult:
        entry = self._live(attempt)
        if entry is None:
            return ApplyResult.WRONG_STATE
        resumable = entry.spec.repeatable or bool(checkpoint) or not started
        if checkpoint:
            entry.checkpoints[attempt.index] = checkpoint
        self._release(entry, attempt, TaskState.QUEUED if resumable else TaskState.LOST)
        return ApplyResult.APPLIED

    def _lapse(self, attempt: AttemptId) -> ApplyResult:
        entry = self._live(attempt)
        if entry is None or entry.states[attempt.index] != TaskState.RECALLED:
            return ApplyResult.WRONG_STATE
        self._release_unproven(entry, attempt)
        return ApplyResult.APPLIED

    def _release_unproven(self, entry: JobEntry, attempt: AttemptId) -> None:
        """End an attempt that surely stopped, but of which no more is known."""
        state = TaskState.QUEUED if entry.spec.repeatable else TaskState.LOST
        self._release(entry, attempt, state)

    def _release(self, entry: JobEntry, attempt: AttemptId, state: TaskState) -> None:
        placement = self.placements.pop(attempt.task)
        self.recalled.discard(attempt.task)
        account = self.workers[placement.worker]
        account.used -= placement.size
        account.tasks.discard(attempt.task)
        if state is TaskState.QUEUED and attempt.attempt >= MAX_ATTEMPTS:
            state = TaskState.FAILED
        if state is TaskState.QUEUED and entry.cancelled:
            state = TaskState.CANCELLED
        entry.states[attempt.index] = state
        if state is not TaskState.QUEUED:
            entry.checkpoints.pop(attempt.index, None)
            self._finish_if_over(entry)

    def _finish_if_over(self, entry: JobEntry) -> None:
        if not entry.is_over:
            return
        self._last_finished = (entry.number, entry.spec.job_id)
        del self.jobs[entry.number]
        del self.job_numbers[entry.spec.job_id]
        self.finished[entry.spec.job_id] = Finished(entry.spec, entry.counts())
        if len(self.finished) > FINISHED_KEPT:
            self.finished.popitem(last=False)

    def _see_worker(self, spec: WorkerSpec) -> ApplyResult:
        number = self.worker_numbers.get(spec.name)
        if number is None:
            number = len(self.worker_numbers) + 1
            self.worker_numbers[spec.name] = number
            self.workers[number] = WorkerEntry(number, spec)
            return ApplyResult.APPLIED
        account = self.workers[number]
        if spec == account.spec:
            return ApplyResult.DUPLICATE
        if spec.incarnation < account.spec.incarnation:
            return ApplyResult.WRONG_STATE
        restarted = spec.incarnation > account.spec.incarnation
        account.spec = spec
        if restarted:
            for task in sorted(account.tasks):
                self._release_unproven(self.jobs[task.job], self.attempt_of(task))
        return ApplyResult.APPLIED

    def _resize(self, job: int, size: Resources) -> ApplyResult:
        entry = self.jobs.get(job)
        if entry is None:
            return ApplyResult.UNKNOWN
        if entry.size == size:
            return ApplyResult.DUPLICATE
        entry.size = size
        return ApplyResult.APPLIED

    def _join(self, offset: int, scheduler: str) -> ApplyResult:
        if scheduler in self.schedulers or scheduler in self.expelled:
            return ApplyResult.DUPLICATE
        self.schedulers[scheduler] = offset
        return ApplyResult.APPLIED

    def _leave(self, scheduler: str) -> ApplyResult:
        joined = self.schedulers.pop(scheduler, None)
        expelled = self.expelled.pop(scheduler, None)
        return ApplyResult.DUPLICATE if joined is expelled is None else ApplyResult.APPLIED

    def _expel(self, offset: int, scheduler: str) -> ApplyResult:
        if self.schedulers.pop(scheduler, None) is None:
            return ApplyResult.DUPLICATE
        self.expelled[scheduler] = offset
        return ApplyResult.APPLIED

    def _forget_tombstones(self) -> None:
        horizon = self.next_offset - WINDOW - 1
        while self.tombstones and next(iter(self.tombstones.values())) < horizon:
            self.tombstones.popitem(last=False)
