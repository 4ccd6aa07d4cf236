"""A host that missed ownership records waits for an owner that it has not read about.

The failure guarded against: a task runs on two executors at once. Its owner is cut off from the
store and goes on granting leases; the next owner does not wait for it at all.

A restarted host finds its previous incarnation as the owner, and the store refuses it before it
has claimed. Another host claims the shard and owns it for a while. Then the store forgets its
history, and with it all records of that owner. The first host resumes behind the gap with what
it knew: the owner is an earlier incarnation of its own, which can no longer act. It claims at
once.

With the history kept, the same host finds the other owner and waits.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld
from tests.host.owner_waits import BEGUN_S, LONG_S, OUTLIVED_S, OWNERS, until
from tests.job_builders import step
from tests.virtual_time import run_virtual

LOOK_S = 0.001
"""Interval between checks of what a host has read."""

WAIT_S = 5.0
"""Longest time until a host has read of an owner, or has claimed the shard."""


@pytest.mark.parametrize("forgets", [True, False])
def test_an_owner_that_the_store_has_forgotten_is_waited_for(forgets: bool) -> None:
    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False)
        await world.begin()
        first = str(world.owner())
        second = next(name for name in world.hosts if name != first)
        assert await world.submit(first, world.new_job(step(1, estimate_s=LONG_S))) == 200
        await asyncio.sleep(BEGUN_S)
        world.kill_host(first)
        candidate = world.start_host(first).host.candidates[0]
        await until(lambda: candidate.view.owner is not None, limit_s=WAIT_S)
        world.store.silent.add(first)
        assert candidate.tenure is None
        await until(
            lambda: world.hosts[second].host.candidates[0].tenure is not None, limit_s=WAIT_S
        )
        await asyncio.sleep(BEGUN_S)
        # Partition the network: the owner and its task's executor on one side, the rest on
        # the other.
        for address, executor in world.executors.items():
            world.cuts.add((first if executor.running else second, address))
        world.store.silent.add(second)
        await asyncio.sleep(0.1)
        if forgets:
            world.store.forget(OWNERS)
        world.store.silent.discard(first)
        await asyncio.sleep(OUTLIVED_S)
        return world

    assert run_virtual(play()).problems == []
