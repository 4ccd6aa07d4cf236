"""A gang goes only to a hall where all of its members find room."""

from __future__ import annotations

import asyncio

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

HOME_IS_FULL_S = 4.0

FIND_S = 8.0
"""Time after that in which a gang for which home has room again is to run."""


def test_a_gang_stays_where_it_will_find_room() -> None:
    """It moved to a hall that told of enough cores, in pieces, and waited there for ever.

    A job moves once. The hall that it came from had room for it seconds later.
    """

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        lasting = world.new_job(step(1, standing=True, cpu=6_000))
        assert await world.submit("west-host-0", lasting) == 200
        await asyncio.sleep(2.0)
        full = world.new_job(step(3, cpu=8_000, estimate_s=HOME_IS_FULL_S))
        assert await world.submit("east-host-0", full) == 200
        await asyncio.sleep(1.0)
        gang = world.new_job(step(3, gang=True, cpu=6_000))
        assert await world.submit("east-host-0", gang) == 200
        await asyncio.sleep(HOME_IS_FULL_S + FIND_S)
        places = {
            task.job_id: e.record.hall for e in world.executors.values() for task in e.running
        }
        assert places[lasting.job_id] == "west"
        assert await world.state("east-host-0", gang.job_id) == "succeeded"
        return world

    assert run_virtual(play()).problems == []
