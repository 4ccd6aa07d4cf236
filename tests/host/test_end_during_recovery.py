"""A job that its previous owner finishes while the next owner recovers is not started again."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextvars import Context
from typing import Any

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Finished, JobState, Tombstone
from linkspan.shard.messages import EndKind
from linkspan.store.types import Partition
from tests.hall_executors import EXECUTORS
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins.memory_store import MemoryStore
from tests.virtual_time import run_virtual

PROGRESS = Partition("progress", 0, keyed=True)
RECOVERY = [PROGRESS, EXECUTORS, JOBS]
"""Partitions that a new owner reads, in order."""

CUT_OFF_S = 1.5
"""Time for which the store does not answer the new owner after these reads."""


def test_a_job_that_ends_during_a_recovery_is_not_started_again() -> None:
    """Guards against a new owner that trusts job records older than the executors' reports.

    The previous owner does not know yet that it was replaced. After the new owner has read the
    job records, and before it polls the executor, the previous owner writes the final record of
    the job and acknowledges the end, so that the executor no longer reports it.
    """

    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=2)
        store = world.store = _WatchedStore()
        await world.begin()
        spec = world.new_job(step(1, estimate_s=30.0))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(1.3)
        previous_owner = world.owner()
        next_owner = next(name for name in world.hosts if name != previous_owner)
        assert previous_owner
        # The test performs the last actions of this owner below.
        world.kill_host(previous_owner)
        store.once_read(RECOVERY, lambda: _end_while_cut_off(world, next_owner, spec.job_id))
        await asyncio.sleep(12.0)
        assert await world.state(next_owner, spec.job_id) == "succeeded"
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert [len(times) for times in world.starts.values()] == [1]


def _end_while_cut_off(world: HallWorld, reader: str, job_id: str) -> None:
    """End a job's last run while the reader is cut off from the store."""
    _cut_from_store(world, reader)
    _end_job(world, reader, job_id)


def _end_job(world: HallWorld, reader: str, job_id: str) -> None:
    """Write the records and send the acknowledgement of a previous owner at the end of a job."""
    executor = next(e for e in world.executors.values() if e.running)
    (run,) = executor.running.values()
    run.ends_at, run.fails = executor.now, False
    executor.advance()
    (end,) = executor.ended
    assert end.kind is EndKind.DONE
    entry = world.hosts[reader].host.job_registry.catalog.get(job_id)
    assert entry
    records = [Finished(job_id, JobState.SUCCEEDED, 0, time.time(), world.specs[job_id].queue)]
    for record in (
        *records,
        *(Tombstone("s", job_id, writer_id) for writer_id in entry.writer_ids),
    ):
        world.store.put(JOBS, *encode(record))
    executor.report(end.number)


def _cut_from_store(world: HallWorld, host: str) -> None:
    world.store.silent.add(host)
    asyncio.get_running_loop().call_later(CUT_OFF_S, world.store.silent.discard, host)


class _WatchedStore(MemoryStore):
    """A store that calls a function once given partitions have been read in order."""

    def __init__(self) -> None:
        super().__init__()
        self._awaited: list[Partition] = []
        self._call: Callable[[], None] = lambda: None

    def once_read(self, partitions: list[Partition], call: Callable[[], None]) -> None:
        self._awaited, self._call = list(partitions), call

    def log(self, partition: Partition) -> Any:
        if self._awaited and partition == self._awaited[0]:
            self._awaited.pop(0)
            if not self._awaited:
                # Runs right after the answer to this read is assembled.
                asyncio.get_running_loop().call_soon(self._call, context=Context())
        return super().log(partition)
