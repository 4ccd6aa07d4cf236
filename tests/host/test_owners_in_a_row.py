"""A new owner reckons with each former owner that may still act, not with the last one only.

What was suspected: a task ran in two places at once. A new owner starts work again at executors
that it does not reach once all leases that former owners granted have run out.

How it can come about: the first owner is cut off from the store, still reaches its executors and
renews their leases for as long as an owner may without proof. Its successor does not reach them,
is killed soon and starts again. As its own earlier life surely gives no orders any more, it
counted no time at all for former owners, and the first one was forgotten.

What proved it: the first play, which ran a task beside its first run.
"""

from __future__ import annotations

import asyncio

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

TAKEN_OVER_S = 3.0
"""Time after which a silent owner has a successor in its hall."""


def test_an_owner_cut_off_from_the_store_counts_after_its_successor_starts_again() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        first = str(world.owner())
        second = next(name for name in world.hosts if name != first)
        spec = world.new_job(step(2, estimate_s=60.0))
        await world.submit(first, spec)
        await asyncio.sleep(1.0)
        world.cut(second, "east")
        # The one without work is on the other side: there is room, and nobody tells the first.
        idle = next(a for a, e in world.executors.items() if not e.running)
        world.cuts.discard((second, idle))
        world.cuts.add((first, idle))
        world.store.silent.add(first)
        await asyncio.sleep(TAKEN_OVER_S)
        assert world.hosts[second].host.candidates[0].tenure
        world.kill_host(second)
        await asyncio.sleep(0.3)
        world.start_host(second)
        await asyncio.sleep(25.0)
        return world

    assert run_virtual(play()).problems == []


def test_work_goes_on_soon_after_an_owner_that_ruled_for_long_starts_again() -> None:
    """Owners before it gave their last orders long ago: only their leases' length counts."""

    async def play() -> HallWorld:
        world = HallWorld(hosts_per_hall=1)
        await world.begin()
        (name,) = world.hosts
        spec = world.new_job(step(2, estimate_s=30.0))
        await world.submit(name, spec)
        await asyncio.sleep(15.0)
        busy = next(a for a, e in world.executors.items() if e.running)
        world.kill_host(name)
        world.cuts.add((name, busy))
        world.start_host(name)
        await asyncio.sleep(world.max_lease_s + 3.0)
        assert all(len(times) == 2 for task, times in world.starts.items() if len(times) > 1)
        assert any(len(times) == 2 for times in world.starts.values())
        return world

    assert run_virtual(play()).problems == []
