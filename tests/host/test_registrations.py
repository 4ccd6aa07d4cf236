"""Tests of what executors' entries in the store mean, and of what follows when one is missing.

An entry expires when its executor no longer writes it: the executor crashed, or it is cut off
from the store and runs on. Owners grant a missing entry a grace period before they act.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.shard.messages import TaskName
from tests.hall_executors import EXECUTORS
from tests.hall_world import HallWorld
from tests.host.short_work import assert_each_began_once, begin, run_short, running_count
from tests.job_builders import step
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import run_virtual

BACK_S = 1.9
"""Time after the store's return by which the entry of a running executor is back."""

GRACE_S = 3.2
"""A little more than the grace period of a missing entry.

The owner reads after half a second that the entry is gone, and then waits for 2.5 s.
"""


def remove_entry(world: HallWorld, executor: MemoryExecutor) -> None:
    """Remove an executor's entry while the executor keeps running."""
    world.store.put(EXECUTORS, executor.record.executor_id.encode(), b"")


def test_an_entry_that_does_not_change_stays_valid() -> None:
    """An entry is written repeatedly, and changes only when its content does."""

    async def play() -> HallWorld:
        world = HallWorld()
        await begin(world, standing=3)
        await asyncio.sleep(60.0)
        assert running_count(world) == 3
        assert await run_short(world, 6) < 2.0
        return world

    assert_each_began_once(run_virtual(play()), 9)


def test_entries_that_expire_while_the_store_is_down_cost_nothing() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await begin(world, standing=3)
        world.store.refusing.update(world.hosts)
        await asyncio.sleep(4.0)
        for executor in world.executors.values():
            remove_entry(world, executor)
        await asyncio.sleep(2.0)
        world.store.refusing.clear()
        await asyncio.sleep(0.7)
        assert await run_short(world, 6) < 2.0
        await asyncio.sleep(BACK_S - 0.7)
        for executor in world.executors.values():
            world.register(executor)
        await asyncio.sleep(10.0)
        assert running_count(world) == 3
        return world

    assert_each_began_once(run_virtual(play()), 9)


def test_the_grace_period_restarts_when_the_store_goes_down_again() -> None:
    """Executors cannot write while the store is down, so that time proves nothing about them."""

    async def play() -> HallWorld:
        world = HallWorld()
        await begin(world, standing=3)
        world.store.refusing.update(world.hosts)
        for executor in world.executors.values():
            remove_entry(world, executor)
        await asyncio.sleep(4.0)
        world.store.refusing.clear()
        await asyncio.sleep(1.0)
        world.store.refusing.update(world.hosts)
        await asyncio.sleep(4.0)
        world.store.refusing.clear()
        await asyncio.sleep(0.7)
        world.register(next(iter(world.executors.values())))
        await asyncio.sleep(0.1)
        # More tasks than fit on one executor.
        assert await run_short(world, 9) < 2.0
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert all(e.last_number for e in world.executors.values())


def test_an_executor_whose_entry_stays_missing_gets_no_new_work() -> None:
    """Its executor ended without announcing a drain, or its entry expired for good."""

    async def play() -> HallWorld:
        world = HallWorld()
        await begin(world)
        missing = next(iter(world.executors.values()))
        remove_entry(world, missing)
        await asyncio.sleep(GRACE_S)
        # More tasks than fit on the two others at once.
        await run_short(world, 20)
        assert missing.last_number == 0
        await asyncio.sleep(30.0)
        await run_short(world, 20)
        assert missing.last_number == 0
        return world

    world = run_virtual(play())
    assert world.problems == []


def test_an_entry_that_comes_back_late_is_valid_again() -> None:
    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=1)
        await begin(world, standing=1)
        only = next(iter(world.executors.values()))
        remove_entry(world, only)
        await asyncio.sleep(20.0)
        world.register(only)
        await asyncio.sleep(0.5)
        assert await run_short(world, 2) < 2.0
        assert running_count(world) == 1
        return world

    assert_each_began_once(run_virtual(play()), 3)


def test_a_draining_executor_is_vacated_and_gets_no_new_work() -> None:
    """A draining executor may keep running for many seconds longer than it announced."""

    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=4)
        await begin(world, standing=3)
        leaving = next(e for e in world.executors.values() if e.running)
        world.register(leaving, draining=True)
        await asyncio.sleep(2.0)
        assert not leaving.running
        assert running_count(world) == 3
        number_before = leaving.last_number
        for _ in range(6):
            # More tasks than fit on the others at once.
            await run_short(world, 20)
            await asyncio.sleep(1.0)
        assert leaving.last_number == number_before
        world.crash_executor(leaving.record.address, back=False)
        await asyncio.sleep(5.0)
        assert running_count(world) == 3
        return world

    world = run_virtual(play())
    assert world.problems == []


def test_an_executor_whose_entry_stays_missing_is_vacated_before_it_ends() -> None:
    """Some never announce a drain; without a machine service their end shows only after a lease."""

    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=4, lists_machines=False)
        await begin(world, standing=3)
        leaving = next(e for e in world.executors.values() if e.running)
        remove_entry(world, leaving)
        await asyncio.sleep(6.0)
        assert not leaving.running
        world.crash_executor(leaving.record.address, back=False)
        await asyncio.sleep(0.5)
        assert running_count(world) == 3
        return world

    assert run_virtual(play()).problems == []


def test_tasks_of_a_step_leave_a_missing_executor_one_at_a_time() -> None:
    """The executor may be healthy and cut off from the store only."""

    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=1)
        spec = world.new_job(step(4, standing=True, cpu=1_000))
        await world.begin()
        only = next(iter(world.executors.values()))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(1.0)
        world.add_executor("east", "east-9:1")
        await asyncio.sleep(1.0)
        remove_entry(world, only)
        min_running = 4
        for _ in range(200):
            await asyncio.sleep(0.1)
            min_running = min(min_running, running_count(world))
        assert not only.running
        assert min_running == 3
        return world

    assert run_virtual(play()).problems == []


def test_new_owners_grant_missing_entries_the_grace_period_too() -> None:
    """New owners never read entries that expired before they started."""

    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=4)
        await begin(world, standing=3)
        busy = [e for e in world.executors.values() if e.running]
        for name in list(world.hosts):
            world.kill_host(name)
        for executor in busy:
            remove_entry(world, executor)
        for name, _ in world.host_names():
            world.start_host(name)
        await asyncio.sleep(BACK_S)
        for executor in busy:
            world.register(executor)
        await asyncio.sleep(10.0)
        assert running_count(world) == 3
        return world

    assert_each_began_once(run_virtual(play()), 3)


def test_runs_on_an_executor_with_a_missing_entry_end_there_once() -> None:
    """The executor keeps running: its ends count, and none of its tasks is started again."""

    async def play() -> HallWorld:
        world = HallWorld()
        await begin(world)
        spec = world.new_job(step(6, estimate_s=6.0, cpu=4_000))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(0.5)
        missing = next(iter(world.executors.values()))
        assert missing.running
        remove_entry(world, missing)
        await world.wait_for("east-host-1", spec.job_id, "succeeded", limit_s=9.0)
        return world

    assert_each_began_once(run_virtual(play()), 6)


@pytest.mark.parametrize(("lists_machines", "limit_s"), [(True, 4.0), (False, 13.0)])
def test_runs_lost_with_an_executor_are_started_again(lists_machines: bool, limit_s: float) -> None:
    """The machine service proves the executor's end within seconds, else its lease does."""

    async def play() -> HallWorld:
        world = HallWorld(lists_machines=lists_machines)
        await begin(world)
        spec = world.new_job(step(3, estimate_s=200.0, cpu=4_000))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(0.5)
        missing = next(e for e in world.executors.values() if e.running)
        lost = len(missing.running)
        remove_entry(world, missing)
        await asyncio.sleep(6.0)
        assert len(missing.running) == lost
        world.crash_executor(missing.record.address, back=False)
        await asyncio.sleep(limit_s)
        assert running_count(world) == 3
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("seed", range(8))
def test_expired_entries_among_other_faults_break_no_promise(seed: int) -> None:
    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=5, seed=seed, lists_machines=seed % 2 == 0)
        await begin(world, standing=4)
        jobs = asyncio.create_task(_keep_running(world))
        for _ in range(8):
            await asyncio.sleep(world.random.uniform(0.2, 3.0))
            await _cause_fault(world)
        await jobs
        await asyncio.sleep(30.0)
        assert sum(world.step_of(task).standing for task in running(world)) == 4
        return world

    assert run_virtual(play()).problems == []


def running(world: HallWorld) -> list[TaskName]:
    return [task for e in world.executors.values() if e.alive for task in e.running]


async def _keep_running(world: HallWorld) -> None:
    for _ in range(20):
        await asyncio.sleep(world.random.uniform(0.2, 1.5))
        if world.hosts:
            spec = world.new_job(step(3, estimate_s=world.random.uniform(0.3, 4.0)))
            await world.submit(world.random.choice(sorted(world.hosts)), spec)


async def _cause_fault(world: HallWorld) -> None:
    kind = world.random.choice(("lapse", "lapse", "leave", "leave", "kill owner", "store away"))
    if kind == "kill owner":
        name = world.owner()
        if name:
            world.kill_host(name)
            world.start_host(name)
        return
    victims = world.random.sample([e for e in world.executors.values() if e.alive], 2)
    if kind == "store away":
        world.store.refusing.update(name for name, _ in world.host_names())
    for executor in victims if kind != "leave" else victims[:1]:
        remove_entry(world, executor)
    await asyncio.sleep(world.random.uniform(1.0, 8.0))
    world.store.refusing.clear()
    if kind == "leave":
        world.crash_executor(victims[0].record.address)
        return
    await asyncio.sleep(world.random.uniform(0.1, BACK_S))
    for executor in victims:
        world.register(executor)
