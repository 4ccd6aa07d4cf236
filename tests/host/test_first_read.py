"""Overlapping first reads of the job records do not make a host forget a finished job.

Guards against a finished job that is started again in another hall. In an incident run 1 of two
tasks ended in one hall and was acknowledged; seconds later, after most hosts had been killed and
restarted, the owner of another hall started run 1 of the same tasks.

A starting host reads a snapshot of the job keys page by page while callers already query jobs, and
each query read another snapshot at the same time. A job ended between the first and the last page
of one snapshot: the early page lacked the final record, and the late page no longer had the
submission. The other snapshot had the final record but was applied first; the older one then
removed the job, and the records written in between were not read again. A host that was frozen in
the meantime resubmitted the job for its own hall, where it counted as new.
"""

from __future__ import annotations

import asyncio
import time

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Finished, JobState, Submitted, Tombstone
from linkspan.jobs.spec import JobSpec
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins.memory_store import MAX_PAGE_KEYS
from tests.virtual_time import run_virtual

SECOND_PAGE_S = 0.4
"""Duration of the read of the second page of the first snapshot."""


def test_an_older_snapshot_does_not_remove_a_finished_job() -> None:
    """A caller queries the job during the host's first read of the records."""

    async def play() -> str:
        world = HallWorld(hosts_per_hall=1, executors_per_hall=0)
        await world.begin()
        spec = await _write_job_and_many_finished(world, shard=0)
        world.kill_host("east-host-0")
        _start_with_slow_snapshot(world, "east-host-0", SECOND_PAGE_S)
        await asyncio.sleep(SECOND_PAGE_S / 2)
        for record in (_finished(spec), Tombstone("s", spec.job_id, "life-x")):
            world.store.put(JOBS, *encode(record))
        await world.ask("east-host-0", spec.job_id)
        await asyncio.sleep(2 * SECOND_PAGE_S)
        return await world.state("east-host-0", spec.job_id)

    assert run_virtual(play()) == "succeeded"


def test_a_finished_job_is_not_started_again_in_another_hall() -> None:
    """A frozen host resubmits the job when it resumes."""

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        owner = world.owner(0)
        assert owner
        frozen = next(n for n, hall in world.host_names() if hall == "east" and n != owner)
        world.freeze_host(frozen)
        spec = await _write_job_and_many_finished(world, shard=1)
        submission = asyncio.create_task(world.submit(frozen, spec, patience_s=20.0))
        world.kill_host(owner)
        _start_with_slow_snapshot(world, owner, 2.0)
        await world.wait_for("west-host-0", spec.job_id, "succeeded", limit_s=1.9)
        await world.ask(owner, spec.job_id)
        await asyncio.sleep(3.0)
        world.thaw(world.hosts[frozen])
        assert await submission == 200
        await asyncio.sleep(3.0)
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert [len(times) for times in world.starts.values()] == [1, 1]


async def _write_job_and_many_finished(world: HallWorld, *, shard: int) -> JobSpec:
    """Write a job, and so many finished jobs that their keys take more than one page."""
    spec = world.new_job(step(2, estimate_s=0.8))
    world.specs[spec.job_id] = spec
    world.store.put(JOBS, *encode(Submitted(spec, shard, 0.0, "life-x")))
    for _ in range(MAX_PAGE_KEYS):
        finished = world.new_job(step(1))
        world.specs[finished.job_id] = finished
        world.done.add(TaskName(finished.job_id, 0, 0, 0))
        world.store.put(JOBS, *encode(_finished(finished)))
    await asyncio.sleep(0.05)
    return spec


def _finished(spec: JobSpec) -> Finished:
    return Finished(spec.job_id, JobState.SUCCEEDED, 0, time.time(), spec.queue)


def _start_with_slow_snapshot(world: HallWorld, name: str, second_page_s: float) -> None:
    """Start a host whose first snapshot of the job keys has a slow second page."""
    world.store.page_delays[name, JOBS] = [0.0, second_page_s]
    world.start_host(name)
