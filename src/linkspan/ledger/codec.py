"""Encoding of ledger records as packed Cap'n Proto, with numbers instead of names."""

from __future__ import annotations

from typing import Any

import orjson

from linkspan._capnp_schema import load_schema
from linkspan.errors import RecordError
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
from linkspan.model.job import AttemptId, JobSpec, Priority
from linkspan.model.resources import Resources
from linkspan.model.worker import WorkerSpec

MAX_RECORD_BYTES = 256 * 1024
"""Limit on the encoded size of a record, for writing and reading."""


def _schema() -> Any:
    return load_schema(__file__, "ledger.capnp")


def job_to_json(spec: JobSpec) -> bytes:
    """Return the job as JSON; equal jobs give equal bytes."""
    return orjson.dumps(spec, default=list, option=orjson.OPT_SORT_KEYS)


def job_from_json(body: bytes) -> JobSpec:
    """Return the job from JSON that :func:`job_to_json` produced."""
    fields = orjson.loads(body)
    fields["size"] = Resources(*fields["size"])
    fields["priority"] = Priority(fields["priority"])
    return JobSpec(**fields)


def worker_to_json(spec: WorkerSpec) -> bytes:
    """Return the worker as JSON."""
    return orjson.dumps(spec, default=list, option=orjson.OPT_SORT_KEYS)


def worker_from_json(body: bytes) -> WorkerSpec:
    """Return the worker from JSON that :func:`worker_to_json` produced."""
    fields = orjson.loads(body)
    fields["size"] = Resources(*fields["size"])
    return WorkerSpec(**fields)


def taken_to_json(taken: TakenOver) -> bytes:
    """Return the takeover as JSON."""
    return orjson.dumps([taken.origin, job_to_json(taken.spec).decode(), taken.tasks], default=list)


def taken_from_json(body: bytes) -> TakenOver:
    """Return the takeover from JSON that :func:`taken_to_json` produced."""
    origin, spec, tasks = orjson.loads(body)
    return TakenOver(
        origin, job_from_json(spec.encode()), tuple(MovedTask(*task) for task in tasks)
    )


def encode(record: Record) -> bytes:
    """Encode a record.

    Placements and ends have separate lists, which reduces each of them to about
    ten bytes; nearly all decisions are of these two kinds. A decoded record
    therefore lists the other decisions first, then ends, then placements.
    :func:`ordered` returns that order.

    Raises:
        RecordError: The record is larger than ``MAX_RECORD_BYTES``.
    """
    message = _schema().Record.new_message()
    message.writer = record.writer
    message.serial = record.serial
    message.readOffset = record.read_offset
    _write_placed(message, [d for d in record.decisions if isinstance(d, Placed)])
    _write_ended(message, [d for d in record.decisions if isinstance(d, Ended)])
    others = [d for d in record.decisions if not isinstance(d, (Placed, Ended))]
    target = message.init("decisions", len(others))
    for slot, decision in zip(target, others, strict=True):
        _write_decision(slot, decision)
    body: bytes = message.to_bytes_packed()
    if len(body) > MAX_RECORD_BYTES:
        raise RecordError(f"record of {len(body)} bytes: split it below {MAX_RECORD_BYTES}")
    return body


def size_bound(decision: Decision) -> int:
    """Return an upper bound on the bytes that a decision adds to an encoded record."""
    match decision:
        case Placed() | Ended():
            return 24
        case Submitted(spec):
            return 64 + 2 * len(job_to_json(spec))
        case WorkerSeen(spec):
            return 64 + 2 * len(worker_to_json(spec))
        case Cancelled(text) | Joined(text) | Left(text) | Expelled(text):
            return 64 + 2 * len(text.encode())
        case Evicted(_, checkpoint, _):
            return 96 + 2 * len(checkpoint.encode())
        case HandedOver(_, hall):
            return 96 + 2 * len(hall.encode())
        case TakenOver():
            return 64 + 2 * len(taken_to_json(decision))
        case SnapshotPart(body=body):
            return 96 + 2 * len(body)
        case _:
            return 96


def ordered(decisions: tuple[Decision, ...]) -> tuple[Decision, ...]:
    """Return the decisions in the order in which a decoded record lists them."""
    others = tuple(d for d in decisions if not isinstance(d, (Placed, Ended)))
    ended = tuple(d for d in decisions if isinstance(d, Ended))
    placed = tuple(d for d in decisions if isinstance(d, Placed))
    return others + ended + placed


def decode(body: bytes) -> Record:
    """Decode a record.

    Raises:
        RecordError: The bytes are not a valid record.
    """
    if len(body) > MAX_RECORD_BYTES:
        raise RecordError(f"record of {len(body)} bytes is over the limit of {MAX_RECORD_BYTES}")
    try:
        return _read(_schema().Record.from_bytes_packed(body))
    except Exception as error:  # pycapnp, orjson and the record constructors raise different types
        raise RecordError(f"invalid ledger record: {error}") from error


def _write_placed(message: Any, placed: list[Placed]) -> None:
    for slot, decision in zip(message.init("placed", len(placed)), placed, strict=True):
        slot.job, slot.index, slot.attempt = decision.attempt
        slot.worker = decision.worker


def _write_ended(message: Any, ended: list[Ended]) -> None:
    for slot, decision in zip(message.init("ended", len(ended)), ended, strict=True):
        slot.job, slot.index, slot.attempt = decision.attempt
        slot.outcome = int(decision.outcome)


def _write_attempt(slot: Any, attempt: AttemptId) -> None:
    slot.job, slot.index, slot.attempt = attempt


def _write_decision(slot: Any, decision: Decision) -> None:
    match decision:
        case Submitted(spec):
            slot.submitted = job_to_json(spec)
        case WorkerSeen(spec):
            slot.worker = worker_to_json(spec)
        case Cancelled(job_id):
            slot.cancelled = job_id
        case Evicted(attempt, checkpoint, started):
            target = slot.init("evicted")
            _write_attempt(target.init("attempt"), attempt)
            target.checkpoint = checkpoint
            target.started = started
        case Recalled(attempt):
            _write_attempt(slot.init("recalled"), attempt)
        case Lapsed(attempt):
            _write_attempt(slot.init("lapsed"), attempt)
        case Resized(job, size):
            target = slot.init("resized")
            target.job = job
            target.milliCpu, target.memoryMb, target.accelerators = size
        case Joined(scheduler):
            slot.joined = scheduler
        case Left(scheduler):
            slot.left = scheduler
        case Expelled(scheduler):
            slot.expelled = scheduler
        case HandedOver(job, hall):
            target = slot.init("handedOver")
            target.job, target.hall = job, hall
        case TakenOver():
            slot.takenOver = taken_to_json(decision)
        case SnapshotPart(as_of, part, parts, body):
            target = slot.init("snapshot")
            target.asOf, target.part, target.parts, target.body = as_of, part, parts, body
        case _:
            raise RecordError(f"no encoding for decision {decision!r}")


def _read(message: Any) -> Record:
    decisions: list[Decision] = [_read_decision(d) for d in message.decisions]
    decisions += [Ended(_attempt(d), Outcome(d.outcome)) for d in message.ended]
    decisions += [Placed(_attempt(d), d.worker) for d in message.placed]
    return Record(message.writer, message.serial, message.readOffset, tuple(decisions))


def _attempt(message: Any) -> AttemptId:
    return AttemptId(message.job, message.index, message.attempt)


def _read_decision(message: Any) -> Decision:
    match str(message.which()):
        case "submitted":
            return Submitted(job_from_json(message.submitted))
        case "worker":
            return WorkerSeen(worker_from_json(message.worker))
        case "cancelled":
            return Cancelled(message.cancelled)
        case "evicted":
            body = message.evicted
            return Evicted(_attempt(body.attempt), body.checkpoint, body.started)
        case "recalled":
            return Recalled(_attempt(message.recalled))
        case "lapsed":
            return Lapsed(_attempt(message.lapsed))
        case "resized":
            body = message.resized
            size = Resources(body.milliCpu, body.memoryMb, body.accelerators)
            return Resized(body.job, size)
        case "joined":
            return Joined(message.joined)
        case "left":
            return Left(message.left)
        case "handedOver":
            return HandedOver(message.handedOver.job, message.handedOver.hall)
        case "takenOver":
            return taken_from_json(message.takenOver)
        case "expelled":
            return Expelled(message.expelled)
        case "snapshot":
            body = message.snapshot
            return SnapshotPart(body.asOf, body.part, body.parts, bytes(body.body))
        case other:
            raise RecordError(f"unknown decision {other!r}")
