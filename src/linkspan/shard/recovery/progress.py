"""Records of a job's progress, one a repetition, written by the shard's owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import orjson

from linkspan._typed import MOST_WHOLE, birth, rows, text, whole
from linkspan.errors import RecordError
from linkspan.jobs.crash import Crash
from linkspan.jobs.spec import Demand
from linkspan.shard.attempt import Attempt, Phase
from linkspan.shard.failures import FailedRun, Failures
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.messages import ExecutorRecord
from linkspan.shard.orders._orders import LATE_START_S
from linkspan.shard.suspicion import Suspicion

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.job_run import JobRun
    from linkspan.shard.task import Task

ROSTER_KEY = b"roster"
"""Key of the record that lists all executors that may run something."""


NO_CRASHES = [0, 0]
"""What stands in place of crashes where there were none and more follows."""


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
    return orjson.dumps([[_task_fields(task) for task in step.tasks] for step in run.steps])


def _task_fields(task: Task) -> Any:
    if task.done:
        return 1
    if task.lent is not None:
        return [
            -1 - task.lent,
            task.loan,
            task.next_run,
            *_crash_fields(task),
            *_named_crashes(task),
        ]
    attempts = [[a.run, *_place_fields(a)] for a in task.attempts]
    if not attempts and task.next_run == 1 and not task.failures and not task.loan:
        return 0
    fields = [task.next_run, task.failures, task.checkpoint, attempts, task.loan]
    named = _named_crashes(task)
    if not task.failed.named and not named:
        return [*fields, *_crash_fields(task)]
    crashes = _crash_fields(task) or NO_CRASHES
    failed = [[failed.run, *_life_fields(failed.life)] for failed in sorted(task.failed.named)]
    return [*fields, *crashes, failed, *named]


def _crash_fields(task: Task) -> list[int]:
    """Return what a record holds of crashes under a task: nothing for nearly all tasks."""
    known = task.suspicion
    return [known.crashes, known.points] if known else []


def _named_crashes(task: Task) -> list[list[list[str | int]]]:
    """Return the field that names crashes under a task, if any is known by name."""
    named = task.suspicion.named if task.suspicion else ()
    if not named:
        return []
    return [[[crash.run, crash.points, crash.known, *_life_fields(crash.life)] for crash in named]]


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
        return whole(orjson.loads(value)["moved"])
    except (ValueError, TypeError, KeyError) as error:
        raise RecordError(f"progress record {value!r:.60}: {error!r}") from error


def restore_run(run: JobRun, value: bytes, now: float) -> None:
    """Fill a new repetition from its record.

    Attempts are restored as inherited: only their executor can tell of them.

    Raises:
        RecordError: The bytes are no progress of this job.
    """
    try:
        for step, listed in zip(run.steps, rows(orjson.loads(value)), strict=True):
            for task, row in zip(step.tasks, rows(listed), strict=True):
                _restore_task(task, row, now)
            step.left = sum(not task.done for task in step.tasks)
    except (ValueError, TypeError, IndexError) as error:
        raise RecordError(f"progress of {run.job.job_id}: {error!r}") from error


def _restore_task(task: Task, row: Any, now: float) -> None:
    if row == 0:
        return
    if row == 1:
        task.done = True
        return
    # Later versions may tell more behind it.
    first = whole(rows(row)[0], least=-MOST_WHOLE)
    if first < 0:
        _, loan, next_run, *more = row
        task.lent = -1 - first
        task.suspicion = _suspicion(more, more[2:])
        task.loan, task.next_run = whole(loan), whole(next_run, least=1)
        return
    next_run, failures, checkpoint, attempts, loan, *more = row
    task.suspicion = _suspicion(more, more[3:])
    task.next_run = whole(next_run, least=1)
    task.checkpoint, task.loan = text(checkpoint), whole(loan)
    task.attempts += [_attempt(task, rows(fields), now) for fields in rows(attempts)]
    # What may be running had not failed by then.
    below = min([task.next_run, *(attempt.run for attempt in task.attempts)])
    task.failed = _failures(whole(failures), more[2:], below)


def _attempt(task: Task, fields: list[Any], now: float) -> Attempt:
    """Return an attempt of a record, which a start may be on its way for."""
    number, *place = fields
    attempt = Attempt(task, whole(number), _life(place), Phase.INHERITED, now, found=True)
    if len(place) > 2:
        attempt.starts = whole(place[2], least=1)
        attempt.late_until = now + LATE_START_S
    attempt.carried = len(place) > 3 and whole(place[3]) > 0
    return attempt


def _place_fields(attempt: Attempt) -> list[str | int | None]:
    """Return what a record holds of where an attempt is, and of its starts on their way.

    Of these it tells whether the run came over from a life before.
    These stand behind the birth, where earlier versions do not look.
    """
    if not attempt.recorded_starts:
        return [*_life_fields(attempt.executor_id)]
    life = Incarnation.of(attempt.executor_id)
    carried = [1] if attempt.carried else []
    return [life.executor_id, life.born, attempt.recorded_starts, *carried]


def _life_fields(name: str) -> list[str | int]:
    """Return what a record holds of a life: its id, where earlier versions read one, and birth."""
    life = Incarnation.of(name)
    return [life.executor_id] if life.born is None else [life.executor_id, life.born]


def _life(fields: list[Any]) -> str:
    """Return the name of a life that a record holds; one without a birth is some life of its id."""
    executor_id, *born = fields
    return Incarnation(text(executor_id), birth(born[0]) if born else None).name


def _suspicion(fields: list[Any], more: list[Any]) -> Suspicion | None:
    """Return what a record says against a task.

    Args:
        fields: How many crashes there were, and what they count.
        more: Their names, if it tells any: records of earlier versions do not.
    """
    if len(fields) < 2 or fields[:2] == NO_CRASHES:
        return None
    named = tuple(
        Crash(_life(life), whole(run), whole(points)).as_known(whole(known))
        for run, points, known, *life in map(rows, rows(more[0]) if more else ())
    )
    return Suspicion(whole(fields[0]), whole(fields[1]), named=named)


def _failures(count: int, more: list[Any], below: int) -> Failures:
    """Return the failed runs of a record.

    Args:
        count: How many there are.
        more: Their names, if it tells any: records of earlier versions do not.
        below: Number that is above those of all runs that it counts.
    """
    names = frozenset(
        FailedRun(whole(number), _life(life))
        for number, *life in map(rows, rows(more[0]) if more else ())
    )
    return Failures(names, max(count - len(names), 0), below)


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
    if executor.unmet:
        return [None]
    born = _life_fields(executor.executor_id)[1:]
    # Where it tells no birth, no next life gets its orders.
    return [*born, executor.held] if born and executor.held else [*born]


def decode_roster(value: bytes) -> tuple[ExecutorRecord, ...]:
    """Return the executors of a roster record.

    Raises:
        RecordError: The bytes are no roster.
    """
    try:
        return tuple(_executor(rows(row)) for row in rows(orjson.loads(value)))
    except (ValueError, TypeError) as error:
        raise RecordError(f"roster: {error!r}") from error


def _executor(row: list[Any]) -> ExecutorRecord:
    # Later versions may tell more behind it.
    name, service, address, hall, room, labels, rack, *life = row
    milli_cpu, memory_mb, gpus, *_ = (whole(size) for size in rows(room))
    return ExecutorRecord(
        _life([name, *life]),
        text(service),
        text(address),
        text(hall),
        Demand(milli_cpu, memory_mb, gpus),
        frozenset(text(label) for label in rows(labels)),
        text(rack),
        unmet=life[:1] == [None],
        held=tuple(whole(number) for number in rows(life[1])) if len(life) > 1 else (),
    )
