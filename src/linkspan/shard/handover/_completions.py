"""Announces tasks that are done here to the other halls that manage their job or themselves."""

from __future__ import annotations

from itertools import count, islice
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.jobs.records import Completed, TaskIndex
from linkspan.shard._reasons import MAX_LOGGED_TASKS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from linkspan.shard._context import TenureContext

MAX_TASKS_PER_RECORD = 2_000
"""Limits the tasks of one record, each of which takes about five bytes of it."""


class Completions:
    """Writes the records of done tasks.

    The end of a run is acknowledged to its executor once this shard's own progress holds it. A next
    owner finds there which ends it has to announce again, so these records may come at any time.

    Args:
        context: Components of the tenure.
    """

    def __init__(self, context: TenureContext) -> None:
        self._core = context.core
        self._shard = context.shard
        self._token = context.token
        self._job_registry = context.job_registry
        self._changes = context.changes
        self._log = context.log
        self._numbers = count(1)

    def __repr__(self) -> str:
        return f"Completions(shard={self._shard})"

    async def announce_loop(self) -> None:
        """Announce done tasks for as long as the tenure lasts."""
        while True:
            await self._changes.completed.wait()
            self._changes.completed.clear()
            records = list(self._take_records())
            if records:
                await self._job_registry.write(records)

    def _take_records(self) -> Iterator[Completed]:
        """Iterate over the records of the tasks that were done since the last call."""
        completed, self._core.completed = self._core.completed, {}
        for job_id, tasks in completed.items():
            listed = iter(tasks)
            while batch := tuple(islice(listed, MAX_TASKS_PER_RECORD)):
                yield self._record(job_id, batch)

    def _record(self, job_id: str, tasks: tuple[TaskIndex, ...]) -> Completed:
        # The key is of this tenure alone, so that no other record of the job is replaced.
        part = f"{self._shard}.{self._token}.{next(self._numbers)}"
        self._log.write(
            Event.COMPLETION_ANNOUNCED,
            job=job_id,
            part=part,
            tasks=len(tasks),
            indexes=[".".join(map(str, task)) for task in tasks[:MAX_LOGGED_TASKS]],
            shard=self._shard,
            token=self._token,
        )
        return Completed(job_id, part, tasks)
