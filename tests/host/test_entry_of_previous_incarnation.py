"""The entry of an executor's previous incarnation does not end runs of the present one.

Guards against a task that runs on two executors at once after a takeover. An executor crashed
seconds ago and its entry is still registered; the next incarnation at its address runs tasks, and
its own entry is missing. A new owner that reads only the old entry and takes it for the newer
incarnation counts the runs of the present one as ended. Without the old entry the new owner polls
the present incarnation and finds the run.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

ROSTERED_S = 1.0
"""Time in which the owner reads the entry of a new executor, polls it and adds it to the roster."""

BEGUN_S = 2.0
"""Time after a submission by which its tasks run and their record is written."""

TAKEOVER_S = 8.0
"""Time after the owner's end in which the next owner takes over."""


@pytest.mark.parametrize("stands", [True, False])
def test_the_entry_of_the_previous_incarnation_does_not_end_the_present_one(stands: bool) -> None:
    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False, executors_per_hall=2)
        await world.begin()
        first = str(world.owner())
        address, other = sorted(world.executors)
        previous = world.executors[address]
        world.crash_executor(address)
        await asyncio.sleep(ROSTERED_S)
        # Waits until the present incarnation is the only executor with capacity.
        present = world.executors[address]
        for name in world.hosts:
            world.cuts.add((name, other))
        await asyncio.sleep(ROSTERED_S + 1.0)
        assert await world.submit(first, world.new_job(step(1, estimate_s=60.0))) == 200
        await asyncio.sleep(BEGUN_S)
        assert present.running
        world.cuts.clear()
        world.forget_registration(present)
        if stands:
            world.register(previous)
        world.kill_host(first)
        await asyncio.sleep(TAKEOVER_S)
        return world

    assert run_virtual(play()).problems == []
