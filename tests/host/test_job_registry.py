"""A host's registry of the jobs reports consistent states to its listeners and callers."""

from __future__ import annotations

import asyncio

from linkspan.jobs.job_registry import JOBS, JobRegistry
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Moved, Submitted, Tombstone
from linkspan.store.types import Page, Partition
from tests.event_recorder import EventRecorder
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins.memory_store import MAX_READ_RECORDS, MemoryStore, StoreLink
from tests.virtual_time import run_virtual


def test_listeners_get_the_state_of_a_job_after_all_records_are_applied() -> None:
    """Guards against an owner with a read backlog that starts a job that has moved away since."""

    async def play() -> list[int | None]:
        world = HallWorld()
        store = MemoryStore()
        spec = world.new_job(step(1))
        job_registry = JobRegistry(StoreLink(store, "host"), "life-1", EventRecorder())  # type: ignore[arg-type]
        follower = asyncio.create_task(job_registry.follower.run())
        await asyncio.sleep(0.1)
        shards: list[int | None] = []
        job_registry.subscribe(lambda job_id: shards.append(_shard(job_registry, job_id)))
        store.silent.add("host")
        await asyncio.sleep(3.0)
        store.put(JOBS, *encode(Submitted(spec, 0, 0.0, "life-x")))
        for _ in range(MAX_READ_RECORDS):
            store.put(JOBS, *encode(Submitted(world.new_job(step(1)), 7, 0.0, "life-x")))
        store.put(JOBS, *encode(Moved(spec.job_id, 1)))
        store.silent.clear()
        await asyncio.sleep(3.0)
        follower.cancel()
        return shards

    shards = run_virtual(play())
    assert sorted(set(shards)) == [1, 7]
    assert len(shards) == MAX_READ_RECORDS + 1


def test_a_hosts_own_record_does_not_count_before_earlier_records() -> None:
    """Guards against an owner that adopts a job of another hall if it recovers at that time."""

    async def play() -> tuple[int, list[str]]:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        idle = next(name for name in world.hosts if name not in (world.owner(0), world.owner(1)))
        shard = world.halls.index(dict(world.host_names())[idle])
        # The host reads this job and then pauses its reads for a second.
        await world.submit(idle, world.new_job(step(1)))
        await asyncio.sleep(0.05)
        spec = world.new_job(step(1))
        world.store.put(JOBS, *encode(Submitted(spec, 1 - shard, 0.0, "life-x")))
        status = await world.submit(idle, spec)
        catalog = world.hosts[idle].host.job_registry.catalog
        return status, [
            job_id for job_id, _ in catalog.jobs_of_shard(shard) if job_id == spec.job_id
        ]

    assert run_virtual(play()) == (200, [])


def test_a_newly_accepted_job_is_known() -> None:
    async def play() -> str:
        world = HallWorld()
        await world.begin()
        spec = world.new_job(step(1))
        assert await world.submit("east-host-0", spec) == 200
        return await world.state("east-host-0", spec.job_id)

    assert run_virtual(play()) in ("queued", "running")


def test_a_job_accepted_right_after_a_read_is_known() -> None:
    """A read that is recent enough for other queries does not contain the job yet."""

    async def play() -> str:
        world = HallWorld()
        await world.begin()
        spec = world.new_job(step(1))
        await world.hosts["east-host-0"].host.job_registry.refresh(max_age_s=0.0)
        assert await world.submit("east-host-0", spec) == 200
        return await world.state("east-host-0", spec.job_id)

    assert run_virtual(play()) in ("queued", "running")


def test_an_accepted_job_stays_known_after_a_read_that_began_before() -> None:
    """A registry that drops the job would write it twice when a caller resubmits it."""

    async def play() -> tuple[bool, bool]:
        store = MemoryStore()
        job_registry = JobRegistry(_SlowReads(store, "host"), "life-1", EventRecorder())  # type: ignore[arg-type]
        writing = asyncio.create_task(job_registry.writer.run())
        await job_registry.refresh(max_age_s=0.0)
        spec = HallWorld().new_job(step(1))
        reading = asyncio.create_task(job_registry.refresh(max_age_s=0.0))
        await asyncio.sleep(READ_DELAY_S / 2)
        offset = await job_registry.write([Submitted(spec, 0, 0.0, "life-1")])
        job_registry.note_accepted(spec.job_id, offset)
        assert await reading
        known = job_registry.knows(spec.job_id), job_registry.catalog.get(spec.job_id) is not None
        writing.cancel()
        return known

    assert run_virtual(play()) == (True, False)


def test_a_job_that_was_read_back_and_removed_is_not_known() -> None:
    """Guards against accepted jobs that are kept for ever although they were read back."""

    async def play() -> list[bool]:
        store = MemoryStore()
        job_registry = JobRegistry(StoreLink(store, "host"), "life-1", EventRecorder())  # type: ignore[arg-type]
        writing = asyncio.create_task(job_registry.writer.run())
        spec = HallWorld().new_job(step(1))
        offset = await job_registry.write([Submitted(spec, 0, 0.0, "life-1")])
        job_registry.note_accepted(spec.job_id, offset)
        known = [job_registry.knows(spec.job_id)]
        await job_registry.refresh(max_age_s=0.0)
        store.put(JOBS, *encode(Tombstone("s", spec.job_id, "life-1")))
        await job_registry.refresh(max_age_s=0.0)
        known.append(job_registry.knows(spec.job_id))
        # The answer to the write arrives after the record was read back.
        job_registry.note_accepted(spec.job_id, offset)
        known.append(job_registry.knows(spec.job_id))
        writing.cancel()
        return known

    assert run_virtual(play()) == [True, False, False]


READ_DELAY_S = 0.1
"""Delay of the answer to a read."""


class _SlowReads(StoreLink):
    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        page = await super().read(partition, start, wait_s=wait_s)
        await asyncio.sleep(READ_DELAY_S)
        return page


def _shard(job_registry: JobRegistry, job_id: str) -> int | None:
    entry = job_registry.catalog.get(job_id)
    return entry.shard if entry else None
