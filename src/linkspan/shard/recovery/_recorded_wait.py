"""Records since when standing tasks wait for a run, and restores it at the next owner.

Steady clocks of hosts have nothing in common, so records hold times of day. These may be off or
step by seconds. Such an error lengthens or shortens a wait by as much. A longer one lets a task use
the headroom, leave the hall, start beside a suspect, and begin the close polls that an abandoned
start needs, earlier; a shorter one costs the time that it hides. No lease and no time until which a
start may still arrive is derived from them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from linkspan._typed import parse_int, parse_list
from linkspan.shard.attempt import NEVER

if TYPE_CHECKING:
    from linkspan.shard.job_run import JobRun
    from linkspan.shard.task import Task

MAX_RECORDED_WAIT_S = 3_600.0
"""Longest wait that is restored. It exceeds each wait that has a limit; a clock that is wrong by
more makes no longer one."""

UNITS_PER_S = 10
"""Recorded times are whole tenths of a second."""


def wait_fields(task: Task, wall_offset_s: float) -> list[int]:
    """Return the fields on a standing task's wait for a run; none if it does not wait.

    Args:
        task: The task, which this shard manages.
        wall_offset_s: Time of day minus steady time, in seconds.

    Returns:
        The time of day since when it waits, how much later it came from another shard, both in
        tenths of a second, and 1 if it never ran. Empty ones at the end are omitted.
    """
    if not task.step.spec.standing or task.waiting_since == NEVER:
        return []
    since = max(round((task.waiting_since + wall_offset_s) * UNITS_PER_S), 0)
    arrived_after = round((task.ready_since - task.waiting_since) * UNITS_PER_S)
    if task.never_ran:
        return [since, max(arrived_after, 0), 1]
    return [since, arrived_after] if arrived_after > 0 else [since]


def restore_wait(task: Task, fields: Any, now: float, wall_offset_s: float) -> None:
    """Restore a task's wait from its fields; without any, it waits from whenever it is ready.

    Args:
        task: The task.
        fields: The fields; none in records of earlier versions.
        now: Steady time.
        wall_offset_s: Time of day minus steady time at this host, in seconds.

    Raises:
        TypeError, ValueError: The fields are not valid.
    """
    task.waiting_since = task.ready_since = NEVER
    values = [parse_int(value) for value in parse_list(fields)]
    if values:
        # Later versions may append fields.
        since, arrived_after, never_ran, *_ = [*values, 0, 0]
        task.never_ran = never_ran > 0
        task.waiting_since = _steady_time(since / UNITS_PER_S, now, wall_offset_s)
        task.ready_since = min(task.waiting_since + arrived_after / UNITS_PER_S, now)


def wait_since_acceptance(
    run: JobRun, now: float, wall_offset_s: float, *, arrives: bool = False
) -> None:
    """Let a repetition's standing tasks wait since its job was accepted, or since it was due.

    That holds for tasks without a start. When a step opened that depends on others is not known
    here: its tasks wait from now on, unless their rows say since when.

    Args:
        run: A repetition that this owner is about to restore.
        now: Steady time.
        wall_offset_s: Time of day minus steady time at this host, in seconds.
        arrives: Whether the job comes from another shard, so that it could not start here before.
    """
    job = run.job
    schedule = job.spec.schedule
    due_at = schedule.due(run.repetition) if schedule else job.submitted.accepted_at
    if due_at > now + wall_offset_s:
        return
    since = _steady_time(due_at, now, wall_offset_s)
    for step in run.steps:
        if step.spec.standing and not step.spec.depends_on:
            for task in step.tasks:
                task.waiting_since = since
                task.ready_since = now if arrives else since


def _steady_time(at: float, now: float, wall_offset_s: float) -> float:
    """Return the steady time of a time of day, neither in the future nor too long ago."""
    return min(max(at - wall_offset_s, now - MAX_RECORDED_WAIT_S), now)
