"""Checks that all hosts agree on the hall of each job, whenever they started."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import TYPE_CHECKING

from linkspan.jobs.catalog import JobCatalog
from linkspan.jobs.job_registry import JOBS, JobRegistry
from linkspan.jobs.record_codec import decode
from linkspan.store.types import Entry

if TYPE_CHECKING:
    from linkspan.shard.messages import StartOrder
    from tests.standins.memory_executor import MemoryExecutor
    from tests.standins.memory_store import MemoryStore


class OneHall:
    """Compares several readers' views of the jobs, and the halls of first runs.

    Args:
        store: Store with the job records.
    """

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self._in_order = JobCatalog()
        self._entries_read = 0
        self._disputed: set[str] = set()
        self._first_runs: defaultdict[str, list[MemoryExecutor]] = defaultdict(list)

    def on_start(self, executor: MemoryExecutor, order: StartOrder) -> list[str]:
        """Return the violation of a first run in a second hall, empty if there is none.

        Runs on crashed executors do not count, since they leave no trace that an owner could
        find. Standing tasks do not count, since they may be delegated before their first run.
        """
        if order.run > 1 or executor.world.step_of(order.task).standing:
            return []
        others = self._first_runs[order.task.job_id]
        others.append(executor)
        halls = {other.record.hall for other in others if other.alive}
        return [f"ELSEWHERE {order.task} begins at run 1 again"] if len(halls) > 1 else []

    def compare(self, registries: Iterable[tuple[str, JobRegistry]]) -> list[str]:
        """Return the jobs on whose hall two readers disagree, each job once.

        Compares a reader of all records in order, a reader of a snapshot of the keys, and the
        job registries of the hosts that have read to the end.
        """
        entries = self._store.log(JOBS).entries
        _fold(self._in_order, entries[self._entries_read :])
        self._entries_read = len(entries)
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


def _fold(catalog: JobCatalog, entries: Iterable[Entry]) -> None:
    for entry in entries:
        catalog.apply(entry.offset, decode(entry.key, entry.value))
