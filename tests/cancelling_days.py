"""Scenarios in virtual time in which callers cancel jobs during overlapping faults."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from tests.hall_world import HallWorld
from tests.job_builders import step

TROUBLES: dict[str, Callable[[HallWorld, Random], Awaitable[None]]] = {}
"""Faults by name. Each one ends by itself."""


def trouble(
    play: Callable[[HallWorld, Random], Awaitable[None]],
) -> Callable[[HallWorld, Random], Awaitable[None]]:
    """Register a fault under its function's name."""
    TROUBLES[play.__name__] = play
    return play


async def cancelling_day(seed: int, *, troubles: int = 10) -> HallWorld:
    """Run a scenario in which callers cancel many jobs while several faults overlap."""
    world = HallWorld(
        halls=("east", "west"),
        hosts_per_hall=3,
        seed=seed,
        failing_share=0.03,
        max_order_delay_s=12.0,
    )
    world.lists_machines = seed % 3 > 0
    random = world.random
    await world.begin()
    async with asyncio.TaskGroup() as group:
        group.create_task(_run_callers(world))
        for _ in range(troubles):
            await asyncio.sleep(random.uniform(0.2, 3.0))
            name = random.choice(sorted(TROUBLES))
            group.create_task(_play(name, world))
    for name, _ in world.host_names():
        if name not in world.hosts:
            world.start_host(name)
    world.record_fault()
    await asyncio.sleep(15.0)
    return world


async def _play(name: str, world: HallWorld) -> None:
    await TROUBLES[name](world, world.random)


async def _run_callers(world: HallWorld) -> None:
    async with asyncio.TaskGroup() as group:
        for _ in range(30):
            await asyncio.sleep(world.random.uniform(0.1, 1.2))
            group.create_task(_submit_and_cancel(world))


async def _submit_and_cancel(world: HallWorld) -> None:
    random = world.random
    if random.random() < 0.4:
        spec = world.new_job(step(random.randint(2, 5), standing=True, max_per_executor=1))
    else:
        first = step(random.randint(1, 8), estimate_s=random.uniform(0.3, 20.0))
        spec = world.new_job(first, step(2, depends_on=(0,)))
    if not world.hosts or await world.submit(_any_host(world), spec) != 200:
        return
    await asyncio.sleep(random.choice((0.0, random.uniform(0.0, 1.0), random.uniform(1.0, 9.0))))
    for _ in range(20):
        if world.hosts and await world.cancel(_any_host(world), spec.job_id) == 200:
            return
        await asyncio.sleep(0.5)


def _any_host(world: HallWorld) -> str:
    return world.random.choice(sorted(world.hosts))


@trouble
async def late_orders(world: HallWorld, random: Random) -> None:
    """Executors leave orders unanswered and carry them out seconds later."""
    world.late_share = random.choice((0.05, 0.3, 0.7))
    await asyncio.sleep(random.uniform(1.0, 6.0))
    world.late_share = 0.0


@trouble
async def lost_answers(world: HallWorld, random: Random) -> None:
    """Executors carry out orders whose answers are lost."""
    world.lost_answer_share = random.choice((0.05, 0.3))
    await _stay_faulty(world, random.uniform(1.0, 5.0))
    world.lost_answer_share = 0.0


@trouble
async def owner_removed(world: HallWorld, random: Random) -> None:
    """An owner drains, stops and does not start again."""
    name = world.owner(random.choice((0, 1)))
    if name and len(world.hosts) > 1:
        await world.remove_host(name)


@trouble
async def owner_killed(world: HallWorld, random: Random) -> None:
    """An owner is killed. In half of the cases it restarts seconds later."""
    shard = random.choice((0, 1))
    name = world.owner(shard)
    if not name or len(world.hosts) < 2:
        return
    world.kill_host(name)
    world.record_fault()
    if random.random() < 0.5:
        await asyncio.sleep(random.uniform(0.3, 4.0))
        if name not in world.hosts:
            world.start_host(name)
    world.record_fault()
    home = [host for host, hall in world.host_names() if hall == world.halls[shard]]
    while not any(host in world.hosts for host in home) and world.owner(shard) is None:
        # The fault lasts until another hall owns the shard of a hall without hosts.
        await asyncio.sleep(0.05)
        world.record_fault()


@trouble
async def store_away(world: HallWorld, random: Random) -> None:
    """The store refuses the calls of one host or all hosts, or leaves them unanswered."""
    names = [name for name, _ in world.host_names()]
    towards = random.choice((world.store.refusing, world.store.silent))
    towards.update(random.choice((names, [random.choice(names)])))
    await _stay_faulty(world, random.uniform(1.0, 5.0))
    towards.clear()


@trouble
async def records_lost(world: HallWorld, random: Random) -> None:
    """The store drops all records except the newest one of each key."""
    for partition in list(world.store._logs):
        world.store.forget(partition)
    world.record_fault()


@trouble
async def executor_crashed(world: HallWorld, random: Random) -> None:
    """An executor crashes. Its next incarnation starts at once or 8 s later."""
    address = random.choice(sorted(world.executors))
    if not world.executors[address].alive:
        return
    hall = world.executors[address].record.hall
    world.crash_executor(address, back=False)
    await _stay_faulty(world, random.choice((0.0, 8.0)))
    world.add_executor(hall, address)


@trouble
async def hall_cut(world: HallWorld, random: Random) -> None:
    """A hall is cut off from the store and, in both directions, from the other hall."""
    hall = random.choice(world.halls)
    for name, at in world.host_names():
        if at == hall:
            world.store.silent.add(name)
        for other in world.halls:
            if other != at and hall in (at, other):
                world.cut(name, other)
    await _stay_faulty(world, random.uniform(1.0, 7.0))
    world.store.silent.clear()
    world.cuts.clear()


async def _stay_faulty(world: HallWorld, seconds: float) -> None:
    """Keep the world marked as faulty for a time."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    world.record_fault()
    while loop.time() < until:
        await asyncio.sleep(0.05)
        world.record_fault()
