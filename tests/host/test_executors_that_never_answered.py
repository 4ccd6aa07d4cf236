"""An executor that is known from its entry alone delays no task at a change of owner."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.hall_world import HallWorld
from tests.host.short_work import running_count
from tests.job_builders import step
from tests.virtual_time import run_virtual

TASKS = 8

RUNNING_AFTER_S = 3.0
"""Time from the acceptance of the job, in which its owner changes once, until its tasks run."""


# Guards against tasks that wait for the leases of an executor that never took a start.
@pytest.mark.parametrize("owner_ends_after_s", [0.0, 0.005, 0.02])
def test_a_next_owner_waits_for_no_executor_that_never_answered(owner_ends_after_s: float) -> None:
    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=4, milli_cpu=32_000)
        await world.begin()
        record = next(iter(world.executors.values())).record
        entry = world.entry_fields(record, address="10.9.9.9:80", born=1_000)
        world.enter("unreachable", json.dumps(entry).encode())
        await asyncio.sleep(1.0)
        owner = str(world.owner())
        spec = world.new_job(step(TASKS, cpu=7_750, standing=True))
        other = next(name for name in world.hosts if name != owner)
        assert await world.submit(other, spec) == 200
        await asyncio.sleep(owner_ends_after_s)
        world.kill_host(owner)
        world.start_host(owner)
        await asyncio.sleep(RUNNING_AFTER_S - owner_ends_after_s)
        assert running_count(world) == TASKS
        return world

    assert run_virtual(play()).problems == []
