"""The log lines of all hosts explain a start in one hall and a second start in another."""

from __future__ import annotations

import asyncio

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Moved
from linkspan.trace import repeated_starts, trace
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual


def test_a_second_start_names_the_record_by_which_its_owner_accepted_the_job() -> None:
    """The test writes the record of the move: an owner does not move a job that has begun."""

    async def play() -> tuple[HallWorld, str, int]:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        spec = world.new_job(step(1), step(1, estimate_s=20.0, depends_on=(0,)))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(3.0)
        (accepted,) = world.log.named("JOB_TAKEN_IN")
        home = accepted["shard"]
        world.store.put(JOBS, *encode(Moved(spec.job_id, 1 - home)))
        await asyncio.sleep(3.0)
        return world, spec.job_id, home

    world, job_id, home = run_virtual(play())
    first, second = repeated_starts(trace(job_id, world.log.as_log()))["0.0.0"]
    assert (first.run, second.run) == ("1", "1")
    assert (first.shard, second.shard) == (str(home), str(1 - home))
    assert first.host != second.host
    assert first.reason.startswith("new offset=")
    accepted = world.log.named("JOB_TAKEN_IN")[-1]
    assert second.reason.startswith("new moved ")
    assert f"moved_at={accepted['moved_at']}" in second.reason
