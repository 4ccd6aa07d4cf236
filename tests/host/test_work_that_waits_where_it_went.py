"""Jobs that can no longer move start when their hall is full and another one has room.

A job counts as lost if nothing of it runs for 3 s beside room for two of its tasks while less than
half of the service is in use.
"""

from __future__ import annotations

import asyncio

from tests.accepted_jobs import accept_in, count_running, seconds_until_running
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

MAX_IDLE_S = 3.0
OBSERVED_S = 15.0
SETTLE_S = 5.0
LONG_S = 500.0
EXECUTORS = 4
EXECUTOR_MILLI_CPU = 8_000


async def _world() -> HallWorld:
    world = HallWorld(
        halls=("east", "west", "north"), hosts_per_hall=1, executors_per_hall=EXECUTORS
    )
    await world.begin()
    return world


def _fill(world: HallWorld, shard: int, *, cpu: int = EXECUTOR_MILLI_CPU) -> str:
    """Fill a hall, and return the id of the job that does."""
    spec = world.new_job(step(EXECUTORS, cpu=cpu, estimate_s=LONG_S))
    accept_in(world, spec, shard)
    return spec.job_id


def test_a_job_that_moved_into_a_hall_that_became_full_starts() -> None:
    """Guards against a job that waits for good where it moved by an outdated summary.

    The hall took other work while the job was on its way, and the job's first hall has room again.
    """

    async def play() -> float:
        world = await _world()
        filling = _fill(world, 0)
        await asyncio.sleep(SETTLE_S)
        spec = world.new_job(step(1, cpu=1_000))
        accept_in(world, spec)
        while not world.log.named("WORK_HANDED_OVER"):
            await asyncio.sleep(0.001)
        (moved,) = world.log.named("WORK_HANDED_OVER")
        _fill(world, moved["to_shard"])
        await asyncio.sleep(1.0)
        assert count_running(world, spec.job_id) == 0
        assert await world.cancel("east-host-0", filling) == 200
        return await seconds_until_running(world, spec.job_id, 1, limit_s=OBSERVED_S)

    assert run_virtual(play()) <= MAX_IDLE_S


def test_a_later_step_of_a_job_that_has_begun_starts() -> None:
    """Guards against a job of which nothing runs, as it has begun and its hall became full."""

    async def play() -> float:
        world = await _world()
        spec = world.new_job(step(1, estimate_s=SETTLE_S), step(2, depends_on=(0,)))
        accept_in(world, spec)
        await asyncio.sleep(1.0)
        assert count_running(world, spec.job_id) == 1
        _fill(world, 0, cpu=EXECUTOR_MILLI_CPU - 1_000)
        others = [_fill(world, shard) for shard in (1, 2)]
        await asyncio.sleep(1.0)
        # The executor of the first step takes its share of these once that step has ended. They
        # have begun, too, so the other halls are full until then.
        rest = _fill(world, 0, cpu=1_000)
        while count_running(world, rest) < EXECUTORS:
            await asyncio.sleep(0.05)
        assert count_running(world, spec.job_id) == 0
        for job_id in others:
            assert await world.cancel("east-host-0", job_id) == 200
        while any(count_running(world, job_id) for job_id in others):
            await asyncio.sleep(0.05)
        assert count_running(world, spec.job_id) == 0
        return await seconds_until_running(world, spec.job_id, 1, limit_s=OBSERVED_S)

    assert run_virtual(play()) <= MAX_IDLE_S
