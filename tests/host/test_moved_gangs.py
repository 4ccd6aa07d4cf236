"""A gang moves only to a hall that has capacity for all of its members.

The failure: a gang moved to a hall that published enough free cores, but spread over executors
too small for its members, and waited there forever. A job moves only once. The hall that the
gang came from had capacity for it seconds later.
"""

from __future__ import annotations

import asyncio

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

HOME_FULL_S = 4.0

START_LIMIT_S = 8.0
"""Time after that in which a gang has to run for which its home hall has capacity again."""


def test_a_gang_stays_where_it_will_fit() -> None:
    """The gang stays in its full hall and succeeds there once it fits."""

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        standing_job = world.new_job(step(1, standing=True, cpu=6_000))
        assert await world.submit("west-host-0", standing_job) == 200
        await asyncio.sleep(2.0)
        full = world.new_job(step(3, cpu=8_000, estimate_s=HOME_FULL_S))
        assert await world.submit("east-host-0", full) == 200
        await asyncio.sleep(1.0)
        gang = world.new_job(step(3, gang=True, cpu=6_000))
        assert await world.submit("east-host-0", gang) == 200
        await asyncio.sleep(HOME_FULL_S + START_LIMIT_S)
        places = {
            task.job_id: e.record.hall for e in world.executors.values() for task in e.running
        }
        assert places[standing_job.job_id] == "west"
        assert await world.state("east-host-0", gang.job_id) == "succeeded"
        return world

    assert run_virtual(play()).problems == []
