"""A job that its former owner ends while the next one recovers is not started again."""

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
"""What a new owner reads, in order."""

AWAY_S = 1.5
"""Time for which the store does not answer the new owner from then on."""


def test_a_job_that_ends_beside_a_recovery_is_not_started_again() -> None:
    """What a new owner read of the jobs is older than what executors tell it then.

    The former owner does not know yet that it is one. After the new owner has read the
    job records, and before it has asked the executor, the former owner writes that the
    job is done and lets the executor forget the end.
    """

    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=2)
        store = world.store = _WatchedStore()
        await world.begin()
        spec = world.new_job(step(1, estimate_s=30.0))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(1.3)
        former = world.owner()
        heir = next(name for name in world.hosts if name != former)
        assert former
        # Its last acts are played below.
        world.kill_host(former)
        store.once_read(RECOVERY, lambda: _end_unread(world, heir, spec.job_id))
        await asyncio.sleep(12.0)
        assert await world.state(heir, spec.job_id) == "succeeded"
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert [len(times) for times in world.starts.values()] == [1]


def _end_unread(world: HallWorld, reader: str, job_id: str) -> None:
    """End a job's last run; the reader does not hear of it for a while."""
    _cut_from_store(world, reader)
    _end(world, reader, job_id)


def _end(world: HallWorld, reader: str, job_id: str) -> None:
    """Do what a former owner does of a job whose last run has ended."""
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
    asyncio.get_running_loop().call_later(AWAY_S, world.store.silent.discard, host)


class _WatchedStore(MemoryStore):
    """Tells when some partitions have been used one after the other."""

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
                # Just after the answer to that read is made up.
                asyncio.get_running_loop().call_soon(self._call, context=Context())
        return super().log(partition)
