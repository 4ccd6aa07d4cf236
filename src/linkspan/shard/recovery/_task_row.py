"""A task's row in the record of its repetition.

Rows grow behind: what earlier versions know stands first, and they pass over the rest. Fields
that hold nothing are left out at the end, so that the rows of nearly all tasks are short.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from linkspan._typed import MAX_EXACT_INT, parse_int, parse_list, parse_started_at_ms, parse_text
from linkspan.jobs.crash import Crash
from linkspan.shard.attempt import Attempt, Phase
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.failures import FailedRun, Failures
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.orders._orders import MAX_START_DELAY_S

if TYPE_CHECKING:
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

EMPTY: tuple[Any, ...] = (0, 0, [], [], 0, 0, [])
"""What fields behind the first of a started task hold where there is nothing to tell."""

EMPTY_DELEGATED: tuple[Any, ...] = (0, 0, [], 0, [])
"""The same for a task that another shard looks after."""


def step_rows(step: StepRun) -> list[Any]:
    """Return what a record holds of a step, a row a task.

    A gang's members share the numbers of its runs. Earlier versions add up how many failed, so one
    that several members name is counted at the first of them.
    """
    if not step.spec.gang:
        return [_task_row(task, task.failures) for task in step.tasks]
    counted: set[int] = set()
    listed = []
    for task in step.tasks:
        runs = {failed.run for failed in task.failed.identified_runs}
        listed.append(_task_row(task, len(runs - counted) + task.failed.unidentified))
        counted |= runs
    return listed


def _task_row(task: Task, failures: int) -> Any:
    """Return what a record holds of a task.

    Args:
        task: The task.
        failures: How many of its failed runs are counted here.
    """
    if task.done:
        return 1
    if task.managed_by is not None:
        return _lent_row(task)
    attempts = [[a.run, *_place_fields(a)] for a in task.attempts]
    if not attempts and task.next_run == 1 and not task.failures and not task.delegation_number:
        return 0
    first = [task.next_run, failures, task.checkpoint, attempts, task.delegation_number]
    failed = [
        [failed.run, *incarnation_fields(failed.incarnation)]
        for failed in sorted(task.failed.identified_runs)
    ]
    crashes, points, named, put_off = _crash_fields(task.crash_history)
    saved_by = task.saved_by if task.checkpoint else 0
    more = crashes, points, failed, named, put_off, saved_by, _limit_fields(task)
    return [*first, *_without_last(EMPTY, *more)]


def _limit_fields(task: Task) -> list[int]:
    """Return the limit that failed runs of a task were counted against, and its version, if known.

    Where the queue is gone, no configuration tells a next owner.
    """
    job = task.step.run.job
    if not task.failures or job.max_attempts is None:
        return []
    return [job.max_attempts, *([] if job.limit_version is None else [job.limit_version])]


def _lent_row(task: Task) -> list[Any]:
    first = [-1 - (task.managed_by or 0), task.delegation_number, task.next_run]
    excused = [incarnation_fields(incarnation) for incarnation in sorted(task.retracted_crashes)]
    return [*first, *_without_last(EMPTY_DELEGATED, *_crash_fields(task.crash_history), excused)]


def _without_last(empty: tuple[Any, ...], *fields: Any) -> list[Any]:
    """Return fields but for those at the end that hold nothing.

    Example:
        >>> _without_last((0, [], 0), 7, [], 0)
        [7]
    """
    kept = list(fields)
    while kept and kept[-1] == empty[len(kept) - 1]:
        kept.pop()
    return kept


def _crash_fields(known: CrashHistory | None) -> tuple[int, int, list[Any], int]:
    """Return what a record holds of crashes under a task, and of a verdict by them."""
    if known is None:
        return 0, 0, [], 0
    named = [
        [c.run, c.score, c.certainty, *incarnation_fields(c.incarnation)]
        for c in known.identified_crashes
    ]
    return known.crash_count, known.crash_score, named, int(known.give_up_deferred)


def restore_task(task: Task, row: Any, now: float) -> None:
    """Fill a new task from its row.

    Raises:
        TypeError, ValueError, IndexError: The row is none of a task.
    """
    if row == 0:
        return
    if row == 1:
        task.done = True
        return
    # Later versions may tell more behind it.
    if parse_int(parse_list(row)[0], minimum=-MAX_EXACT_INT) < 0:
        _restore_lent(task, row)
        return
    next_run, failures, checkpoint, attempts, delegation, *more = row
    crashes, points, failed, named, put_off, saved_by, limit = _padded(EMPTY, more)
    if limit:
        most, *version = parse_list(limit)
        task.step.run.job.take_limit(parse_int(most), parse_int(version[0]) if version else None)
    task.crash_history = _suspicion(crashes, points, named, put_off)
    task.next_run = parse_int(next_run, minimum=1)
    task.checkpoint, task.saved_by, task.delegation_number = (
        parse_text(checkpoint),
        parse_int(saved_by),
        parse_int(delegation),
    )
    task.attempts += [_attempt(task, parse_list(fields), now) for fields in parse_list(attempts)]
    # What may be running had not failed by then.
    below = min([task.next_run, *(attempt.run for attempt in task.attempts)])
    task.failed = _failures(parse_int(failures), parse_list(failed), below)


def _restore_lent(task: Task, row: list[Any]) -> None:
    first, delegation, next_run, *more = row
    task.managed_by = -1 - first
    task.delegation_number, task.next_run = parse_int(delegation), parse_int(next_run, minimum=1)
    *crashes, excused = _padded(EMPTY_DELEGATED, more)
    task.crash_history = _suspicion(*crashes)
    task.retracted_crashes = {
        incarnation_name(parse_list(incarnation)) for incarnation in parse_list(excused)
    }


def _padded(empty: tuple[Any, ...], fields: list[Any]) -> list[Any]:
    """Return fields with those at the end that were left out.

    Example:
        >>> _padded((0, [], 0), [7])
        [7, [], 0]
    """
    return [*fields, *empty[len(fields) :]][: len(empty)]


def _suspicion(crashes: Any, points: Any, named: Any, put_off: Any) -> CrashHistory | None:
    """Return what a record says against a task; records of earlier versions name no crash."""
    if not (parse_int(crashes) and parse_int(points)):
        return None
    names = tuple(
        Crash(incarnation_name(incarnation), parse_int(run), parse_int(counts)).with_certainty(
            parse_int(known)
        )
        for run, counts, known, *incarnation in map(parse_list, parse_list(named))
    )
    return CrashHistory(
        parse_int(crashes),
        parse_int(points),
        identified_crashes=names,
        give_up_deferred=parse_int(put_off) > 0,
    )


def _failures(count: int, named: list[Any], below: int) -> Failures:
    """Return the failed runs of a record.

    Args:
        count: How many there are.
        named: Their names, if it tells any: records of earlier versions do not.
        below: Number that is above those of all runs that it counts.
    """
    names = frozenset(
        FailedRun(parse_int(number), incarnation_name(incarnation))
        for number, *incarnation in map(parse_list, named)
    )
    return Failures(names, max(count - len(names), 0), below)


def _attempt(task: Task, fields: list[Any], now: float) -> Attempt:
    """Return an attempt of a record, which a start may be on its way for."""
    number, *place = fields
    attempt = Attempt(
        task, parse_int(number), incarnation_name(place), Phase.INHERITED, now, recovered=True
    )
    if len(place) > 2:
        attempt.starts = parse_int(place[2], minimum=1)
        attempt.start_may_arrive_until = now + MAX_START_DELAY_S
    attempt.carried_over = len(place) > 3 and parse_int(place[3]) > 0
    return attempt


def _place_fields(attempt: Attempt) -> list[str | int | None]:
    """Return what a record holds of where an attempt is, and of its starts on their way.

    Of these it tells whether the run came over from a life before.
    These stand behind the birth, where earlier versions do not look.
    """
    if not attempt.recorded_starts:
        return [*incarnation_fields(attempt.executor_id)]
    incarnation = Incarnation.of(attempt.executor_id)
    carried = [1] if attempt.carried_over else []
    return [incarnation.executor_id, incarnation.started_at_ms, attempt.recorded_starts, *carried]


def incarnation_fields(name: str) -> list[str | int]:
    """Return what a record holds of a life: its id, where earlier versions read one, and birth."""
    incarnation = Incarnation.of(name)
    return (
        [incarnation.executor_id]
        if incarnation.started_at_ms is None
        else [incarnation.executor_id, incarnation.started_at_ms]
    )


def incarnation_name(fields: list[Any]) -> str:
    """Return the name of a life that a record holds; one without a birth is some life of its id."""
    executor_id, *started_at_ms = fields
    return Incarnation(
        parse_text(executor_id), parse_started_at_ms(started_at_ms[0]) if started_at_ms else None
    ).name
