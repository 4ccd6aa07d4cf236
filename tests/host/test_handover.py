"""Waiting jobs move or are delegated to a hall with capacity, and exactly one hall runs them."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual


def test_a_job_that_waits_for_capacity_moves_to_another_hall() -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        filler = world.new_job(step(3, cpu=8_000, estimate_s=30.0))
        await world.submit("east-host-0", filler)
        await asyncio.sleep(1.0)
        spec = world.new_job(step(2))
        await world.submit("east-host-0", spec)
        await world.wait_for("east-host-0", spec.job_id, "succeeded", limit_s=6.0)
        return world

    assert run_virtual(play()).problems == []


def test_standing_tasks_that_exceed_a_hall_are_delegated() -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        spec = world.new_job(step(5, standing=True, max_per_executor=1))
        await world.submit("east-host-0", spec)
        # Halls receive each other's announcements within three seconds of their start.
        await asyncio.sleep(6.0)
        assert running_count(world, spec.job_id) == 5
        front = world.hosts["west-host-0"].host.front
        await front.cancel(spec.job_id, asyncio.get_running_loop().time() + 3.0)
        await asyncio.sleep(3.0)
        assert running_count(world, spec.job_id) == 0
        return world

    assert run_virtual(play()).problems == []


def test_a_delegated_task_without_capacity_is_returned() -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west", "north"))
        await world.begin()
        spec = world.new_job(step(4, standing=True, max_per_executor=1))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(6.0)
        assert running_count(world, spec.job_id) == 4
        hall = delegated_hall(world, spec.job_id)
        filler = world.new_job(step(3, cpu=7_000, estimate_s=60.0))
        await world.submit(f"{hall}-host-0", filler)
        await asyncio.sleep(0.5)
        lost = next(a for a, e in world.executors.items() if a.startswith(hall) and e.running)
        world.crash_executor(lost, back=False)
        await asyncio.sleep(8.0)
        assert running_count(world, spec.job_id) == 4
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("seed", range(4))
def test_delegations_survive_their_owners(seed: int) -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"), seed=seed)
        await world.begin()
        spec = world.new_job(step(5, standing=True, max_per_executor=1))
        await world.submit("east-host-0", spec)
        for _ in range(4):
            await asyncio.sleep(world.random.uniform(0.3, 1.5))
            for shard in (0, 1):
                owner = world.owner(shard)
                if owner:
                    world.kill_host(owner)
                    await asyncio.sleep(world.random.uniform(0.05, 0.5))
                    world.start_host(owner)
        await asyncio.sleep(8.0)
        assert running_count(world, spec.job_id) == 5
        return world

    assert run_virtual(play()).problems == []


def running_count(world: HallWorld, job_id: str) -> int:
    """Return the number of running tasks of a job."""
    names = [t for e in world.executors.values() if e.alive for t in e.running]
    return sum(name.job_id == job_id for name in names)


def delegated_hall(world: HallWorld, job_id: str) -> str:
    """Return the hall other than east that runs a task of a job."""
    for address, executor in world.executors.items():
        hall = address.partition("-")[0]
        if hall != "east" and any(name.job_id == job_id for name in executor.running):
            return hall
    raise AssertionError("no task is delegated")


def test_tasks_of_a_moved_job_can_be_delegated_back() -> None:
    """Guards against a former home hall that rejects delegated tasks of a job that moved away.

    These tasks then run nowhere.
    """

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        filler = world.new_job(step(3, cpu=8_000, estimate_s=4.0))
        await world.submit("east-host-0", filler)
        await asyncio.sleep(1.0)
        spec = world.new_job(step(3, standing=True, max_per_executor=1))
        world.specs[spec.job_id] = spec
        world.store.put(JOBS, *encode(Submitted(spec, 0, 0.0, "life-x")))
        await asyncio.sleep(6.0)
        assert [row["tasks"] for row in world.log.named("WORK_HANDED_OVER")] == ["all"]
        assert running_count(world, spec.job_id) == 3
        world.crash_executor("west-0:1", back=False)
        await asyncio.sleep(8.0)
        assert running_count(world, spec.job_id) == 3
        return world

    assert run_virtual(play()).problems == []
