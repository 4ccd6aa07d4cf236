"""What executors' entries in the store say, and what it means when one is missing."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.shard.messages import TaskName
from tests.hall_executors import EXECUTORS
from tests.hall_world import HallWorld
from tests.host.short_work import assert_each_began_once, at_work, begin, run_short
from tests.job_builders import step
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import run_virtual

BACK_S = 1.9
"""Time after the store's return by which a living executor's entry is back."""

GRACE_S = 3.2
"""A little more than the time for which a missing entry is still believed in: half a
second until the owner reads that it went, and two and a half."""


def lapse(world: HallWorld, executor: MemoryExecutor) -> None:
    """Let an executor's entry go while the executor serves on."""
    world.store.put(EXECUTORS, executor.record.executor_id.encode(), b"")


def test_an_entry_that_does_not_change_stays_believed_in() -> None:
    """An entry is written again and again, and changes only when it says something new."""

    async def play() -> HallWorld:
        world = HallWorld()
        await begin(world, standing=3)
        await asyncio.sleep(60.0)
        assert at_work(world) == 3
        assert await run_short(world, 6) < 2.0
        return world

    assert_each_began_once(run_virtual(play()), 9)


def test_entries_that_lapse_while_the_store_is_away_cost_nothing() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await begin(world, standing=3)
        world.store.refusing.update(world.hosts)
        await asyncio.sleep(4.0)
        for executor in world.executors.values():
            lapse(world, executor)
        await asyncio.sleep(2.0)
        world.store.refusing.clear()
        await asyncio.sleep(0.7)
        assert await run_short(world, 6) < 2.0
        await asyncio.sleep(BACK_S - 0.7)
        for executor in world.executors.values():
            world.register(executor)
        await asyncio.sleep(10.0)
        assert at_work(world) == 3
        return world

    assert_each_began_once(run_virtual(play()), 9)


def test_entries_get_their_time_anew_when_the_store_goes_again() -> None:
    """Executors could not write while it was away, so that time says nothing of them."""

    async def play() -> HallWorld:
        world = HallWorld()
        await begin(world, standing=3)
        world.store.refusing.update(world.hosts)
        for executor in world.executors.values():
            lapse(world, executor)
        await asyncio.sleep(4.0)
        world.store.refusing.clear()
        await asyncio.sleep(1.0)
        world.store.refusing.update(world.hosts)
        await asyncio.sleep(4.0)
        world.store.refusing.clear()
        await asyncio.sleep(0.7)
        world.register(next(iter(world.executors.values())))
        await asyncio.sleep(0.1)
        # More than one executor has room for.
        assert await run_short(world, 9) < 2.0
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert all(e.last_number for e in world.executors.values())


def test_an_executor_whose_entry_stays_missing_gets_nothing_new() -> None:
    """It never said that it drains, or its entry lapsed and did not come back."""

    async def play() -> HallWorld:
        world = HallWorld()
        await begin(world)
        missing = next(iter(world.executors.values()))
        lapse(world, missing)
        await asyncio.sleep(GRACE_S)
        # More than the two others have room for at once.
        await run_short(world, 20)
        assert missing.last_number == 0
        await asyncio.sleep(30.0)
        await run_short(world, 20)
        assert missing.last_number == 0
        return world

    world = run_virtual(play())
    assert world.problems == []


def test_an_entry_that_comes_back_late_is_believed_in_again() -> None:
    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=1)
        await begin(world, standing=1)
        only = next(iter(world.executors.values()))
        lapse(world, only)
        await asyncio.sleep(20.0)
        world.register(only)
        await asyncio.sleep(0.5)
        assert await run_short(world, 2) < 2.0
        assert at_work(world) == 1
        return world

    assert_each_began_once(run_virtual(play()), 3)


def test_a_draining_executor_is_left_and_gets_nothing_new_until_it_ends() -> None:
    """It may serve on for many seconds longer than it said."""

    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=4)
        await begin(world, standing=3)
        leaving = next(e for e in world.executors.values() if e.running)
        world.register(leaving, draining=True)
        await asyncio.sleep(2.0)
        assert not leaving.running
        assert at_work(world) == 3
        begun = leaving.last_number
        for _ in range(6):
            # More than the others have room for at once.
            await run_short(world, 20)
            await asyncio.sleep(1.0)
        assert leaving.last_number == begun
        world.crash_executor(leaving.record.address, back=False)
        await asyncio.sleep(5.0)
        assert at_work(world) == 3
        return world

    world = run_virtual(play())
    assert world.problems == []


def test_an_executor_whose_entry_stays_missing_is_left_before_it_ends() -> None:
    """Some never say that they drain; without a machine service their end takes a lease."""

    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=4, lists_machines=False)
        await begin(world, standing=3)
        leaving = next(e for e in world.executors.values() if e.running)
        lapse(world, leaving)
        await asyncio.sleep(6.0)
        assert not leaving.running
        world.crash_executor(leaving.record.address, back=False)
        await asyncio.sleep(0.5)
        assert at_work(world) == 3
        return world

    assert run_virtual(play()).problems == []


def test_tasks_of_a_step_leave_a_missing_executor_one_at_a_time() -> None:
    """The executor may be sound and cut off from the store alone."""

    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=1)
        spec = world.new_job(step(4, standing=True, cpu=1_000))
        await world.begin()
        only = next(iter(world.executors.values()))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(1.0)
        world.add_executor("east", "east-9:1")
        await asyncio.sleep(1.0)
        lapse(world, only)
        least = 4
        for _ in range(200):
            await asyncio.sleep(0.1)
            least = min(least, at_work(world))
        assert not only.running
        assert least == 3
        return world

    assert run_virtual(play()).problems == []


def test_new_owners_give_missing_entries_their_time_too() -> None:
    """They never saw entries that lapsed before they started."""

    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=4)
        await begin(world, standing=3)
        busy = [e for e in world.executors.values() if e.running]
        for name in list(world.hosts):
            world.kill_host(name)
        for executor in busy:
            lapse(world, executor)
        for name, _ in world.host_names():
            world.start_host(name)
        await asyncio.sleep(BACK_S)
        for executor in busy:
            world.register(executor)
        await asyncio.sleep(10.0)
        assert at_work(world) == 3
        return world

    assert_each_began_once(run_virtual(play()), 3)


def test_what_runs_on_a_missing_executor_ends_there_once() -> None:
    """It serves on: its ends count, and nothing of it is started anew meanwhile."""

    async def play() -> HallWorld:
        world = HallWorld()
        await begin(world)
        spec = world.new_job(step(6, estimate_s=6.0, cpu=4_000))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(0.5)
        missing = next(iter(world.executors.values()))
        assert missing.running
        lapse(world, missing)
        await world.wait_for("east-host-1", spec.job_id, "succeeded", limit_s=9.0)
        return world

    assert_each_began_once(run_virtual(play()), 6)


@pytest.mark.parametrize(("lists_machines", "limit_s"), [(True, 4.0), (False, 13.0)])
def test_what_a_missing_executor_took_along_is_started_again(
    lists_machines: bool, limit_s: float
) -> None:
    """Its end is proved by the machine service within seconds, else by its lease."""

    async def play() -> HallWorld:
        world = HallWorld(lists_machines=lists_machines)
        await begin(world)
        spec = world.new_job(step(3, estimate_s=200.0, cpu=4_000))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(0.5)
        missing = next(e for e in world.executors.values() if e.running)
        lost = len(missing.running)
        lapse(world, missing)
        await asyncio.sleep(6.0)
        assert len(missing.running) == lost
        world.crash_executor(missing.record.address, back=False)
        await asyncio.sleep(limit_s)
        assert at_work(world) == 3
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("seed", range(8))
def test_lapses_among_other_troubles_break_no_promise(seed: int) -> None:
    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=5, seed=seed, lists_machines=seed % 2 == 0)
        await begin(world, standing=4)
        jobs = asyncio.create_task(_keep_running(world))
        for _ in range(8):
            await asyncio.sleep(world.random.uniform(0.2, 3.0))
            await _trouble(world)
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


async def _trouble(world: HallWorld) -> None:
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
        lapse(world, executor)
    await asyncio.sleep(world.random.uniform(1.0, 8.0))
    world.store.refusing.clear()
    if kind == "leave":
        world.crash_executor(victims[0].record.address)
        return
    await asyncio.sleep(world.random.uniform(0.1, BACK_S))
    for executor in victims:
        world.register(executor)
