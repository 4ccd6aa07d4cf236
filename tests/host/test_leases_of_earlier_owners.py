"""An owner waits for the leases of all owners before it that may still act.

Guards against a task that runs on two executors at once. The first owner loses the store and keeps
granting leases at an executor that the second owner can't reach.

An owner acts for a limited time without the store, and its leases last for one lease longer. The
second owner waits that long for executors that do not answer. If it is killed soon after its claim,
its host restarts and claims the shard from its own previous incarnation. It must not wait for one
lease only: the previous incarnation can't act any more, but the first owner can.

In the same way a job without any progress record moves as a whole and starts at run 1 in the other
hall. Without the kill of the second owner the scenarios pass either way.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from tests.hall_world import HallWorld
from tests.host.owner_waits import BEGUN_S, LONG_S, OUTLIVED_S, start_long_task
from tests.job_builders import step
from tests.virtual_time import run_virtual

MAX_CLAIM_DELAY_S = 5.0
"""Longest time until the next owner claims the shard of a silent owner."""

DOWN_S = 0.5
"""Time between a claim and the kill of the owner, and between the kill and the restart."""

UNRECORDED_S = 0.03
"""Time after an acceptance by which the first tasks run and no progress is on record yet."""


@pytest.mark.parametrize("killed", [True, False])
def test_an_owner_waits_for_the_leases_of_the_owner_before_the_previous_one(killed: bool) -> None:
    """The second owner can't reach the executor on which the first owner runs a task."""

    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False)
        first, second = await start_long_task(world)
        # Cuts the first owner and that executor off from the other host and executors.
        for address, executor in world.executors.items():
            world.cuts.add((second if executor.running else first, address))
        world.store.silent.add(first)
        await _take_over(world, second, killed)
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("killed", [True, False])
def test_a_job_of_the_owner_before_the_previous_one_does_not_move(killed: bool) -> None:
    """The job runs on an executor that the new owner can't reach; the other executors are full."""

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"), lists_machines=False)
        await world.begin()
        first = world.owner(0)
        assert first
        second = next(n for n, hall in world.host_names() if hall == "east" and n != first)
        fill = step(2, cpu=world.milli_cpu, estimate_s=LONG_S, max_per_executor=1)
        assert await world.submit(first, world.new_job(fill)) == 200
        await asyncio.sleep(BEGUN_S)
        spec = world.new_job(step(1, estimate_s=LONG_S))
        world.specs[spec.job_id] = spec
        world.store.put(JOBS, *encode(Submitted(spec, 0, time.time(), "life-x")))
        await asyncio.sleep(UNRECORDED_S)
        (busy,) = (
            address
            for address, executor in world.executors.items()
            if any(task.job_id == spec.job_id for task in executor.running)
        )
        others = [a for a, e in world.executors.items() if e.record.hall == "east" and a != busy]
        world.cuts = {(second, busy)} | {(first, address) for address in others}
        world.store.silent.add(first)
        await _take_over(world, second, killed)
        return world

    problems = run_virtual(play()).problems
    # After its lease has expired, no report shows the run: the job may start elsewhere.
    assert [line for line in problems if "ELSEWHERE" not in line] == []


async def _take_over(world: HallWorld, second: str, killed: bool) -> None:
    """Wait until a host owns the shard and all leases expire; restart it first if ``killed``."""
    async with asyncio.timeout(MAX_CLAIM_DELAY_S):
        while not world.hosts[second].host.candidates[0].tenure:
            await asyncio.sleep(0.05)
    if killed:
        await asyncio.sleep(DOWN_S)
        world.kill_host(second)
        await asyncio.sleep(DOWN_S)
        world.start_host(second)
    await asyncio.sleep(OUTLIVED_S)
