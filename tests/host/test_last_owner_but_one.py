"""A run of an owner that is cut from the store outlives the owners after it.

What was seen: a task ran on two executors at once. It was started by an owner that lost the
store and went on giving leases at an executor that its successor did not reach.

How it came about: an owner acts for a while without the store, and what it leases lasts for a
lease more. Its successor waits that long for executors that do not answer it. That successor
was killed soon after its claim, and its host started again, claimed the shard from its own
earlier life and waited for one lease only: an earlier life of a host can't act any more, but
the owner before it could.

A job of which nothing was written yet moves whole by the same way, and begins at run 1 in the
other hall.

What proved it: the first play, in which only the kill of the successor is more than in the
second one; the second keeps the promise.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from tests.hall_world import HallWorld
from tests.host.owner_waits import BEGUN_S, LONG_S, OUTLIVED_S
from tests.job_builders import step
from tests.virtual_time import run_virtual

CLAIMED_WITHIN_S = 5.0
"""Longest time within which a silent owner's successor claims the shard."""

DOWN_S = 0.5
"""Time for which a killed host is down."""

UNWRITTEN_S = 0.03
"""Time after an acceptance by which the first tasks run and no progress is written yet."""


@pytest.mark.parametrize("killed", [True, False])
def test_the_last_owner_but_one_is_waited_for(killed: bool) -> None:
    """Its successor does not reach the executor on which it runs a task."""

    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False)
        await world.begin()
        first = world.owner()
        assert first
        second = next(name for name, _ in world.host_names() if name != first)
        spec = world.new_job(step(1, estimate_s=LONG_S))
        assert await world.submit(first, spec) == 200
        await asyncio.sleep(BEGUN_S)
        # One side of a cut has the first owner and that executor, the other one all else.
        for address, executor in world.executors.items():
            world.cuts.add((second if executor.running else first, address))
        world.store.silent.add(first)
        await _follow(world, second, killed)
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("killed", [True, False])
def test_a_job_of_the_last_owner_but_one_does_not_move(killed: bool) -> None:
    """It runs where its hall's new owner does not look, and the rest of the hall is full."""

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
        await asyncio.sleep(UNWRITTEN_S)
        (busy,) = (
            address
            for address, executor in world.executors.items()
            if any(task.job_id == spec.job_id for task in executor.running)
        )
        others = [a for a, e in world.executors.items() if e.record.hall == "east" and a != busy]
        world.cuts = {(second, busy)} | {(first, address) for address in others}
        world.store.silent.add(first)
        await _follow(world, second, killed)
        return world

    problems = run_virtual(play()).problems
    # After its lease has lapsed there, nothing tells of the run: the job may begin elsewhere.
    assert [line for line in problems if "ELSEWHERE" not in line] == []


async def _follow(world: HallWorld, second: str, killed: bool) -> None:
    """Have a host own the first hall's shard, or two lives of it, for long enough."""
    async with asyncio.timeout(CLAIMED_WITHIN_S):
        while not world.hosts[second].host.candidates[0].tenure:
            await asyncio.sleep(0.05)
    if killed:
        await asyncio.sleep(DOWN_S)
        world.kill_host(second)
        await asyncio.sleep(DOWN_S)
        world.start_host(second)
    await asyncio.sleep(OUTLIVED_S)
