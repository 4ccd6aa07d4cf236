"""Checks that hosts agree on the hall of each job, and that each run has one hall."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import TYPE_CHECKING

from linkspan.errors import RecordError
from linkspan.jobs.catalog import JobCatalog
from linkspan.jobs.job_registry import JOBS, JobRegistry
from linkspan.jobs.record_codec import decode
from linkspan.jobs.records import TaskIndex, Tombstone
from linkspan.store.types import Entry

if TYPE_CHECKING:
    from linkspan.jobs.records import JobRecord
    from linkspan.shard.messages import StartOrder, TaskName
    from tests.standins.memory_executor import MemoryExecutor
    from tests.standins.memory_store import MemoryStore


class OneHall:
    """Compares several readers' views of the jobs, and the halls of runs.

    Args:
        store: Store with the job records.
    """

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self._in_order = JobCatalog()
        self._entries_read = 0
        self._disputed: set[str] = set()
        self._first_runs: defaultdict[str, list[MemoryExecutor]] = defaultdict(list)
        self._runs: defaultdict[tuple[TaskName, int], list[MemoryExecutor]] = defaultdict(list)

    def on_start(self, executor: MemoryExecutor, order: StartOrder) -> list[str]:
        """Return the violation of a run in a second hall, empty if there is none.

        No run of a task has a number that another hall has used. A job's first runs are in one
        hall, but for those of tasks that a record delegates to another one. Runs on crashed
        executors do not count, since they leave no trace that an owner could find.
        """
        lists = [self._runs[order.task, order.run]]
        if order.run == 1 and not self._is_delegated(order.task, executor):
            lists.append(self._first_runs[order.task.job_id])
        for others in lists:
            others.append(executor)
            if len({other.record.hall for other in others if other.alive}) > 1:
                return [f"ELSEWHERE {order.task} begins at run {order.run} again"]
        return []

    def _is_delegated(self, task: TaskName, executor: MemoryExecutor) -> bool:
        """Return whether a record delegates a task to the hall of an executor."""
        self._read()
        entry = self._in_order.get(task.job_id)
        if entry is None:
            # The store of the fault soak is another process, whose records can't be read here.
            return True
        index = TaskIndex(task.repetition, task.step, task.index)
        shard = executor.world.halls.index(executor.record.hall)
        return any(delegation.task_index == index for delegation in entry.delegated.get(shard, ()))

    def compare(self, registries: Iterable[tuple[str, JobRegistry]]) -> list[str]:
        """Return the jobs on whose hall two readers disagree, each job once.

        Compares a reader of all records in order, a reader of a snapshot of the keys, and the
        job registries of the hosts that have read to the end.
        """
        self._read()
        entries = self._store.log(JOBS).entries
        snapshot = JobCatalog()
        newest = {entry.key: entry for entry in entries}
        _fold(snapshot, sorted(entry for entry in newest.values() if entry.value))
        views = [("a snapshot of the keys", snapshot)]
        views += [
            (name, registry.catalog)
            for name, registry in registries
            if registry.follower.offset == len(entries)
        ]
        return [line for name, view in views for line in self._differences(name, view)]

    def _read(self) -> None:
        """Read the records that were written since the last call."""
        entries = self._store.log(JOBS).entries
        new = entries[self._entries_read :]
        _fold(self._in_order, new, passes_over=self._ends_a_finished_delegation)
        self._entries_read = len(entries)

    def _ends_a_finished_delegation(self, record: JobRecord) -> bool:
        """Return whether a record only tidies up: the delegation of a job that is finished.

        A start that was sent before the job's end may arrive after it.
        """
        if not isinstance(record, Tombstone) or record.kind != "l":
            return False
        entry = self._in_order.get(record.job_id)
        return entry is not None and entry.finished is not None

    def _differences(self, name: str, view: JobCatalog) -> list[str]:
        lines = []
        for job_id in self._jobs():
            known, other = self._in_order.get(job_id), view.get(job_id)
            if known is None or known.finished or job_id in self._disputed:
                continue
            if other is None or other.shard != known.shard:
                self._disputed.add(job_id)
                found = other.shard if other else "not known"
                lines.append(f"HALL of {job_id} is {known.shard}, for {name} {found}")
        return lines

    def _jobs(self) -> list[str]:
        keys = {entry.key for entry in self._store.log(JOBS).entries}
        return sorted({key.decode().split(":")[1] for key in keys if key.startswith(b"s:")})


def _fold(
    catalog: JobCatalog,
    entries: Iterable[Entry],
    *,
    passes_over: Callable[[JobRecord], bool] = lambda _record: False,
) -> None:
    for entry in entries:
        # Hosts pass over records that can't be decoded, too.
        with suppress(RecordError):
            record = decode(entry.key, entry.value)
            if not passes_over(record):
                catalog.apply(entry.offset, record)
