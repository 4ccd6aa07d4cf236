"""How soon wide standing jobs with spread limits find their room over many halls.

The job of the planned size has 17 tasks. Each wrong hall delays a task, and each handover the job.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.accepted_jobs import accept_in, count_running, seconds_until_running
from tests.hall_world import HallWorld
from tests.job_builders import MAX_AWAY_S, step
from tests.virtual_time import run_virtual

TASKS = 17
SETTLE_S = 5.0
OBSERVED_S = 60.0
EXECUTOR_MILLI_CPU = 8_000


def _halls(count: int) -> tuple[str, ...]:
    return tuple(f"hall{number}" for number in range(count))


@pytest.mark.parametrize("spread", [1, 2])
@pytest.mark.parametrize("halls", [4, 12])
def test_a_wide_job_finds_its_room_over_many_halls(halls: int, spread: int) -> None:
    """Guards against tasks that wait behind the handovers of others, one hall after the other."""

    async def play() -> float:
        executors = -(-TASKS // (halls * spread)) + 1
        world = HallWorld(halls=_halls(halls), hosts_per_hall=1, executors_per_hall=executors)
        await world.begin()
        await asyncio.sleep(SETTLE_S)
        spec = world.new_job(step(TASKS, cpu=3_000, standing=True, max_per_executor=spread))
        accept_in(world, spec)
        return await seconds_until_running(world, spec.job_id, TASKS, limit_s=OBSERVED_S)

    assert run_virtual(play()) <= MAX_AWAY_S


async def _spread_over(count: int) -> tuple[HallWorld, str]:
    """Return a world of halls that each run a task of a job, and the job's id.

    Each hall has one executor with free cores, which runs the task, and another one that is full.
    """
    world = HallWorld(halls=_halls(count), hosts_per_hall=1, executors_per_hall=2)
    await world.begin()
    for shard in range(count):
        _fill(world, shard, EXECUTOR_MILLI_CPU)
    _fill(world, count - 1, 5_500)
    await asyncio.sleep(SETTLE_S)
    spread = world.new_job(step(count, cpu=1_000, standing=True, max_per_executor=1))
    accept_in(world, spread)
    await asyncio.sleep(6 * SETTLE_S)
    assert count_running(world, spread.job_id) == count
    return world, spread.job_id


def _fill(world: HallWorld, shard: int, milli_cpu: int) -> None:
    accept_in(world, world.new_job(step(1, cpu=milli_cpu, estimate_s=500.0)), shard=shard)


async def _seconds_without_a_task(world: HallWorld, job_id: str) -> float:
    """Crash the executor of the first hall that runs a task, and wait until it runs again."""
    hall = world.halls[0]
    (lost,) = (
        e.record.address
        for e in world.executors.values()
        if e.record.hall == hall and any(t.job_id == job_id for t in e.running)
    )
    world.crash_executor(lost, back=False)
    return await seconds_until_running(world, job_id, len(world.halls), limit_s=OBSERVED_S)


@pytest.mark.parametrize("halls", [4, 12])
def test_a_task_finds_its_room_past_executors_at_the_spread_limit(halls: int) -> None:
    """Guards against searches behind free cores on executors that run another task of the step.

    The last hall has a further executor, and publishes the fewest free cores.
    """

    async def play() -> float:
        world, job_id = await _spread_over(halls)
        world.milli_cpu = 1_500
        world.add_executor(world.halls[-1], "late:1")
        await asyncio.sleep(SETTLE_S)
        return await _seconds_without_a_task(world, job_id)

    assert run_virtual(play()) <= MAX_AWAY_S


@pytest.mark.parametrize("halls", [4, 12])
def test_a_task_finds_the_only_room_among_halls_that_look_alike(halls: int) -> None:
    """Guards against a search that costs seconds in each hall whose free cores it can't use.

    The last hall has a further executor, too, but the one that runs a task is full there.
    """

    async def play() -> float:
        world, job_id = await _spread_over(halls)
        _fill(world, halls - 1, 1_500)
        await asyncio.sleep(SETTLE_S)
        world.milli_cpu = 1_500
        world.add_executor(world.halls[-1], "late:1")
        await asyncio.sleep(SETTLE_S)
        return await _seconds_without_a_task(world, job_id)

    assert run_virtual(play()) <= MAX_AWAY_S
