"""Jobs that are accepted for a given hall, as by a host with an outdated view of the halls."""

from __future__ import annotations

import asyncio

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec
from tests.hall_world import HallWorld
from tests.virtual_time import world_time

POLL_S = 0.05


def accept_in(world: HallWorld, spec: JobSpec, shard: int = 0) -> None:
    """Accept a job for a hall, whatever the summaries of the halls say."""
    world.specs[spec.job_id] = spec
    world.store.put(JOBS, *encode(Submitted(spec, shard, 0.0, "life-x")))
    world.accepted.add(spec.job_id)


def count_running(world: HallWorld, job_id: str) -> int:
    """Return how many tasks of a job executors run."""
    return len(
        {t for e in world.executors.values() if e.alive for t in e.running if t.job_id == job_id}
    )


async def seconds_until_running(
    world: HallWorld, job_id: str, tasks: int, *, limit_s: float
) -> float:
    """Return the time until as many tasks of a job run, or the limit."""
    since = world_time()
    while count_running(world, job_id) < tasks and world_time() - since < limit_s:
        await asyncio.sleep(POLL_S)
    return world_time() - since
