"""No work goes to an executor that the next owner would not know of.

A new owner waits for the executors on the roster of the previous owner. An executor therefore
gets work only once the roster that names it is durable; these tests fail without that rule.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.job_builders import step
from tests.part_world import PartWorld
from tests.virtual_time import run_virtual

FULL_S = 6.0
"""Duration of the work that fills the hall at first."""

BEGUN_S = 3.0
"""Time after which a new executor has been found, and work that may start there has started."""

OUTLIVED_S = 12.0
"""Time by which the next owner has found all reachable executors and started queued work."""

LONG_S = 100.0
"""Duration of the queued work."""


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
            world.refused_topics.add((first, "progress"))
        added = world.add_executor("east", "east-new:1")
        assert await world.submit(first, world.new_job(step(1, estimate_s=LONG_S))) == 200
        await asyncio.sleep(BEGUN_S)
        assert bool(added.running) is written
        world.kill_host(first)
        world.cuts.add((second, added.record.address))
        await asyncio.sleep(OUTLIVED_S)
        return world

    assert run_virtual(play()).problems == []
