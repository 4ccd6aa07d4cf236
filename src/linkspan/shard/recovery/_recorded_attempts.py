"""Tracks of which standing tasks a record that may be durable names no attempt.

A next owner starts such a task at once. So its start is sent only once it is on record. The next
owner of a task whose record names an attempt waits for all executors of former owners, so that the
task may be started again without a record while the store does not answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.job_run import JobRun
    from linkspan.shard.task import Task


class RecordedAttempt(NamedTuple):
    """A standing task of which a record names an attempt.

    Attributes:
        task: The task.
        idle_records: Number of records before it that named none.
    """

    task: Task
    idle_records: int


def note_encoded(run: JobRun) -> list[RecordedAttempt]:
    """Note that a record of a repetition was made, and return the tasks whose attempts it names."""
    named = []
    for step in run.steps:
        for task in step.tasks if step.spec.standing else ():
            if task.attempts:
                named.append(RecordedAttempt(task, task.idle_records))
            else:
                task.idle_records += 1
                task.idle_in_record = True
    return named


def note_durable(named: Iterable[RecordedAttempt]) -> None:
    """Note that a record is durable, unless a later one names no attempt of a task."""
    for task, idle_records in named:
        if task.idle_records == idle_records:
            task.idle_in_record = False
