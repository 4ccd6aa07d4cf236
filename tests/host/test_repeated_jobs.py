"""Jobs that run many times, at owners that follow each other, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from linkspan.store.types import Partition
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.repeated_jobs import repeated
from tests.virtual_time import run_virtual

TIMES = 60
PROGRESS = Partition("progress", 0, keyed=True)


def _progress_keys(world: HallWorld) -> set[bytes]:
    newest = {entry.key: entry.value for entry in world.store.log(PROGRESS).entries}
    return {key for key, value in newest.items() if value}


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("interval_s", [0.0, 0.2])
def test_each_repetition_runs_once_where_owners_are_killed(seed: int, interval_s: float) -> None:
    """Guards against a next owner that runs repetitions again, or skips some."""

    async def play() -> HallWorld:
        world = HallWorld(seed=seed, lost_answer_share=0.05, late_share=0.05)
        await world.begin()
        spec = world.new_job(step(2, cpu=1_500, estimate_s=0.4), step(1, depends_on=(0,)))
        spec = repeated(spec, TIMES, after_s=4.0, interval_s=interval_s)
        assert await world.submit("east-host-0", spec) == 200
        for number in range(4):
            await asyncio.sleep(2.7 + 0.13 * seed)
            if number == 2:
                world.store.forget(PROGRESS)
            owner = world.owner()
            if owner:
                world.kill_host(owner)
                await asyncio.sleep(0.4)
                world.start_host(owner)
        await world.wait_for("east-host-0", spec.job_id, "succeeded", limit_s=200.0)
        return world

    world = run_virtual(play())
    assert world.problems == []
    repetitions = Counter(task.repetition for task in world.starts)
    assert repetitions == dict.fromkeys(range(TIMES), 3)


def test_a_job_leaves_no_record_for_each_repetition_that_is_done() -> None:
    """Guards against claims that read a record for each repetition since the job began."""

    async def play() -> int:
        world = HallWorld()
        await world.begin()
        spec = repeated(world.new_job(step(1, estimate_s=0.1)), 200, after_s=2.5, interval_s=0.1)
        assert await world.submit("east-host-0", spec) == 200
        most = 0
        while await world.state("east-host-0", spec.job_id) != "succeeded":
            await asyncio.sleep(0.2)
            most = max(most, len(_progress_keys(world)))
        await asyncio.sleep(2.0)
        assert _progress_keys(world) <= {b"roster"}
        assert world.problems == []
        return most

    assert run_virtual(play()) < 30
