"""Standing tasks whose executor is lost for good while their owner stops as planned."""

from __future__ import annotations

import asyncio

import pytest

from tests import job_builders
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual, world_time

LONG_TENURE_S = 30.0
"""Time after which no owner before the present one may act any more."""

MAX_AWAY_S = 6.0
"""Time for which a standing task may be away where there is room for it."""

TASKS = 3


def _running(world: HallWorld) -> int:
    return sum(len(e.running) for e in world.executors.values() if e.alive)


async def _away_s(gap_s: float, stops: int, *, planned: bool) -> float:
    """Return how long tasks are away whose executor is lost, in seconds.

    Args:
        gap_s: Time from the loss, and from each end of an owner, to the next end, in seconds.
        stops: Number of owners that end.
        planned: Whether they stop as planned; they are killed otherwise.
    """
    world = HallWorld(hosts_per_hall=3)
    await world.begin()
    spec = world.new_job(step(TASKS, standing=True, cpu=3_000))
    await world.submit("east-host-0", spec)
    await asyncio.sleep(LONG_TENURE_S)
    busy = next(address for address, e in world.executors.items() if e.running)
    world.crash_executor(busy, back=False)
    lost_at = world_time()
    for _ in range(stops):
        await asyncio.sleep(gap_s)
        while (owner := world.owner()) is None:
            await asyncio.sleep(0.05)
        if planned:
            await world.remove_host(owner)
        else:
            world.kill_host(owner)
    while _running(world) < TASKS and world_time() - lost_at < LONG_TENURE_S:
        await asyncio.sleep(0.05)
    assert world.problems == []
    return world_time() - lost_at


@pytest.mark.parametrize("stops", [1, 2])
@pytest.mark.parametrize("gap_s", [0.0, 0.6, 1.2])
def test_tasks_are_at_work_soon_where_owner_and_executor_leave_together(
    gap_s: float, stops: int
) -> None:
    """Guards against inherited work that waits 12 s for starts that nobody sent.

    The next owner can't know whether the former one sent starts on no record, which a next
    incarnation of the lost executor would carry out, unless the former one says so.
    """

    assert run_virtual(_away_s(gap_s, stops, planned=True)) <= MAX_AWAY_S


# Guards against the same where the owner is killed, which can say nothing about its starts.
@pytest.mark.parametrize("gap_s", [0.0, 0.6])
def test_tasks_are_at_work_soon_where_the_owner_is_killed_as_an_executor_is_lost(
    gap_s: float,
) -> None:
    assert run_virtual(_away_s(gap_s, 1, planned=False)) <= job_builders.MAX_AWAY_S
