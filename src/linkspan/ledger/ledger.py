"""The ledger: the state that a hall's records lead to, identical on every host."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any

from linkspan.ledger.entries import ApplyResult, Finished, Handover, Placement, WorkerEntry
from linkspan.ledger.job_entry import JobEntry, TaskState
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

if TYPE_CHECKING:
    from linkspan.ledger.job_entry import JobCounts
    from linkspan.model.job import JobSpec
    from linkspan.model.resources import Resources
    from linkspan.model.worker import WorkerSpec

MAX_READ_LAG_OFFSETS = 20_000
"""Maximum distance between a record's offset and the offset up to which its writer had read.

The ledger ignores records that arrive later than that."""

MAX_FAILURES = 3
"""Failures after which a task is not retried."""

MAX_ATTEMPTS = 60_000
"""Limit on the attempts of a task; below the 65,535 that the two-byte counter can hold."""

MAX_HANDOVERS = 2_048
"""Limit on the handovers that the ledger keeps, in each direction."""

MAX_FINISHED_JOBS = 8_192
"""Limit on the finished jobs whose specification and counts the ledger keeps."""


def _drop_oldest(entries: OrderedDict[str, Any], count: int) -> None:
    while len(entries) > count:
        entries.popitem(last=False)


class Ledger:
    """State of one hall's jobs, workers and schedulers after a prefix of its log.

    Only :meth:`apply` changes the state, with records in log order. Applying reads
    no clock and uses no randomness, so that every host reaches the same state.

    Args:
        hall: The hall whose stream is applied.
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
        self.handovers: OrderedDict[str, Handover] = OrderedDict()
        self.taken_over: OrderedDict[str, str] = OrderedDict()
        self._last_finished = (0, "")

    def __repr__(self) -> str:
        return (
            f"Ledger({self.hall!r}, next_offset={self.next_offset}, jobs={len(self.jobs)}, "
            f"placements={len(self.placements)}, workers={len(self.workers)})"
        )

    def attempt_of(self, task: TaskId) -> AttemptId:
        """Return the task's latest attempt; attempt 0 means that it was never placed."""
        return AttemptId(*task, self.jobs[task.job].attempts[task.index])

    def apply(self, offset: int, record: Record) -> list[ApplyResult]:
        """Apply the record at ``offset`` and return one result per decision.

        Args:
            offset: The record's offset in the stream. Records must be in log order;
                a record that was applied before has no effect.
            record: The record.
        """
        if offset < self.next_offset:
            return [ApplyResult.DUPLICATE] * len(record.decisions)
        self.next_offset = offset + 1
        self._drop_old_tombstones()
        if offset - record.read_offset > MAX_READ_LAG_OFFSETS:
            return [ApplyResult.LATE] * len(record.decisions)
        return [self._apply_decision(offset, decision) for decision in record.decisions]

    def skip(self, offset: int) -> None:
        """Advance past an offset whose record cannot be decoded."""
        self.next_offset = max(self.next_offset, offset + 1)

    def _apply_decision(self, offset: int, decision: Decision) -> ApplyResult:
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
                return self._expire_lease(attempt)
            case Submitted(spec):
                return self._submit(spec)
            case Cancelled(job_id):
                return self._cancel(offset, job_id)
            case WorkerSeen(spec):
                return self._update_worker(spec)
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
        """Return the specification of the unfinished or kept finished job with this id."""
        number = self.job_numbers.get(job_id)
        if number is not None:
            return self.jobs[number].spec
        finished = self.finished.get(job_id)
        return finished.spec if finished else None

    def last_finished(self, number: int) -> str:
        """Return the id of the job that finished last if ``number`` is its number, else ""."""
        return self._last_finished[1] if self._last_finished[0] == number else ""

    def counts_of(self, job_id: str) -> JobCounts | None:
        """Return the task counts of the job with this id, or None for an unknown job."""
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
        """Hand the job's queued tasks over to another hall, at most once per job."""
        entry = self.jobs.get(job)
        if entry is None:
            return ApplyResult.UNKNOWN
        origin = f"{self.hall}/{job}"
        if origin in self.handovers or not entry.queued or hall == self.hall:
            return ApplyResult.WRONG_STATE
        tasks = []
        for index, state in enumerate(entry.states):
            if state == TaskState.QUEUED:
                entry.states[index] = TaskState.MOVED
                checkpoint = entry.checkpoints.pop(index, "")
                tasks.append(MovedTask(index, entry.attempts[index], checkpoint))
        self.handovers[origin] = Handover(hall, TakenOver(origin, entry.spec, tuple(tasks)))
        _drop_oldest(self.handovers, MAX_HANDOVERS)
        self._finish_if_over(entry)
        return ApplyResult.APPLIED

    def _take_over(self, taken: TakenOver) -> ApplyResult:
        """Queue the tasks that another hall's ledger handed over to this hall."""
        spec = taken.spec
        if taken.origin in self.taken_over or self.spec_of(spec.job_id) is not None:
            return ApplyResult.DUPLICATE
        self.taken_over[taken.origin] = spec.job_id
        _drop_oldest(self.taken_over, MAX_HANDOVERS)
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
        entry, worker_entry = self.jobs.get(attempt.job), self.workers.get(worker)
        if entry is None or worker_entry is None or attempt.index >= entry.spec.count:
            return ApplyResult.UNKNOWN
        index = attempt.index
        queued = entry.states[index] == TaskState.QUEUED
        if not queued or attempt.attempt != entry.attempts[index] + 1:
            return ApplyResult.WRONG_STATE
        if not entry.size.fits_within(worker_entry.room):
            return ApplyResult.NO_ROOM
        entry.states[index] = TaskState.PLACED
        entry.attempts[index] = attempt.attempt
        worker_entry.used += entry.size
        worker_entry.tasks.add(attempt.task)
        self.placements[attempt.task] = Placement(worker, entry.size, offset)
        return ApplyResult.APPLIED

    def _live_entry(self, attempt: AttemptId) -> JobEntry | None:
        """Return the job's entry if this attempt is the current one and placed or recalled."""
        entry = self.jobs.get(attempt.job)
        if entry is None or attempt.task not in self.placements:
            return None
        return entry if entry.attempts[attempt.index] == attempt.attempt else None

    def _recall(self, offset: int, attempt: AttemptId) -> ApplyResult:
        entry = self._live_entry(attempt)
        if entry is None or entry.states[attempt.index] != TaskState.PLACED:
            return ApplyResult.WRONG_STATE
        entry.states[attempt.index] = TaskState.RECALLED
        self.recalled.add(attempt.task)
        placement = self.placements[attempt.task]
        self.placements[attempt.task] = placement._replace(recalled=offset)
        return ApplyResult.APPLIED

    def _end(self, attempt: AttemptId, outcome: Outcome) -> ApplyResult:
        entry = self._live_entry(attempt)
        if entry is None:
            return ApplyResult.WRONG_STATE
        if outcome is Outcome.SUCCEEDED:
            restarts = entry.spec.restarts and not entry.cancelled
            self._release(entry, attempt, TaskState.QUEUED if restarts else TaskState.DONE)
            return ApplyResult.APPLIED
        failures = entry.failures.get(attempt.index, 0) + 1
        entry.failures[attempt.index] = failures
        may_retry = entry.spec.repeatable and (entry.spec.restarts or failures < MAX_FAILURES)
        self._release(entry, attempt, TaskState.QUEUED if may_retry else TaskState.FAILED)
        return ApplyResult.APPLIED

    def _evict(self, attempt: AttemptId, checkpoint: str, started: bool) -> ApplyResult:
        entry = self._live_entry(attempt)
        if entry is None:
            return ApplyResult.WRONG_STATE
        resumable = entry.spec.repeatable or bool(checkpoint) or not started
        if checkpoint:
            entry.checkpoints[attempt.index] = checkpoint
        self._release(entry, attempt, TaskState.QUEUED if resumable else TaskState.LOST)
        return ApplyResult.APPLIED

    def _expire_lease(self, attempt: AttemptId) -> ApplyResult:
        entry = self._live_entry(attempt)
        if entry is None or entry.states[attempt.index] != TaskState.RECALLED:
            return ApplyResult.WRONG_STATE
        self._release_unproven(entry, attempt)
        return ApplyResult.APPLIED

    def _release_unproven(self, entry: JobEntry, attempt: AttemptId) -> None:
        """End an attempt that has certainly stopped, with an unknown outcome."""
        state = TaskState.QUEUED if entry.spec.repeatable else TaskState.LOST
        self._release(entry, attempt, state)

    def _release(self, entry: JobEntry, attempt: AttemptId, state: TaskState) -> None:
        placement = self.placements.pop(attempt.task)
        self.recalled.discard(attempt.task)
        worker_entry = self.workers[placement.worker]
        worker_entry.used -= placement.size
        worker_entry.tasks.discard(attempt.task)
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
        if len(self.finished) > MAX_FINISHED_JOBS:
            self.finished.popitem(last=False)

    def _update_worker(self, spec: WorkerSpec) -> ApplyResult:
        number = self.worker_numbers.get(spec.name)
        if number is None:
            number = len(self.worker_numbers) + 1
            self.worker_numbers[spec.name] = number
            self.workers[number] = WorkerEntry(number, spec)
            return ApplyResult.APPLIED
        worker_entry = self.workers[number]
        if spec == worker_entry.spec:
            return ApplyResult.DUPLICATE
        if spec.incarnation < worker_entry.spec.incarnation:
            return ApplyResult.WRONG_STATE
        restarted = spec.incarnation > worker_entry.spec.incarnation
        worker_entry.spec = spec
        if restarted:
            for task in sorted(worker_entry.tasks):
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

    def _drop_old_tombstones(self) -> None:
        oldest = self.next_offset - MAX_READ_LAG_OFFSETS - 1
        while self.tombstones and next(iter(self.tombstones.values())) < oldest:
            self.tombstones.popitem(last=False)
