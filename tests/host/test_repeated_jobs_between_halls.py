"""Jobs that run many times, with tasks delegated between halls, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.repeated_jobs import repeated
from tests.virtual_time import run_virtual

TIMES = 25


@pytest.mark.parametrize("seed", range(8))
def test_repetitions_that_run_in_two_halls_run_once_where_owners_are_killed(seed: int) -> None:
    """Guards against delegated tasks of repetitions that a next owner has not opened."""

    async def play() -> HallWorld:
        world = HallWorld(
            halls=("east", "west"), executors_per_hall=1, seed=seed, lost_answer_share=0.05
        )
        await world.begin()
        specs = [
            repeated(
                world.new_job(step(6, cpu=2_000, estimate_s=0.7), step(1, depends_on=(0,))),
                TIMES,
                after_s=3.0 + 0.1 * seed,
                interval_s=0.6,
            )
            for _ in range(2)
        ]
        for spec in specs:
            assert await world.submit("east-host-0", spec) == 200
        for number in range(6):
            await asyncio.sleep(2.3 + 0.17 * seed)
            shard = (number + seed) % 2
            owner = world.owner(shard)
            if owner:
                world.kill_host(owner)
                await asyncio.sleep(0.3)
                world.start_host(owner)
        for spec in specs:
            await world.wait_for("east-host-0", spec.job_id, "succeeded", limit_s=300.0)
        assert any(line["tasks"] != "all" for line in world.log.named("WORK_HANDED_OVER"))
        return world

    world = run_virtual(play())
    assert world.problems == []
    counts = Counter((task.job_id, task.repetition) for task in world.starts)
    assert set(counts.values()) == {7}
    assert len(counts) == 2 * TIMES
