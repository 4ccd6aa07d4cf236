"""All hosts restart at once and read the store at different speeds, while jobs run."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.jobs.job_registry import JOBS
from tests.hall_executors import EXECUTORS
from tests.hall_world import CONFIGURATION, HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

SLOWEST_S = 3.0
"""Longest time until an answer has been received completely."""

READ_ANSWERS = 4
"""Upper bound, with a margin, of the consecutive answers that a first read takes."""


@pytest.mark.parametrize("seed", range(10))
def test_all_jobs_end_once_whichever_host_reads_slowly(seed: int) -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"), seed=seed, late_share=0.1)
        await world.begin()
        specs = [
            world.new_job(step(2, estimate_s=1.0), step(1, estimate_s=3.0, depends_on=(0,)))
            for _ in range(8)
        ]
        names = list(world.hosts)
        for spec in specs:
            await world.submit(world.random.choice(names), spec)
            await asyncio.sleep(world.random.uniform(0.0, 0.4))
        for name in names:
            world.kill_host(name)
        for name in names:
            for partition in (JOBS, CONFIGURATION, EXECUTORS):
                duration_s = world.random.uniform(0.0, SLOWEST_S)
                world.store.read_duration_s[name, partition.topic] = duration_s
            world.start_host(name)
        await asyncio.sleep(READ_ANSWERS * SLOWEST_S)
        assert all(running.host.caught_up for running in world.hosts.values())
        for spec in specs:
            for name in names:
                await world.wait_for(name, spec.job_id, "succeeded", limit_s=60.0)
        return world

    world = run_virtual(play())
    assert world.problems == []
