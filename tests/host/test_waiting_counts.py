"""Tests the number of waiting jobs that callers receive, and the lines about it."""

from __future__ import annotations

import asyncio

from tests.hall_world import HallWorld
from tests.host.waiting_jobs import count_waiting
from tests.job_builders import step
from tests.virtual_time import run_virtual


def test_a_begun_job_and_each_count_leave_a_line() -> None:
    """Guards against a count that no log line explains."""

    async def play() -> tuple[HallWorld, str]:
        world = HallWorld()
        await world.begin()
        job = world.new_job(step(1, estimate_s=5.0))
        await world.submit("east-host-0", job)
        await asyncio.sleep(2.0)
        assert await count_waiting(world, "east-host-0") == 0
        return world, job.job_id

    world, job_id = run_virtual(play())
    (begun,) = world.log.named("JOB_BEGUN")
    assert (begun["job"], begun["confirmed"], begun["unanswered"]) == (job_id, 1, 0)
    (counted,) = world.log.named("WAITING_COUNTED")
    assert (counted["queue"], counted["waiting"]) == (world.queue.name, 0)
    assert 0.0 <= counted["view_age_s"] < 0.1
