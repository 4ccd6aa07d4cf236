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
@pytest.mark.parametrize("halls", [4, 8, 12])
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


@pytest.mark.parametrize("halls", [4, 8, 12])
def test_a_task_finds_its_room_past_executors_at_the_spread_limit(halls: int) -> None:
    """Guards against searches behind free cores on executors that run another task of the step.

    Each hall has one executor with free cores, which runs a task of the step, and another one that
    is full. The last hall has a further one, and publishes the fewest free cores.
    """

    async def play() -> float:
        names = _halls(halls)
        world = HallWorld(halls=names, hosts_per_hall=1, executors_per_hall=2)
        await world.begin()
        spread = world.new_job(step(halls, cpu=1_000, standing=True, max_per_executor=1))
        for shard in range(halls):
            full = world.new_job(step(1, cpu=EXECUTOR_MILLI_CPU, estimate_s=500.0))
            accept_in(world, full, shard=shard)
        beside = world.new_job(step(1, cpu=5_500, estimate_s=500.0))
        accept_in(world, beside, shard=halls - 1)
        await asyncio.sleep(SETTLE_S)
        accept_in(world, spread)
        await asyncio.sleep(6 * SETTLE_S)
        assert count_running(world, spread.job_id) == halls
        world.milli_cpu = 1_500
        world.add_executor(names[-1], "late:1")
        await asyncio.sleep(SETTLE_S)
        home = next(
            e
            for e in world.executors.values()
            if e.record.hall == names[0] and any(t.job_id == spread.job_id for t in e.running)
        )
        world.crash_executor(home.record.address, back=False)
        return await seconds_until_running(world, spread.job_id, halls, limit_s=OBSERVED_S)

    assert run_virtual(play()) <= MAX_AWAY_S
