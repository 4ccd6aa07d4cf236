"""Encodes and decodes progress records, one per repetition of a job, and the executor roster."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import orjson

from linkspan._typed import parse_int, parse_list, parse_text
from linkspan.errors import RecordError
from linkspan.jobs.spec import Demand
from linkspan.shard.done_repetitions import DoneRepetitions
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.messages import ExecutorRecord
from linkspan.shard.recovery._task_row import (
    incarnation_fields,
    incarnation_name,
    restore_task,
    step_rows,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.job_run import JobRun
    from linkspan.shard.shard_job import ShardJob

ROSTER_KEY = b"roster"
"""Key of the record that lists all executors that may run something."""


DONE_SUFFIX = "done"
"""What the key of the record of a job's done repetitions has in place of a number."""


class RunKey(NamedTuple):
    """Key of a repetition's progress record."""

    job_id: str
    repetition: int

    def encode(self) -> bytes:
        """Return the key as bytes."""
        return f"{self.job_id}.{self.repetition}".encode()


def progress_key(run: JobRun) -> bytes:
    """Return the key of a repetition's progress record."""
    return RunKey(run.job.job_id, run.repetition).encode()


def done_key(job_id: str) -> bytes:
    """Return the key of the record of a job's done repetitions."""
    return f"{job_id}.{DONE_SUFFIX}".encode()


def job_of_done_key(key: bytes) -> str | None:
    """Return the job of which a key names the done repetitions, ``None`` for any other key."""
    job_id, _, suffix = key.decode(errors="replace").rpartition(".")
    return job_id if job_id and suffix == DONE_SUFFIX else None


def parse_key(key: bytes) -> RunKey:
    """Return the repetition that a key names.

    Raises:
        RecordError: The key names no repetition.
    """
    job_id, _, repetition = key.decode(errors="replace").rpartition(".")
    if not job_id or not (repetition.isascii() and repetition.isdecimal()):
        raise RecordError(f"invalid progress key {key!r}; record ignored")
    return RunKey(job_id, int(repetition))


def encode_run(run: JobRun, wall_offset_s: float = 0.0) -> bytes:
    """Return a repetition's progress record; an untouched task takes two bytes.

    Args:
        run: The repetition.
        wall_offset_s: Time of day minus steady time, in seconds.
    """
    return orjson.dumps([step_rows(step, wall_offset_s) for step in run.steps])


def encode_done(job: ShardJob) -> bytes:
    """Return the record of a job's done repetitions, of which no other record is needed."""
    open_and_done = (run.repetition for run in job.runs.values() if run.done)
    done = job.done_repetitions.with_all(open_and_done)
    return orjson.dumps([done.below, f"{done.above:x}"])


def decode_done(value: bytes) -> DoneRepetitions:
    """Return the repetitions of such a record.

    Raises:
        RecordError: The bytes are not such a record.
    """
    try:
        # Later versions may append fields.
        below, above, *_ = parse_list(orjson.loads(value))
        return DoneRepetitions(parse_int(below), int(parse_text(above), 16))
    except (ValueError, TypeError) as error:
        raise RecordError(f"invalid done repetitions {value!r:.60}: {error!r}") from error


def encode_moved(shard: int) -> bytes:
    """Return the record of a job that is being moved to another shard."""
    return orjson.dumps({"moved": shard})


def moved_to(value: bytes) -> int | None:
    """Return the shard that a job was moved to, or ``None`` if the record is not of a move.

    Raises:
        RecordError: The record is of a move, but names no valid shard.
    """
    if not value.startswith(b"{"):
        return None
    try:
        return parse_int(orjson.loads(value)["moved"])
    except (ValueError, TypeError, KeyError) as error:
        raise RecordError(f"invalid progress record {value!r:.60}: {error!r}") from error


def restore_run(run: JobRun, value: bytes, now: float, wall_offset_s: float = 0.0) -> None:
    """Restore a new repetition from its progress record.

    Attempts are restored as inherited: only their executor knows their state.

    Args:
        run: The repetition.
        value: The record.
        now: Steady time.
        wall_offset_s: Time of day minus steady time at this host, in seconds.

    Raises:
        RecordError: The bytes are not a progress record of this job.
    """
    try:
        for step, listed in zip(run.steps, parse_list(orjson.loads(value)), strict=True):
            for task, row in zip(step.tasks, parse_list(listed), strict=True):
                restore_task(task, row, now, wall_offset_s)
            step.remaining_tasks = sum(not task.done for task in step.tasks)
    except (ValueError, TypeError, IndexError) as error:
        raise RecordError(f"invalid progress of job {run.job.job_id}: {error!r}") from error


def encode_roster(executors: Iterable[ExecutorRecord]) -> bytes:
    """Return the record of all executors that may run something."""
    return orjson.dumps(
        [
            [
                Incarnation.of(e.executor_id).executor_id,
                e.service,
                e.address,
                e.hall,
                [e.capacity.milli_cpu, e.capacity.memory_mb, e.capacity.gpus],
                sorted(e.labels),
                e.rack,
                *_incarnation_on_roster(e),
            ]
            for e in executors
        ]
    )


def _incarnation_on_roster(executor: ExecutorRecord) -> list[Any]:
    """Return an incarnation's roster fields: its start time and its withheld ends, if any."""
    if executor.is_placeholder:
        return [None]
    started_at_ms = incarnation_fields(executor.executor_id)[1:]
    # Without a start time, no next incarnation receives orders for this one.
    return (
        [*started_at_ms, executor.withheld_ends]
        if started_at_ms and executor.withheld_ends
        else [*started_at_ms]
    )


def decode_roster(value: bytes) -> tuple[ExecutorRecord, ...]:
    """Return the executors of a roster record.

    Raises:
        RecordError: The bytes are not a valid roster.
    """
    try:
        return tuple(_executor_record(parse_list(row)) for row in parse_list(orjson.loads(value)))
    except (ValueError, TypeError) as error:
        raise RecordError(f"roster: {error!r}") from error


def _executor_record(row: list[Any]) -> ExecutorRecord:
    # Later versions may append fields to the row.
    name, service, address, hall, capacity, labels, rack, *incarnation = row
    milli_cpu, memory_mb, gpus, *_ = (parse_int(amount) for amount in parse_list(capacity))
    return ExecutorRecord(
        incarnation_name([name, *incarnation]),
        parse_text(service),
        parse_text(address),
        parse_text(hall),
        Demand(milli_cpu, memory_mb, gpus),
        frozenset(parse_text(label) for label in parse_list(labels)),
        parse_text(rack),
        is_placeholder=incarnation[:1] == [None],
        withheld_ends=tuple(parse_int(number) for number in parse_list(incarnation[1]))
        if len(incarnation) > 1
        else (),
    )
