"""Owners that end while executors of their hall leave or are lost, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from linkspan.jobs.spec import JobSpec
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import world_time

MAX_AWAY_S = 6.0
"""Time for which a standing task may be away where there is room for it."""

SETTLED_AFTER_S = 25.0
"""Time after which no owner before the present one may act any more."""

OBSERVED_S = 30.0
CHECK_INTERVAL_S = 0.05
BACK_AFTER_S = 0.7
"""Time after which a host that was killed is back: it claims before another host would."""

NOTICE_S = 0.6
"""Time from the announcement of a departure until the executor is gone."""

ACCEPTED_BEFORE_S = 0.05
"""Time from the submission of a job to the end of its owner, which may have read of it."""

TASK_MILLI_CPU = 3_500
"""Two such tasks fit on an executor."""


Change = Callable[[HallWorld, str], None]
"""Changes executors; it is given the address of one that has runs."""


@dataclass(frozen=True)
class OwnerEnd:
    """How the owner of the first hall ends, and what the deployment is like.

    Attributes:
        after_s: Seconds from the change of the executors until it ends.
        planned: Whether it stops as planned; it is killed otherwise.
        back: Whether its host is back soon and claims the shard again.
        halls: Number of halls.
        tasks: Number of standing tasks.
        plain_ids: Whether executors tell no start time, and return from a crash under a new id.
        lists_machines: Whether a machine service tells which executors are gone.
    """

    after_s: float
    planned: bool = False
    back: bool = False
    halls: int = 2
    tasks: int = 3
    plain_ids: bool = False
    lists_machines: bool = True


@dataclass
class Waits:
    """How long tasks were away.

    Attributes:
        world: The world of the tasks.
        longest_s: Longest time, in seconds, for which a task did not run.
    """

    world: HallWorld
    longest_s: float = 0.0


def leave_for_good(world: HallWorld, address: str) -> None:
    """Let an executor announce that it leaves, and leave before its runs have ended."""
    world.register(world.executors[address], draining=True)
    asyncio.get_running_loop().call_later(
        NOTICE_S, lambda: world.crash_executor(address, back=False)
    )


def leave_beside_a_loss(world: HallWorld, address: str) -> None:
    """Let an executor leave and return, and lose another one of its hall for good."""
    world.register(world.executors[address], draining=True)
    asyncio.get_running_loop().call_later(2.0, world.crash_executor, address)
    lose_another(world, address)


def lose_another(world: HallWorld, address: str) -> None:
    """Lose another executor of the first hall for good."""
    hall = world.executors[address].record.hall
    others = [a for a, e in world.executors.items() if e.record.hall == hall and a != address]
    world.crash_executor(others[-1], back=False)


def world_of(end: OwnerEnd) -> HallWorld:
    """Return the deployment in which an owner ends."""
    return HallWorld(
        halls=("east", "west", "north")[: end.halls],
        hosts_per_hall=2,
        executors_per_hall=3,
        lists_machines=end.lists_machines,
        plain_ids=end.plain_ids,
    )


async def moved_waits(change: Change, end: OwnerEnd) -> Waits:
    """Return how long standing tasks are away, that all ran before a change.

    Args:
        change: Changes the executors; it is given one that has runs.
        end: How the owner ends.
    """
    world = world_of(end)
    await world.begin()
    spec = world.new_job(step(end.tasks, standing=True, cpu=TASK_MILLI_CPU))
    assert await world.submit("east-host-0", spec) == 200
    await asyncio.sleep(SETTLED_AFTER_S)
    busy = next(a for a, e in world.executors.items() if e.running and e.record.hall == "east")
    tasks = {task for executor in world.executors.values() for task in executor.running}
    change(world, busy)
    return await _observed_beside(world, tasks, end)


async def accepted_waits(change: Change, end: OwnerEnd) -> Waits:
    """Play a job that is accepted right before its owner ends.

    Args:
        change: Changes the executors; it is given one that runs another job's task.
        end: How the owner ends.
    """
    world = world_of(end)
    await world.begin()
    settled = world.new_job(step(end.tasks, standing=True, cpu=TASK_MILLI_CPU))
    assert await world.submit("east-host-0", settled) == 200
    await asyncio.sleep(SETTLED_AFTER_S)
    busy = next(a for a, e in world.executors.items() if e.running and e.record.hall == "east")
    change(world, busy)
    spec = world.new_job(step(1, standing=True, cpu=TASK_MILLI_CPU))
    other = next(name for name in world.hosts if name != world.owner(0))
    accepting = asyncio.create_task(_accept_before_the_end(world, other, spec, end))
    waits = await _observed_beside(world, {TaskName(spec.job_id, 0, 0, 0)}, end)
    assert await accepting == 200
    return waits


async def _accept_before_the_end(world: HallWorld, host: str, spec: JobSpec, end: OwnerEnd) -> int:
    await asyncio.sleep(max(end.after_s - ACCEPTED_BEFORE_S, 0.0))
    return await world.submit(host, spec)


async def _observed_beside(world: HallWorld, tasks: set[TaskName], end: OwnerEnd) -> Waits:
    """End the owner at its time, and return how long tasks are away from now on."""
    ending = asyncio.create_task(_end_owner(world, end))
    waits = await _observed(world, tasks)
    await ending
    return waits


async def _end_owner(world: HallWorld, end: OwnerEnd) -> None:
    """End the owner of the first hall at its time, and let its host return if asked for."""
    await asyncio.sleep(end.after_s)
    owner = world.owner(0)
    assert owner
    if end.planned:
        await world.remove_host(owner)
    else:
        world.kill_host(owner)
    if end.back:
        await asyncio.sleep(BACK_AFTER_S)
        world.start_host(owner)


async def _observed(world: HallWorld, tasks: set[TaskName]) -> Waits:
    """Return how long each of some tasks is away within a time that exceeds all leases."""
    waits = Waits(world)
    gone_at: dict[TaskName, float] = {}
    until = world_time() + OBSERVED_S
    while world_time() < until:
        running = {t for e in world.executors.values() if e.alive for t in e.running}
        for task in tasks & running:
            gone_at.pop(task, None)
        for task in tasks - running:
            away_s = world_time() - gone_at.setdefault(task, world_time())
            waits.longest_s = max(waits.longest_s, away_s)
        await asyncio.sleep(CHECK_INTERVAL_S)
    return waits
