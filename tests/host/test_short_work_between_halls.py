"""Short jobs of which nothing runs reach a hall with room for them.

Their own hall is full for good. A job counts as lost if nothing of it runs for 3 s beside room for
two of its tasks while less than half of the service is in use.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.jobs.spec import StepSpec
from tests.accepted_jobs import accept_in, count_running, seconds_until_running
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

MAX_IDLE_S = 3.0
"""Longest time for which nothing of a short job may run beside room for it twice over."""

OBSERVED_S = 15.0
"""Time for which a test waits for a start."""

SETTLE_S = 5.0
"""Time in which tasks start, and in which each hall has published its room."""

LONG_S = 200.0
"""Duration of the work that fills the first hall."""

EXECUTORS = 4
EXECUTOR_MILLI_CPU = 8_000


async def _world(*halls: str) -> HallWorld:
    """Return a world of halls of which the first is full."""
    world = HallWorld(halls=halls, hosts_per_hall=1, executors_per_hall=EXECUTORS)
    await world.begin()
    full = world.new_job(step(EXECUTORS, cpu=EXECUTOR_MILLI_CPU, estimate_s=LONG_S))
    accept_in(world, full)
    await asyncio.sleep(SETTLE_S)
    assert count_running(world, full.job_id) == EXECUTORS
    return world


async def _idle_s(world: HallWorld, *steps: StepSpec) -> float:
    """Accept a job in the first hall, and return after how long a first task runs."""
    spec = world.new_job(*steps)
    accept_in(world, spec)
    return await seconds_until_running(world, spec.job_id, 1, limit_s=OBSERVED_S)


@pytest.mark.parametrize("queued_milli_cpu", [100, 7_900])
def test_a_short_job_moves_to_a_hall_where_other_work_waits_for_good(queued_milli_cpu: int) -> None:
    """Guards against a task that no executor can take and that keeps all moves from its hall."""

    async def play() -> float:
        world = await _world("east", "west")
        spread = step(EXECUTORS + 2, cpu=queued_milli_cpu, standing=True, max_per_executor=1)
        waiting = world.new_job(spread)
        accept_in(world, waiting, shard=1)
        for number in range(EXECUTORS):
            world.resize(f"west-{number}:1", 2 * EXECUTOR_MILLI_CPU)
        await asyncio.sleep(SETTLE_S)
        assert count_running(world, waiting.job_id) == EXECUTORS
        return await _idle_s(world, step(1, cpu=1_000))

    assert run_virtual(play()) <= MAX_IDLE_S


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param((step(6 * EXECUTORS, cpu=2_000),), id="wider-than-any-hall"),
        pytest.param((step(2 * EXECUTORS, max_per_executor=1),), id="spread-wider-than-any-hall"),
        pytest.param(
            (step(1), step(6 * EXECUTORS, cpu=2_000, depends_on=(0,))), id="later-step-is-wide"
        ),
        pytest.param(
            (step(1), step(6 * EXECUTORS, cpu=2_000, standing=True, depends_on=(0,))),
            id="later-step-is-standing-and-wide",
        ),
        pytest.param(
            (step(1), step(EXECUTORS, cpu=8_000, gang=True, depends_on=(0,))),
            id="later-step-is-a-gang",
        ),
    ],
)
def test_a_job_begins_in_another_hall_that_has_room_for_a_part_of_it(
    steps: tuple[StepSpec, ...],
) -> None:
    """Guards against jobs that wait until one hall has room for all of a step at once."""

    async def play() -> float:
        world = await _world("east", "west", "north")
        for shard in (1, 2):
            beside = world.new_job(step(EXECUTORS, cpu=2_000, estimate_s=LONG_S))
            accept_in(world, beside, shard=shard)
        await asyncio.sleep(SETTLE_S)
        return await _idle_s(world, *steps)

    assert run_virtual(play()) <= MAX_IDLE_S
