"""Encodes a task as a row of its repetition's progress record, and restores it from the row.

New fields are appended to rows, and earlier versions ignore what follows the fields they know.
Empty fields at the end are omitted, which keeps the rows of nearly all tasks short.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from linkspan._typed import MAX_EXACT_INT, parse_int, parse_list, parse_started_at_ms, parse_text
from linkspan.jobs.crash import Crash
from linkspan.shard.attempt import NEVER, Attempt, Phase
from linkspan.shard.crash_changes import CrashChanges
from linkspan.shard.crash_history import CrashHistory
from linkspan.shard.failures import FailedRun, Failures
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from linkspan.shard.recovery._recorded_wait import restore_wait, wait_fields

if TYPE_CHECKING:
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

EMPTY_FIELDS: tuple[Any, ...] = (0, 0, [], [], 0, 0, [], [], [], 0)
"""Empty values of the optional fields in the row of a started task."""

EMPTY_DELEGATED_FIELDS: tuple[Any, ...] = (0, 0, [], 0, [], [], [], 0, [], "", 0)
"""Empty values of the optional fields in the row of a task that another shard manages."""


def step_rows(step: StepRun, wall_offset_s: float) -> list[Any]:
    """Return the rows of a step's tasks, one row per task.

    Members of a gang share the run numbers. Earlier versions add up the failure counts of all
    members, so a failed run that several members list is counted only at the first of them.

    Args:
        step: The step.
        wall_offset_s: Time of day minus steady time, in seconds.
    """
    if not step.spec.gang:
        return [_task_row(task, task.failures, wall_offset_s) for task in step.tasks]
    counted: set[int] = set()
    listed = []
    for task in step.tasks:
        runs = {failed.run for failed in task.failed.identified_runs}
        failures = len(runs - counted) + task.failed.unidentified
        listed.append(_task_row(task, failures, wall_offset_s))
        counted |= runs
    return listed


def _task_row(task: Task, failures: int, wall_offset_s: float) -> Any:
    """Return the row of a task.

    Args:
        task: The task.
        failures: How many of its failed runs are counted in this row.
        wall_offset_s: Time of day minus steady time, in seconds.
    """
    if task.done:
        return 1
    if task.managed_by is not None:
        return 0 if _is_untouched(task) else _delegated_row(task, failures)
    attempts = [[a.run, *_attempt_fields(a)] for a in task.attempts]
    if not attempts and _is_new(task):
        return 0
    first = [task.next_run, failures, task.checkpoint, attempts, task.delegation_number]
    failed = _failed_fields(task)
    crashes, score, identified, deferred = _crash_fields(task.crash_history)
    saved_by = task.saved_by if task.checkpoint else 0
    more = (
        crashes,
        score,
        failed,
        identified,
        deferred,
        saved_by,
        _limit_fields(task),
        _expired(task),
        wait_fields(task, wall_offset_s),
        int(task.unrecorded_starts),
    )
    return [*first, *_without_empty_tail(EMPTY_FIELDS, *more)]


def _is_new(task: Task) -> bool:
    """Whether a task of this shard without attempts never had one.

    The next owner knows since when it waits, unless its step opened after others were done.
    """
    if task.next_run > 1 or task.failures or task.delegation_number or task.unrecorded_starts:
        return False
    opened_later = task.step.spec.standing and task.step.spec.depends_on
    return not opened_later or task.waiting_since == NEVER


def _is_untouched(task: Task) -> bool:
    """Whether a task belongs to another shard, which has never delegated it to this one.

    The next owner knows that by the records of the job's delegations.
    """
    if not task.step.run.job.delegated_here or task.delegation_number or task.crash_changes:
        return False
    return not (task.crash_history or task.failures or _expired(task))


def _failed_fields(task: Task) -> list[Any]:
    """Return the fields of a task's identified failed runs."""
    return [
        [failed.run, *incarnation_fields(failed.incarnation)]
        for failed in sorted(task.failed.identified_runs)
    ]


def _expired(task: Task) -> list[Any]:
    """Return the fields of a task's attempts whose leases have expired at a silent executor."""
    expired = task.step.run.expired_attempts.get(task, ())
    return [[attempt.run, *_attempt_fields(attempt)] for attempt in expired]


def _limit_fields(task: Task) -> list[int]:
    """Return the attempt limit that failures were counted against, and its version, if known.

    If the queue was deleted, a next owner finds this limit in no configuration.
    """
    job = task.step.run.job
    if not task.failures or job.max_attempts is None:
        return []
    return [job.max_attempts, *([] if job.limit_version is None else [job.limit_version])]


def _delegated_row(task: Task, failures: int) -> list[Any]:
    first = [-1 - (task.managed_by or 0), task.delegation_number, task.next_run]
    changes = task.crash_changes or CrashChanges()
    changed = [
        [incarnation_fields(incarnation) for incarnation in sorted(incarnations)]
        for incarnations in (changes.retracted, changes.found)
    ]
    crashes = _crash_fields(task.crash_history)
    saved_by = task.saved_by if task.checkpoint else 0
    more = (
        *crashes,
        *changed,
        _expired(task),
        failures,
        _failed_fields(task),
        task.checkpoint,
        saved_by,
    )
    return [*first, *_without_empty_tail(EMPTY_DELEGATED_FIELDS, *more)]


def _without_empty_tail(empty: tuple[Any, ...], *fields: Any) -> list[Any]:
    """Return the fields without the empty ones at the end.

    Example:
        >>> _without_empty_tail((0, [], 0), 7, [], 0)
        [7]
    """
    kept = list(fields)
    while kept and kept[-1] == empty[len(kept) - 1]:
        kept.pop()
    return kept


def _crash_fields(history: CrashHistory | None) -> tuple[int, int, list[Any], int]:
    """Return the fields on a task's crashes and on whether giving it up was deferred."""
    if history is None:
        return 0, 0, [], 0
    identified = [
        [c.run, c.score, c.certainty, *incarnation_fields(c.incarnation)]
        for c in history.identified_crashes
    ]
    return (
        history.crash_count,
        history.crash_score,
        identified,
        int(history.deferred_for_next_owner),
    )


def restore_task(task: Task, row: Any, now: float, wall_offset_s: float) -> None:
    """Restore a new task from its row.

    Args:
        task: The task.
        row: The row.
        now: Steady time.
        wall_offset_s: Time of day minus steady time at this host, in seconds.

    Raises:
        TypeError, ValueError, IndexError: The row is not a valid task row.
    """
    if row == 0:
        return
    if row == 1:
        task.done = True
        return
    # Later versions may append fields to the row.
    if parse_int(parse_list(row)[0], minimum=-MAX_EXACT_INT) < 0:
        _restore_delegated(task, row, now)
        return
    next_run, failures, checkpoint, attempts, delegation, *more = row
    crashes, score, failed, identified, deferred, saved_by, limit, expired, wait, unrecorded = (
        _padded(EMPTY_FIELDS, more)
    )
    task.unrecorded_starts = parse_int(unrecorded) > 0
    if limit:
        max_attempts, *version = parse_list(limit)
        task.step.run.job.apply_limit(
            parse_int(max_attempts), parse_int(version[0]) if version else None
        )
    task.crash_history = _restore_crash_history(crashes, score, identified, deferred)
    task.next_run = parse_int(next_run, minimum=1)
    task.checkpoint, task.saved_by, task.delegation_number = (
        parse_text(checkpoint),
        parse_int(saved_by),
        parse_int(delegation),
    )
    task.attempts += [
        _restore_attempt(task, parse_list(fields), now) for fields in parse_list(attempts)
    ]
    _restore_expired(task, expired, now)
    restore_wait(task, wait, now, wall_offset_s)
    # Runs that may still be running had not failed when the record was written.
    below = min([task.next_run, *(attempt.run for attempt in task.attempts)])
    task.set_failed(_restore_failures(parse_int(failures), parse_list(failed), below))


def _restore_expired(task: Task, expired: Any, now: float) -> None:
    attempts = [_restore_attempt(task, parse_list(fields), now) for fields in parse_list(expired)]
    if attempts:
        task.step.run.expired_attempts[task] = attempts


def _restore_delegated(task: Task, row: list[Any], now: float) -> None:
    first, delegation, next_run, *more = row
    task.managed_by = -1 - first
    task.delegation_number, task.next_run = parse_int(delegation), parse_int(next_run, minimum=1)
    *crashes, retracted, found, expired, failures, failed, checkpoint, saved_by = _padded(
        EMPTY_DELEGATED_FIELDS, more
    )
    _restore_expired(task, expired, now)
    task.set_failed(_restore_failures(parse_int(failures), parse_list(failed), task.next_run))
    task.checkpoint, task.saved_by = parse_text(checkpoint), parse_int(saved_by)
    task.crash_history = _restore_crash_history(*crashes)
    if task.next_run > 1:
        # It ran here before, and may run in the other shard.
        restore_wait(task, [], now, 0.0)
    if retracted or found:
        task.crash_changes = CrashChanges(_incarnation_names(found), _incarnation_names(retracted))


def _incarnation_names(listed: Any) -> frozenset[str]:
    return frozenset(incarnation_name(parse_list(fields)) for fields in parse_list(listed))


def _padded(empty: tuple[Any, ...], fields: list[Any]) -> list[Any]:
    """Return the fields with the omitted empty ones appended.

    Example:
        >>> _padded((0, [], 0), [7])
        [7, [], 0]
    """
    return [*fields, *empty[len(fields) :]][: len(empty)]


def _restore_crash_history(
    crashes: Any, score: Any, identified: Any, deferred: Any
) -> CrashHistory | None:
    """Return a task's recorded crash history; earlier versions did not record single crashes."""
    if not (parse_int(crashes) and parse_int(score)):
        return None
    identified_crashes = tuple(
        Crash(incarnation_name(incarnation), parse_int(run), parse_int(crash_score)).with_certainty(
            parse_int(certainty)
        )
        for run, crash_score, certainty, *incarnation in map(parse_list, parse_list(identified))
    )
    crash_count = parse_int(crashes)
    return CrashHistory(
        crash_count,
        parse_int(score),
        identified_crashes=identified_crashes,
        deferred_at=crash_count if parse_int(deferred) > 0 else 0,
    )


def _restore_failures(count: int, identified: list[Any], below: int) -> Failures:
    """Return the failed runs of a task's row.

    Args:
        count: Number of failed runs.
        identified: Run and incarnation of each; absent in records of earlier versions.
        below: Number above those of all counted runs.
    """
    identified_runs = frozenset(
        FailedRun(parse_int(run), incarnation_name(incarnation))
        for run, *incarnation in map(parse_list, identified)
    )
    return Failures(identified_runs, max(count - len(identified_runs), 0), below)


def _restore_attempt(task: Task, fields: list[Any], now: float) -> Attempt:
    """Return a recorded attempt, for which a start may still arrive."""
    run, *place = fields
    attempt = Attempt(
        task, parse_int(run), incarnation_name(place), Phase.INHERITED, now, recovered=True
    )
    if len(place) > 2:
        attempt.starts = parse_int(place[2], minimum=1)
        attempt.start_may_arrive_until = now + MAX_START_DELAY_S
    attempt.carried_over = len(place) > 3 and parse_int(place[3]) > 0
    return attempt


def _attempt_fields(attempt: Attempt) -> list[str | int | None]:
    """Return the fields on an attempt's executor and on its starts that may still arrive.

    With such starts, the fields also say whether the run was carried over from an earlier
    incarnation. These fields follow the start time, where earlier versions do not read.
    """
    if not attempt.recorded_starts:
        return [*incarnation_fields(attempt.executor_id)]
    incarnation = Incarnation.of(attempt.executor_id)
    carried_over = [1] if attempt.carried_over else []
    return [
        incarnation.executor_id,
        incarnation.started_at_ms,
        attempt.recorded_starts,
        *carried_over,
    ]


def incarnation_fields(name: str) -> list[str | int]:
    """Return the fields of an incarnation: its id, which earlier versions read, and start time."""
    incarnation = Incarnation.of(name)
    return (
        [incarnation.executor_id]
        if incarnation.started_at_ms is None
        else [incarnation.executor_id, incarnation.started_at_ms]
    )


def incarnation_name(fields: list[Any]) -> str:
    """Return the incarnation that fields name; without start time, any incarnation of the id."""
    executor_id, *started_at_ms = fields
    return Incarnation(
        parse_text(executor_id), parse_started_at_ms(started_at_ms[0]) if started_at_ms else None
    ).name
