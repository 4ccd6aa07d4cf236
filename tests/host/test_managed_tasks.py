"""Each task of a standing job is managed by exactly one hall, also beside changes of owners."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.shard.recovery.progress import RunKey
from linkspan.store.types import Partition
from tests.hall_world import HallWorld
from tests.host.managed_day import UNDECODABLE, ManagedDay
from tests.host.owner_waits import until
from tests.job_builders import MAX_AWAY_S, step
from tests.managed_tasks import ManagedTasks
from tests.virtual_time import run_virtual

HALLS = ("east", "west", "north")
HOME = 0
TASKS = 4
"""One task more than a hall has executors."""


async def _returned_task(world: HallWorld) -> str:
    """Submit a job of which a task was delegated to the second hall and returned by it."""
    await world.begin()
    for index in range(world.executors_per_hall):
        world.resize(f"north-{index}:1", 100)
    spec = world.new_job(step(TASKS, standing=True, max_per_executor=1, cpu=1_000))
    await world.submit("east-host-0", spec)
    await asyncio.sleep(6.0)
    assert _count_running(world, spec.job_id) == TASKS
    for index in range(world.executors_per_hall):
        world.crash_executor(f"west-{index}:1", back=False)
    await asyncio.sleep(6.0)
    handed_over = [row["to_shard"] for row in world.log.named("WORK_HANDED_OVER")]
    assert handed_over == [1, HOME]
    return spec.job_id


async def _spoil_record(world: HallWorld, job_id: str) -> None:
    """Replace the owner of the job's home by one that cannot decode the job's record."""
    world.kill_host("east-host-0")
    key = RunKey(job_id, 0).encode()
    world.store.put(Partition("progress", HOME, keyed=True), key, UNDECODABLE)
    world.start_host("east-host-0")
    await asyncio.sleep(5.0)


def _count_running(world: HallWorld, job_id: str) -> int:
    alive = [e for e in world.executors.values() if e.alive]
    return sum(task.job_id == job_id for e in alive for task in e.running)


def test_a_task_is_delegated_again_by_an_owner_without_its_record() -> None:
    """Guards against TWICE: its delegation got the number of one that another hall had returned.

    Its home then counted the new delegation as returned, too, and managed the task beside the hall
    that got it.
    """

    async def play() -> HallWorld:
        world = HallWorld(halls=HALLS, hosts_per_hall=1)
        job_id = await _returned_task(world)
        await _spoil_record(world, job_id)
        before = len(world.log.named("WORK_HANDED_OVER"))
        for index in range(world.executors_per_hall):
            world.resize(f"north-{index}:1", world.milli_cpu)
        await until(lambda: len(world.log.named("WORK_HANDED_OVER")) > before, limit_s=MAX_AWAY_S)
        world.add_executor("east", "east-more:1")
        await asyncio.sleep(3.0)
        assert ManagedTasks(world).wrong() == {}
        assert _count_running(world, job_id) == TASKS
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("seed", (7001, 7007))
def test_each_task_has_one_owner_beside_handovers_and_changes_of_owners(seed: int) -> None:
    """Guards against a task that no hall manages, or two, after a handover."""
    assert run_virtual(ManagedDay(seed).play(), limit_s=400.0).problems == []


@pytest.mark.parametrize("seed", (33208,))
def test_a_task_beside_short_work_uses_room_in_another_hall(seed: int) -> None:
    """Guards against a task that stays by summaries without room between those that show it."""
    assert run_virtual(ManagedDay(seed).play(), limit_s=400.0).problems == []


@pytest.mark.parametrize("seed", (7000, 7105))
def test_each_task_has_one_owner_where_records_are_unreadable(seed: int) -> None:
    """Guards against a task that no hall manages, or two, after an unreadable record."""
    assert run_virtual(ManagedDay(seed, unreadable=True).play(), limit_s=400.0).problems == []
