"""A task takes down no executor too many although its first start is on no record.

The first start is sent while the store does not answer its owner, and that owner is killed
together with the executor, so that no owner counts the crash. Two further executors crash at the
same time as the fourth counted one, which then does not count against the task.
"""

from __future__ import annotations

import asyncio

from tests.host.crashing_day import MAX_GIVE_UP_S, submit_crashing
from tests.job_builders import step
from tests.part_world import PartWorld
from tests.virtual_time import run_virtual

CHECK_INTERVAL_S = 0.005
"""Interval between checks for crashes."""

CRASH_AFTER_S = 4.0
"""Delay between the task's start and the crash: too long for the crash to single out the task."""

FIFTH_CRASH = 5
"""Number of the crash that is the fourth one by the owners' count."""


async def _run_scenario() -> PartWorld:
    world = PartWorld(executors_per_hall=6, hosts_per_hall=3, resets=True, seed=7)
    await world.begin()
    first_owner = world.owner()
    assert first_owner
    # The owner starts the task without a record.
    world.refused_topics.add((first_owner, "progress"))
    spec = await submit_crashing(world, step(estimate_s=30.0), after_s=CRASH_AFTER_S)
    (task,) = world.crashing.after_s
    crash_count = 0
    for _ in range(int(2 * MAX_GIVE_UP_S / CHECK_INTERVAL_S)):
        await asyncio.sleep(CHECK_INTERVAL_S)
        if world.crashing.crash_counts[task] == crash_count:
            continue
        crash_count += 1
        if crash_count == 1:
            world.kill_host(first_owner)
        if crash_count == FIFTH_CRASH:
            up = [address for address, e in world.executors.items() if e.alive]
            for address in up[:2]:
                world.crash_executor(address)
    assert await world.state(next(iter(world.hosts)), spec.job_id) == "failed"
    return world


def test_a_crash_under_a_start_on_no_record_costs_no_start_too_many() -> None:
    """Guards against a sixth executor that a task crashes: BUDGET.

    The first start is sent while the store does not answer the owner, which is lost together
    with the executor. No owner counts that crash, and the fourth counted one spares the task.
    """
    assert run_virtual(_run_scenario()).problems == []
