"""Tasks of cancelled jobs end in time, even if a start arrives late or the owner changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from linkspan.shard.messages import StartOutcome
from tests.cancelling_days import cancelling_day
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.run_judge import CANCEL_S, STOP_S
from tests.virtual_time import run_virtual


def running_count(world: HallWorld) -> int:
    return sum(len(e.running) for e in world.executors.values() if e.alive)


async def cancelled_amid_late_orders(seed: int, *, late_stops: bool) -> HallWorld:
    """Cancel a job of which many starts, and optionally the first stops, are executed late."""
    world = HallWorld(seed=seed, max_order_delay_s=12.0)
    await world.begin()
    spec = world.new_job(step(12, estimate_s=30.0))
    world.late_share = 0.7
    assert await world.submit("east-host-0", spec) == 200
    await asyncio.sleep(0.3)
    world.late_share = 0.9 if late_stops else 0.0
    assert await world.cancel("east-host-1", spec.job_id) == 200
    await asyncio.sleep(3.0)
    world.late_share = 0.0
    await asyncio.sleep(13.0)
    assert running_count(world) == 0
    return world


@pytest.mark.parametrize("seed", range(4))
def test_a_start_that_arrives_after_its_stop_is_refused(seed: int) -> None:
    world = run_virtual(cancelled_amid_late_orders(seed, late_stops=False))
    assert world.problems == []
    assert world.late_starts[StartOutcome.SUPERSEDED]
    assert not world.late_starts[StartOutcome.STARTED]


def test_a_start_executed_late_does_not_outlive_its_cancelled_job() -> None:
    worlds = [run_virtual(cancelled_amid_late_orders(s, late_stops=True)) for s in range(8)]
    assert [world.problems for world in worlds] == [[]] * 8
    assert sum(world.late_starts[StartOutcome.STARTED] for world in worlds) >= 4


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("planned", [False, True])
def test_a_late_start_ends_after_its_owner_is_lost(seed: int, planned: bool) -> None:
    """The next owner must find runs of a start that it has no record of."""

    async def play() -> HallWorld:
        world = HallWorld(seed=seed, max_order_delay_s=12.0)
        await world.begin()
        owner = world.owner()
        assert owner
        other = next(name for name in world.hosts if name != owner)
        spec = world.new_job(step(12, estimate_s=30.0))
        world.late_share = 0.7
        assert await world.submit(other, spec) == 200
        await asyncio.sleep(0.3)
        assert await world.cancel(other, spec.job_id) == 200
        if planned:
            await world.remove_host(owner)
        else:
            world.kill_host(owner)
        world.late_share = 0.0
        await asyncio.sleep(14.0)
        assert running_count(world) == 0
        return world

    assert run_virtual(play()).problems == []


async def start_in_one_of_two_halls(seed: int) -> tuple[HallWorld, str, list[str]]:
    """Return a world, its only job, some of whose orders may arrive late, and its hall's hosts."""
    world = HallWorld(halls=("east", "west"), seed=seed, max_order_delay_s=12.0)
    await world.begin()
    spec = world.new_job(step(12, estimate_s=30.0))
    world.late_share = 0.3
    assert await world.submit("east-host-0", spec) == 200
    await asyncio.sleep(0.4)
    world.late_share = 0.0
    hall = next(h for h in world.halls if any(running_counts_in(world, h)))
    return world, spec.job_id, [name for name, at in world.host_names() if at == hall]


def test_cancelled_work_ends_after_all_hosts_of_its_hall_are_removed() -> None:
    """A host of another hall must claim the shard before the deadline for the end of the tasks."""

    async def play(seed: int) -> HallWorld:
        world, job_id, hosts = await start_in_one_of_two_halls(seed)
        for name in hosts:
            await world.remove_host(name)
        other = next(iter(world.hosts))
        assert await world.cancel(other, job_id) == 200
        await asyncio.sleep(14.0)
        assert running_count(world) == 0
        return world

    assert [run_virtual(play(seed)).problems for seed in range(4)] == [[], [], [], []]


def running_counts_in(world: HallWorld, hall: str) -> list[int]:
    return [len(e.running) for e in world.executors.values() if e.record.hall == hall]


@pytest.mark.parametrize("seed", range(4))
def test_cancelled_work_ends_after_all_hosts_of_its_hall_are_killed(seed: int) -> None:
    """Until another hall takes over, the lease limits how long the tasks run."""

    async def play() -> HallWorld:
        world, job_id, hosts = await start_in_one_of_two_halls(seed)
        for name in hosts:
            world.kill_host(name)
        other = next(iter(world.hosts))
        assert await world.cancel(other, job_id) == 200
        until = asyncio.get_running_loop().time() + 8.0
        while asyncio.get_running_loop().time() < until:
            # Hosts of the other hall may not claim the shard for eight seconds.
            world.record_fault()
            await asyncio.sleep(0.05)
        await asyncio.sleep(CANCEL_S + STOP_S)
        assert running_count(world) == 0
        return world

    assert run_virtual(play()).problems == []


async def lose_by_kill(world: HallWorld, hall: str) -> None:
    owner = world.owner(world.halls.index(hall))
    assert owner
    world.kill_host(owner)


async def lose_by_removal(world: HallWorld, hall: str) -> None:
    owner = world.owner(world.halls.index(hall))
    assert owner
    await world.remove_host(owner)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("lose", [lose_by_kill, lose_by_removal])
@pytest.mark.parametrize("home", [False, True])
def test_delegated_tasks_of_a_cancelled_job_end(
    seed: int, lose: Callable[[HallWorld, str], object], home: bool
) -> None:
    """The owner of the home or of the delegated shard ends just as the job is cancelled."""

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"), seed=seed, max_order_delay_s=12.0)
        await world.begin()
        spec = world.new_job(step(6, standing=True, max_per_executor=1))
        world.late_share = 0.3
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(7.0 + seed)
        assert all(any(running_counts_in(world, hall)) for hall in world.halls)
        place = next(r for r in world.hosts.values()).host.job_registry.catalog.get(spec.job_id)
        assert place and place.shard is not None
        hall = world.halls[place.shard if home else 1 - place.shard]
        names = [name for name in world.hosts if name not in (world.owner(0), world.owner(1))]
        assert await world.cancel(names[0], spec.job_id) == 200
        await lose(world, hall)
        world.late_share = 0.0
        await asyncio.sleep(14.0)
        assert running_count(world) == 0
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("gone", ["draining", "entry went"])
@pytest.mark.parametrize("planned", [False, True])
def test_cancelled_work_ends_on_an_executor_that_leaves(gone: str, planned: bool) -> None:
    """The executor's entry is dropped or marked as draining, and the owner that knew it ends."""

    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        spec = world.new_job(step(6, estimate_s=30.0))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(0.5)
        for executor in world.executors.values():
            if gone == "draining":
                world.register(executor, draining=True)
            else:
                world.forget_registration(executor)
        await asyncio.sleep(3.0)
        owner = world.owner()
        assert owner
        other = next(name for name in world.hosts if name != owner)
        assert await world.cancel(other, spec.job_id) == 200
        await (lose_by_removal if planned else lose_by_kill)(world, "east")
        await asyncio.sleep(CANCEL_S + STOP_S)
        assert running_count(world) == 0
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("seed", range(12))
def test_random_cancellations_during_faults_leave_nothing_running(seed: int) -> None:
    assert run_virtual(cancelling_day(seed), limit_s=400.0).problems == []
