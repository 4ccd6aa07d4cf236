"""An owner without confirmed ownership counts no lease as expired that a newer owner may renew.

The failure: a task ran on two executors at once. Its owner had lost contact with the executor
that ran it, counted the lease that it had granted there as expired and started the task
elsewhere.

The network of a hall is partitioned. One side has the owner and an idle executor; the other has
the store, another host and the executor that runs the task. The other host claims the shard
after two seconds of silence, finds the run and renews its lease. The first owner goes on for up
to ten seconds without confirmation and counts by the leases that it granted itself: the last of
them expires before those ten seconds are over. The idle executor has not seen the newer token.

Nothing happens in these scenarios but the one partition.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld
from tests.host.owner_waits import BEGUN_S, LONG_S, until
from tests.job_builders import step
from tests.virtual_time import run_virtual

CUT_S = 15.0
"""How long the hall is partitioned: longer than an owner acts without confirmed ownership."""


@pytest.mark.parametrize("offset_s", [0.0, 0.4, 0.8, 1.2, 1.6])
@pytest.mark.parametrize(("lease_s", "cut_s"), [(6.0, 6.0), (6.0, CUT_S), (10.0, CUT_S)])
def test_a_run_that_a_newer_owner_renews_is_not_started_again(
    lease_s: float, cut_s: float, offset_s: float
) -> None:
    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False, max_lease_s=lease_s)
        await world.begin()
        first = str(world.owner())
        second = next(name for name in world.hosts if name != first)
        spec = world.new_job(step(1, estimate_s=LONG_S))
        assert await world.submit(first, spec) == 200
        await asyncio.sleep(BEGUN_S + offset_s)
        for address, executor in world.executors.items():
            world.cuts.add((first if executor.running else second, address))
        world.store.silent.add(first)
        await until(lambda: world.hosts[second].host.candidates[0].tenure is not None, limit_s=5.0)
        await asyncio.sleep(cut_s - 3.0)
        world.cuts.clear()
        world.store.silent.discard(first)
        await asyncio.sleep(CUT_S)
        return world

    assert run_virtual(play()).problems == []
