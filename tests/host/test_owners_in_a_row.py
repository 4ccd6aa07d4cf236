"""A new owner waits for each former owner that may still act, not only for the last one.

The failure guarded against: a task runs in two places at once. A new owner restarts work of
executors that it does not reach once all leases that former owners granted have expired.

The first owner is cut off from the store, still reaches its executors and renews their leases
for as long as an owner may without confirmed ownership. The next owner does not reach them, is
killed soon and restarts. As its own earlier incarnation can give no more orders, it did not wait
for former owners at all, and the first one was forgotten.

The first test ran a task beside its first run before the fix.
"""

from __future__ import annotations

import asyncio

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

TAKEOVER_S = 3.0
"""Time after which another host of the hall has taken over from a silent owner."""


def test_an_owner_cut_off_from_the_store_is_waited_for_after_the_next_owner_restarts() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        first = str(world.owner())
        second = next(name for name in world.hosts if name != first)
        spec = world.new_job(step(2, estimate_s=60.0))
        await world.submit(first, spec)
        await asyncio.sleep(1.0)
        world.cut(second, "east")
        # The idle executor is on the other side: it has capacity, and the first owner does not
        # learn of the new one from it.
        idle = next(a for a, e in world.executors.items() if not e.running)
        world.cuts.discard((second, idle))
        world.cuts.add((first, idle))
        world.store.silent.add(first)
        await asyncio.sleep(TAKEOVER_S)
        assert world.hosts[second].host.candidates[0].tenure
        world.kill_host(second)
        await asyncio.sleep(0.3)
        world.start_host(second)
        await asyncio.sleep(25.0)
        return world

    assert run_virtual(play()).problems == []


def test_work_resumes_soon_after_a_long_lived_owner_restarts() -> None:
    """Owners before it gave their last orders long ago: only the duration of leases counts."""

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
