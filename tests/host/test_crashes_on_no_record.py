"""A crash under a start that is on no record, and falls beside the one that is to be the last."""

from __future__ import annotations

import asyncio

from tests.host.crashing_day import GIVEN_UP_S, submit_crashing
from tests.job_builders import step
from tests.part_world import PartWorld
from tests.virtual_time import run_virtual

LOOK_S = 0.005
"""Time between looks at what fell."""

CRASH_AFTER_S = 4.0
"""Time after its begin at which the task crashes its executor: too late to be named by that."""

FIFTH = 5
"""The executor that falls under it as the fourth by the count of owners."""


async def _played() -> PartWorld:
    world = PartWorld(executors_per_hall=6, hosts_per_hall=3, resets=True, seed=7)
    await world.begin()
    first = world.owner()
    assert first
    # It starts work, and nobody knows.
    world.away.add((first, "progress"))
    spec = await submit_crashing(world, step(estimate_s=30.0), after_s=CRASH_AFTER_S)
    (task,) = world.crashing.after_s
    seen = 0
    for _ in range(int(2 * GIVEN_UP_S / LOOK_S)):
        await asyncio.sleep(LOOK_S)
        if world.crashing.fallen[task] == seen:
            continue
        seen += 1
        if seen == 1:
            world.kill_host(first)
        if seen == FIFTH:
            up = [address for address, e in world.executors.items() if e.alive]
            for address in up[:2]:
                world.crash_executor(address)
    assert await world.state(next(iter(world.hosts)), spec.job_id) == "failed"
    return world


def test_a_crash_under_a_start_on_no_record_costs_no_start_too_many() -> None:
    """Guards against a sixth executor that a task takes down: BUDGET.

    Its first start went out while the store did not answer its owner, which was lost with the
    executor. The crash was counted by nobody, and the fourth that was counted spared the task.
    """
    assert run_virtual(_played()).problems == []
