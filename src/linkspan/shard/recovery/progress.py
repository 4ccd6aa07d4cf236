"""Records of a job's progress, one a repetition, written by the shard's owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import orjson

from linkspan._typed import parse_int, parse_list, parse_text
from linkspan.errors import RecordError
from linkspan.jobs.spec import Demand
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

ROSTER_KEY = b"roster"
"""Key of the record that lists all executors that may run something."""


class RunKey(NamedTuple):
    """Key of a repetition's record."""

    job_id: str
    repetition: int

    def encode(self) -> bytes:
        """Return the key's bytes."""
        return f"{self.job_id}.{self.repetition}".encode()


def key_of(run: JobRun) -> bytes:
    """Return the key of a repetition's record."""
    return RunKey(run.job.job_id, run.repetition).encode()


def parse_key(key: bytes) -> RunKey:
    """Return the repetition that a key names.

    Raises:
        RecordError: It names none.
    """
    job_id, _, repetition = key.decode(errors="replace").rpartition(".")
    if not job_id or not (repetition.isascii() and repetition.isdecimal()):
        raise RecordError(f"progress key {key!r}; it is passed over")
    return RunKey(job_id, int(repetition))


def encode_run(run: JobRun) -> bytes:
    """Return a repetition's progress; an untouched task takes two bytes."""
    return orjson.dumps([step_rows(step) for step in run.steps])


def encode_moved(shard: int) -> bytes:
    """Return the record of a job that is on its way to another shard."""
    return orjson.dumps({"moved": shard})


def moved_to(value: bytes) -> int | None:
    """Return the shard that a record says its job was moved to, if it does.

    Raises:
        RecordError: The bytes tell of a move, but not where to.
    """
    if not value.startswith(b"{"):
        return None
    try:
        return parse_int(orjson.loads(value)["moved"])
    except (ValueError, TypeError, KeyError) as error:
        raise RecordError(f"progress record {value!r:.60}: {error!r}") from error


def restore_run(run: JobRun, value: bytes, now: float) -> None:
    """Fill a new repetition from its record.

    Attempts are restored as inherited: only their executor can tell of them.

    Raises:
        RecordError: The bytes are no progress of this job.
    """
    try:
        for step, listed in zip(run.steps, parse_list(orjson.loads(value)), strict=True):
            for task, row in zip(step.tasks, parse_list(listed), strict=True):
                restore_task(task, row, now)
            step.remaining_tasks = sum(not task.done for task in step.tasks)
    except (ValueError, TypeError, IndexError) as error:
        raise RecordError(f"progress of {run.job.job_id}: {error!r}") from error


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
                *_life_on_roster(e),
            ]
            for e in executors
        ]
    )


def _life_on_roster(executor: ExecutorRecord) -> list[Any]:
    """Return what a roster holds of a life: its birth, and its ends that are held, if any."""
    if executor.is_placeholder:
        return [None]
    started_at_ms = incarnation_fields(executor.executor_id)[1:]
    # Where it tells no birth, no next life gets its orders.
    return (
        [*started_at_ms, executor.withheld_ends]
        if started_at_ms and executor.withheld_ends
        else [*started_at_ms]
    )


def decode_roster(value: bytes) -> tuple[ExecutorRecord, ...]:
    """Return the executors of a roster record.

    Raises:
        RecordError: The bytes are no roster.
    """
    try:
        return tuple(_executor(parse_list(row)) for row in parse_list(orjson.loads(value)))
    except (ValueError, TypeError) as error:
        raise RecordError(f"roster: {error!r}") from error


def _executor(row: list[Any]) -> ExecutorRecord:
    # Later versions may tell more behind it.
    name, service, address, hall, room, labels, rack, *incarnation = row
    milli_cpu, memory_mb, gpus, *_ = (parse_int(size) for size in parse_list(room))
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
