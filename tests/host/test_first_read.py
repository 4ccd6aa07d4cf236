"""A job that was done was started again, in another hall, by a host that had just started.

What was seen: run 1 of two tasks ended well in one hall and was taken note of. Seconds
later, after most hosts had been killed and had started again, the owner of another hall
began run 1 of the same tasks.

How it came about: a host that starts lists the newest record of each job key, page by
page, while callers already ask it for jobs; each question listed the keys once more,
beside the first listing. A job ended between the first page of one listing and its
last: the early page did not yet have the job's end, the late page had its submission no
more. The other listing had the end, but was applied first; the older one then forgot
the job, and what had been written since was not read again. A host that had stood still
in the meantime sent in the job once more, for its own hall, and there it counted as new.

What proved it: the tests below; the first of them needs nothing but one host.
"""

from __future__ import annotations

import asyncio
import time

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Finished, JobState, Submitted, Tombstone
from linkspan.jobs.spec import JobSpec
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins.memory_store import LISTED_KEYS
from tests.virtual_time import run_virtual

SECOND_PAGE_S = 0.4
"""Time that the second page of the first listing takes."""


def test_an_older_listing_does_not_forget_a_finished_job() -> None:
    """The job is asked for while the host reads the records for the first time."""

    async def play() -> str:
        world = HallWorld(hosts_per_hall=1, executors_per_hall=0)
        await world.begin()
        spec = await _waiting_beside_many(world, shard=0)
        world.kill_host("east-host-0")
        _start_with_slow_listing(world, "east-host-0", SECOND_PAGE_S)
        await asyncio.sleep(SECOND_PAGE_S / 2)
        for record in (_finished(spec), Tombstone("s", spec.job_id, "life-x")):
            world.store.put(JOBS, *encode(record))
        await world.ask("east-host-0", spec.job_id)
        await asyncio.sleep(2 * SECOND_PAGE_S)
        return await world.state("east-host-0", spec.job_id)

    assert run_virtual(play()) == "succeeded"


def test_a_finished_job_is_not_started_again_in_another_hall() -> None:
    """A host that stood still sends the job in once more when it goes on."""

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        owner = world.owner(0)
        assert owner
        still = next(n for n, hall in world.host_names() if hall == "east" and n != owner)
        world.freeze_host(still)
        spec = await _waiting_beside_many(world, shard=1)
        late = asyncio.create_task(world.submit(still, spec, patience_s=20.0))
        world.kill_host(owner)
        _start_with_slow_listing(world, owner, 2.0)
        await world.wait_for("west-host-0", spec.job_id, "succeeded", limit_s=1.9)
        await world.ask(owner, spec.job_id)
        await asyncio.sleep(3.0)
        world.thaw(world.hosts[still])
        assert await late == 200
        await asyncio.sleep(3.0)
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert [len(times) for times in world.starts.values()] == [1, 1]


async def _waiting_beside_many(world: HallWorld, *, shard: int) -> JobSpec:
    """Write a job and so many that are done that their keys take more than a page."""
    spec = world.new_job(step(2, estimate_s=0.8))
    world.specs[spec.job_id] = spec
    world.store.put(JOBS, *encode(Submitted(spec, shard, 0.0, "life-x")))
    for _ in range(LISTED_KEYS):
        world.store.put(JOBS, *encode(_finished(world.new_job(step(1)))))
    await asyncio.sleep(0.05)
    return spec


def _finished(spec: JobSpec) -> Finished:
    return Finished(spec.job_id, JobState.SUCCEEDED, 0, time.time(), spec.queue)


def _start_with_slow_listing(world: HallWorld, name: str, second_page_s: float) -> None:
    """Start a host whose first listing of the jobs takes long for its second page."""
    world.store.page_delays[name, JOBS] = [0.0, second_page_s]
    world.start_host(name)
