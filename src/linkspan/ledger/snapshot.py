"""Snapshots of the ledger, and recovery of a ledger from them."""

from __future__ import annotations

import zlib
from array import array
from base64 import b64decode, b64encode
from typing import TYPE_CHECKING, Any

import orjson

from linkspan.errors import RecordError
from linkspan.ledger.codec import (
    job_from_json,
    job_to_json,
    taken_from_json,
    taken_to_json,
    worker_from_json,
    worker_to_json,
)
from linkspan.ledger.entries import Finished, Handover, Placement, WorkerEntry
from linkspan.ledger.job_entry import JobCounts, JobEntry
from linkspan.ledger.ledger import Ledger
from linkspan.ledger.records import Record, SnapshotPart
from linkspan.model.job import TaskId
from linkspan.model.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable

PART_BYTES = 128 * 1024
"""Size of the parts of a snapshot: half of the limit on a record, ``MAX_RECORD_BYTES``."""


def snapshot_parts(ledger: Ledger) -> list[SnapshotPart]:
    """Return the ledger's whole state in parts that each fit into a record."""
    body = zlib.compress(orjson.dumps(_state_to_json(ledger), default=list), level=6)
    parts = [body[start : start + PART_BYTES] for start in range(0, len(body), PART_BYTES)]
    as_of = ledger.next_offset
    return [SnapshotPart(as_of, index, len(parts), part) for index, part in enumerate(parts)]


def restore(hall: str, as_of: int, body: bytes) -> Ledger:
    """Return the ledger from the joined parts of a snapshot.

    Raises:
        RecordError: The parts are damaged.
    """
    try:
        return _state_from_json(hall, as_of, orjson.loads(zlib.decompress(body)))
    except (KeyError, TypeError, ValueError, zlib.error) as error:
        raise RecordError(f"invalid snapshot: {error!r}; a later one is needed") from error


class Recovery:
    """Recovers a ledger from a stream whose oldest records may have been dropped.

    :meth:`feed` must receive the records in log order. :attr:`ledger` is None
    until the state is known: at once when the log still has its first record, otherwise
    after a complete snapshot. Afterwards :meth:`feed` keeps the ledger up to date.

    Args:
        hall: The hall whose stream is read.
        first: First offset that the log still has.
    """

    def __init__(self, hall: str, first: int) -> None:
        self._hall = hall
        self._first = first
        self._parts: dict[tuple[str, int], dict[int, bytes]] = {}
        self._buffered: list[tuple[int, Record]] = []
        self.ledger: Ledger | None = Ledger(hall) if first == 0 else None

    def __repr__(self) -> str:
        return f"Recovery({self._hall!r}, first={self._first}, buffered={len(self._buffered)})"

    def feed(self, records: Iterable[tuple[int, Record]]) -> None:
        """Process records in log order."""
        for offset, record in records:
            if self.ledger is not None:
                self.ledger.apply(offset, record)
                continue
            self._buffered.append((offset, record))
            self._collect_snapshot_part(record)

    def _collect_snapshot_part(self, record: Record) -> None:
        for decision in record.decisions:
            if not isinstance(decision, SnapshotPart) or decision.as_of < self._first:
                continue
            parts = self._parts.setdefault((record.writer, decision.as_of), {})
            parts[decision.part] = decision.body
            if len(parts) == decision.parts:
                body = b"".join(parts[index] for index in range(decision.parts))
                self._restore(decision.as_of, body)

    def _restore(self, as_of: int, body: bytes) -> None:
        try:
            ledger = restore(self._hall, as_of, body)
        except RecordError:
            return
        for offset, record in self._buffered:
            ledger.apply(offset, record)
        self.ledger = ledger
        self._buffered.clear()
        self._parts.clear()


def _to_base64(body: bytes) -> str:
    return b64encode(body).decode()


def _state_to_json(ledger: Ledger) -> dict[str, Any]:
    return {
        "next_job": ledger.next_job,
        "jobs": [_job_to_row(entry) for entry in ledger.jobs.values()],
        "workers": [[w.number, worker_to_json(w.spec).decode()] for w in ledger.workers.values()],
        "placements": [[*task, *place] for task, place in ledger.placements.items()],
        "schedulers": ledger.schedulers,
        "expelled": ledger.expelled,
        "finished": [
            [job_to_json(finished.spec).decode(), list(finished.counts)]
            for finished in ledger.finished.values()
        ],
        "tombstones": list(ledger.tombstones.items()),
        "handed": [[h.hall, taken_to_json(h.taken).decode()] for h in ledger.handovers.values()],
        "taken": list(ledger.taken_over.items()),
    }


def _job_to_row(entry: JobEntry) -> list[Any]:
    return [
        entry.number,
        job_to_json(entry.spec).decode(),
        list(entry.size),
        entry.cancelled,
        _to_base64(bytes(entry.states)),
        _to_base64(entry.attempts.tobytes()),
        list(entry.checkpoints.items()),
        list(entry.failures.items()),
    ]


def _job_from_row(row: list[Any]) -> JobEntry:
    number, spec, size, cancelled, states, attempts, checkpoints, failures = row
    entry = JobEntry(number, job_from_json(spec.encode()))
    entry.size = Resources(*size)
    entry.cancelled = cancelled
    entry.states = bytearray(b64decode(states))
    entry.attempts = array("H", b64decode(attempts))
    entry.checkpoints = dict(checkpoints)
    entry.failures = dict(failures)
    return entry


def _state_from_json(hall: str, as_of: int, state: dict[str, Any]) -> Ledger:
    ledger = Ledger(hall)
    ledger.next_offset = as_of
    ledger.next_job = state["next_job"]
    for row in state["jobs"]:
        entry = _job_from_row(row)
        ledger.jobs[entry.number] = entry
        ledger.job_numbers[entry.spec.job_id] = entry.number
    for number, spec in state["workers"]:
        worker_entry = WorkerEntry(number, worker_from_json(spec.encode()))
        ledger.workers[number] = worker_entry
        ledger.worker_numbers[worker_entry.spec.name] = number
    for job, index, worker, size, offset, recalled in state["placements"]:
        _restore_placement(
            ledger, TaskId(job, index), Placement(worker, Resources(*size), offset, recalled)
        )
    ledger.schedulers = state["schedulers"]
    ledger.expelled = state["expelled"]
    for spec, counts in state["finished"]:
        job = job_from_json(spec.encode())
        ledger.finished[job.job_id] = Finished(job, JobCounts(*counts))
    ledger.tombstones.update(state["tombstones"])
    for target_hall, body in state["handed"]:
        taken = taken_from_json(body.encode())
        ledger.handovers[taken.origin] = Handover(target_hall, taken)
    ledger.taken_over.update(state["taken"])
    return ledger


def _restore_placement(ledger: Ledger, task: TaskId, placement: Placement) -> None:
    ledger.placements[task] = placement
    if placement.recalled >= 0:
        ledger.recalled.add(task)
    worker_entry = ledger.workers[placement.worker]
    worker_entry.used += placement.size
    worker_entry.tasks.add(task)
