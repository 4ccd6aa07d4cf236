"""No work goes to an executor of which the next owner would not know.

A new owner waits for the executors on the roster of the one before. The plays fail with the
rule taken out that an executor gets work only once the roster with its name is durable.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.job_builders import step
from tests.part_world import PartWorld
from tests.virtual_time import run_virtual

FULL_S = 6.0
"""Length of the work that fills the hall at first."""

BEGUN_S = 3.0
"""Time after which an executor that came was found, and work that can begin there has."""

OUTLIVED_S = 12.0
"""Time by which a successor has found all executors that it reaches, and started what waits."""

LONG_S = 100.0
"""Length of the work that waits."""


@pytest.mark.parametrize("written", [True, False])
def test_an_executor_gets_work_once_the_roster_names_it(written: bool) -> None:
    async def play() -> PartWorld:
        world = PartWorld(lists_machines=False)
        await world.begin()
        first = world.owner()
        assert first
        second = next(name for name, _ in world.host_names() if name != first)
        fill = step(3, cpu=world.milli_cpu, estimate_s=FULL_S, max_per_executor=1)
        assert await world.submit(first, world.new_job(fill)) == 200
        if not written:
            world.away.add((first, "progress"))
        came = world.add_executor("east", "east-new:1")
        assert await world.submit(first, world.new_job(step(1, estimate_s=LONG_S))) == 200
        await asyncio.sleep(BEGUN_S)
        assert bool(came.running) is written
        world.kill_host(first)
        world.cuts.add((second, came.record.address))
        await asyncio.sleep(OUTLIVED_S)
        return world

    assert run_virtual(play()).problems == []
