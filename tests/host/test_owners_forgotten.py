"""A host that missed records of ownership reckons with an owner that it has not read of.

What was suspected: a task runs on two executors at once. Its owner is cut from the store and goes
on giving leases; the next owner counts no time at all for it.

How it comes about: a host that starts anew finds its earlier life as the owner, and the store turns
it away before it has claimed. Another host claims the shard and rules for a while. Then the store
forgets its history, and all that it held of that owner. The first host goes on behind it with what
it knew: the owner is an earlier life of its own, which can't act any more. It claims at once.

What proves it: the play; with the history kept the same host finds the other owner and waits.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld
from tests.host.owner_waits import BEGUN_S, LONG_S, OUTLIVED_S, OWNERS, until
from tests.job_builders import step
from tests.virtual_time import run_virtual

LOOK_S = 0.001
"""Time between looks at what a host has read."""

WAIT_S = 5.0
"""Longest time until a host has read of an owner, or has claimed the shard."""


@pytest.mark.parametrize("forgets", [True, False])
def test_an_owner_that_the_store_has_forgotten_is_reckoned_with(forgets: bool) -> None:
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
        # One side of a cut has the owner and its task's executor, the other one all else.
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
