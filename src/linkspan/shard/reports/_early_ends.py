"""Remembers ends of draining executors that may have been crashes under their tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.jobs.crash import Crash
    from linkspan.shard.messages import ExecutorRecord
    from linkspan.shard.task import Task

MAX_REMEMBERED_ENDS = 64
"""Limits the incarnations whose announcement is remembered. Their entries vanish within seconds."""


class EarlyEnds:
    """Ends of draining executors before their announced time, by the tasks that ran there.

    Such an end is a crash, unless the owner read the announcement unusually late. Alone it counts
    for no task. It counts for a task under which an executor crashes later, as it does for one
    under which an executor crashed before. Ends are not on record, so the next owner of a shard
    does not know those that it has not counted.
    """

    def __init__(self) -> None:
        self._by_task: dict[Task, tuple[Crash, ...]] = {}
        self._announced_s: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"EarlyEnds({len(self._by_task)} tasks)"

    def on_end(self, record: ExecutorRecord) -> None:
        """Remember the announcement of an incarnation that ended before the announced time."""
        self._announced_s[record.executor_id] = record.remaining_s
        while len(self._announced_s) > MAX_REMEMBERED_ENDS:
            del self._announced_s[next(iter(self._announced_s))]

    def has_seen(self, record: ExecutorRecord) -> bool:
        """Return whether an announcement was already known when its incarnation ended early."""
        return self._announced_s.get(record.executor_id) == record.remaining_s

    def add(self, task: Task, crash: Crash) -> None:
        """Remember an end, as the crash that it may have been."""
        self._by_task[task] = (*self._by_task.get(task, ()), crash)

    def pop(self, task: Task) -> tuple[Crash, ...]:
        """Return the ends that are remembered for a task, and forget them."""
        return self._by_task.pop(task, ())

    def retract(self, incarnation: str) -> None:
        """Forget the end of an incarnation that left as planned."""
        kept = {
            task: tuple(crash for crash in crashes if crash.incarnation != incarnation)
            for task, crashes in self._by_task.items()
        }
        self._by_task = {task: crashes for task, crashes in kept.items() if crashes}

    def remove_finished_tasks(self) -> None:
        """Forget the ends of tasks that are done or whose job has ended."""
        finished = [t for t in self._by_task if t.done or t.step.run.job.closing]
        for task in finished:
            del self._by_task[task]
