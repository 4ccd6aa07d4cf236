"""A takeover beside the entry of an executor's earlier life takes the present one for no ghost.

What was suspected: a task runs on two executors at once after a takeover.

How it comes about: an executor crashed seconds ago and its entry still stands; the next life at
its address has taken work, and its own entry is missing. The new owner reads the old entry alone,
takes it for the successor's, and counts what the present life runs as over.

What proves it: the play; where the old entry is gone the same owner asks, and finds the run.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

ROSTERED_S = 1.0
"""Time in which an executor that begins is read of, asked and named on record."""

BEGUN_S = 2.0
"""Time after a submission by which its tasks run, and by which their record is written."""

AFTER_S = 8.0
"""Time after the owner's end in which its successor takes over."""


@pytest.mark.parametrize("stands", [True, False])
def test_the_entry_of_an_earlier_life_does_not_end_the_present_one(stands: bool) -> None:
    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False, executors_per_hall=2)
        await world.begin()
        first = str(world.owner())
        address, other = sorted(world.executors)
        earlier = world.executors[address]
        world.crash_executor(address)
        await asyncio.sleep(ROSTERED_S)
        # It waits until the present life is the only one with room.
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
            world.register(earlier)
        world.kill_host(first)
        await asyncio.sleep(AFTER_S)
        return world

    assert run_virtual(play()).problems == []
