"""An owner that cannot read which executors the previous owner used waits for all of their leases.

The failure guarded against: a task runs on two executors at once after a takeover.

The record that names the executors of a hall does not decode, because another version wrote it.
The new owner ignores the record and goes on as if the previous owner had used no executor: it
waits for no lease, and a recorded run at an executor that is not named counts as ended.

With a record that decodes, the same host waits.
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
def test_a_run_is_waited_for_though_the_roster_cannot_be_read(value: bytes | None) -> None:
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
        busy_address = next(a for a, e in world.executors.items() if e.running)
        world.cuts.add((second, busy_address))
        await asyncio.sleep(OUTLIVED_S)
        return world

    assert run_virtual(play()).problems == []
