"""An owner that cannot read which executors its predecessor used waits for all of their leases.

What was suspected: a task runs on two executors at once after a takeover.

How it comes about: the record that names the executors of a hall does not decode, as one that
another version wrote. The new owner passes it over and goes on as if its predecessor had used
none: nothing is waited for, and a run on record at an executor that is not named counts as over.

What proves it: the play; with a record that decodes the same host waits.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.shard.recovery.progress import ROSTER_KEY
from linkspan.store.types import Partition
from tests.hall_world import HallWorld
from tests.host.owner_waits import BEGUN_S, LONG_S, OUTLIVED_S
from tests.job_builders import step
from tests.virtual_time import run_virtual

PROGRESS = Partition("progress", 0, keyed=True)


@pytest.mark.parametrize("value", [b'{"later": []}', None])
def test_a_run_is_waited_for_though_the_roster_is_not_read(value: bytes | None) -> None:
    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False)
        await world.begin()
        first = str(world.owner())
        second = next(name for name in world.hosts if name != first)
        assert await world.submit(first, world.new_job(step(1, estimate_s=LONG_S))) == 200
        await asyncio.sleep(BEGUN_S)
        if value is not None:
            world.store.put(PROGRESS, ROSTER_KEY, value)
        world.kill_host(first)
        busy = next(a for a, e in world.executors.items() if e.running)
        world.cuts.add((second, busy))
        await asyncio.sleep(OUTLIVED_S)
        return world

    assert run_virtual(play()).problems == []
