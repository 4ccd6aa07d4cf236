"""Tests of a review of the waits of standing tasks that begin with the loss of an owner.

In each test, executors have room for two of the task all the time, or from 3 s after its loss.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld
from tests.job_builders import MAX_AWAY_S, step
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import run_virtual, world_time

LEASE_S = 6.0
"""The shortest lease that executors grant."""

LONG_TENURE_S = 30.0
"""Time after which no owner before the present one may act any more."""

OBSERVED_S = 40.0
"""Time for which a test waits for a start."""

HANDOVER_BEGINS_S = 1.4
"""Time after a crash by which a task has not yet been handed over, but soon is."""

HOME_HAS_ROOM_S = 3.0
"""Time after a crash at which the home hall has room again."""

HALLS = 8
"""Halls of a large deployment, two thirds of the planned ones."""

SETTLED_S = 5.0
"""Time in which tasks start, and in which each hall has published its room."""

TASKS = 2
"""Tasks of the job, each on an executor of its own."""


def _addresses(world: HallWorld, job_id: str) -> dict[int, str]:
    """Return the addresses of the executors that run a job's tasks, by index."""
    return {
        task.index: executor.record.address
        for executor in world.executors.values()
        if executor.alive
        for task in executor.running
        if task.job_id == job_id
    }


async def _start_job(world: HallWorld) -> str:
    """Start a job of standing tasks in the first hall, and return its id."""
    await world.begin()
    spec = world.new_job(step(TASKS, standing=True, cpu=4_000, max_per_executor=1))
    await world.submit("east-host-0", spec)
    await asyncio.sleep(LONG_TENURE_S)
    assert len(_addresses(world, spec.job_id)) == TASKS
    return spec.job_id


def _end_run(executor: MemoryExecutor, job_id: str) -> None:
    """Let the run of a job's task fail, which the executor reports."""
    for run in executor.running.values():
        if run.task.job_id == job_id:
            run.ends_at, run.fails = world_time(), True
    executor.advance()


async def _seconds_until_all_run(
    world: HallWorld, job_id: str, tasks: int = TASKS, *, since: float
) -> float:
    while len(_addresses(world, job_id)) < tasks and world_time() - since < OBSERVED_S:
        await asyncio.sleep(0.1)
    return world_time() - since


@pytest.mark.parametrize("idle", [False, True])
def test_a_task_is_at_work_soon_after_a_planned_stop_of_its_owner(idle: bool) -> None:
    """Guards against a wait for the former owner, which has released the hall, at a lost executor.

    The executor of the task, or an idle one, crashes immediately before the stop, so that it does
    not answer the next owner. No machine service tells that it has ended.
    """

    async def play() -> float:
        world = HallWorld(
            hosts_per_hall=2, executors_per_hall=5, lists_machines=False, max_lease_s=LEASE_S
        )
        job_id = await _start_job(world)
        addresses = _addresses(world, job_id)
        unused = sorted(set(world.executors) - set(addresses.values()))
        owner = world.owner()
        assert owner
        world.crash_executor(unused[0] if idle else addresses[0], back=False)
        lost_at = world_time()
        stopping = asyncio.create_task(world.remove_host(owner))
        if idle:
            await stopping
            _end_run(world.executors[addresses[0]], job_id)
            lost_at = world_time()
        waited_s = await _seconds_until_all_run(world, job_id, since=lost_at)
        await stopping
        return waited_s

    assert run_virtual(play()) <= MAX_AWAY_S


def test_a_task_delegated_to_a_hall_without_an_owner_is_at_work_soon() -> None:
    """Guards against a task that waits for a claim of another hall, with room for it at home.

    The other hall has lost its only host, and its last summary counts for as long as it has no
    owner. The home hall does not take the task back when it has room again.
    """

    async def play() -> float:
        world = HallWorld(halls=("east", "west"), hosts_per_hall=1, executors_per_hall=TASKS)
        job_id = await _start_job(world)
        assert set(_addresses(world, job_id).values()) == {"east-0:1", "east-1:1"}
        world.crash_executor("east-0:1", back=False)
        lost_at = world_time()
        await asyncio.sleep(HANDOVER_BEGINS_S)
        world.kill_host("west-host-0")
        await asyncio.sleep(HOME_HAS_ROOM_S - HANDOVER_BEGINS_S)
        for name in ("east-2:1", "east-3:1"):
            world.add_executor("east", name)
        return await _seconds_until_all_run(world, job_id, since=lost_at)

    assert run_virtual(play()) <= MAX_AWAY_S


def test_a_task_reaches_the_only_hall_with_room_for_it_in_time() -> None:
    """Guards against a task that is delegated in vain to one hall after the other.

    Each hall publishes free cores on executors at the step's spread limit, keeps the task for a
    second and returns it. The hall with room for it publishes the fewest free cores.
    """

    async def play() -> float:
        halls = tuple(f"hall{number}" for number in range(HALLS))
        last = halls[-1]
        world = HallWorld(halls=halls, hosts_per_hall=1, executors_per_hall=2)
        await world.begin()
        filling = world.new_job(step(2, standing=True, cpu=7_500, max_per_executor=1))
        await world.submit(f"{last}-host-0", filling)
        await asyncio.sleep(SETTLED_S)
        spread = world.new_job(step(2 * HALLS - 2, standing=True, max_per_executor=1))
        await world.submit(f"{halls[0]}-host-0", spread)
        await asyncio.sleep(4 * SETTLED_S)
        assert len(_addresses(world, spread.job_id)) == 2 * HALLS - 2
        for number in range(2):
            world.resize(f"{last}-{number}:1", 9_000)
        await asyncio.sleep(SETTLED_S)
        world.crash_executor(_addresses(world, spread.job_id)[0], back=False)
        lost_at = world_time()
        return await _seconds_until_all_run(world, spread.job_id, 2 * HALLS - 2, since=lost_at)

    assert run_virtual(play()) <= MAX_AWAY_S
