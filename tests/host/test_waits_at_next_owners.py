"""Waits of standing tasks whose owner changes again and again meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from linkspan.shard.planning.task_need import HEADROOM_WAIT_S
from tests.hall_world import HallWorld
from tests.job_builders import MAX_AWAY_S, step
from tests.virtual_time import run_virtual, world_time

OWNERS = 3
"""Owners that are lost while the task waits."""

TENURE_S = 5.0
"""Time for which an owner lives: long enough to report the task."""

PROOF_S = 2.0
"""Time after which an owner has the proof that an executor ended, and so counts a wait."""

TOLERANCE_S = 0.5
"""Difference by which a reported wait may be shorter: records hold tenths, and reports repeat."""


async def _kill(world: HallWorld, name: str) -> None:
    world.kill_host(name)


async def _end(world: HallWorld, name: str) -> None:
    await world.remove_host(name)


async def _lose_owner(
    world: HallWorld, lose: Callable[[HallWorld, str], Awaitable[None]] = _kill
) -> None:
    """Lose the owner, and wait until another host is the owner."""
    owner = world.owner()
    assert owner
    await lose(world, owner)
    await asyncio.sleep(1.0)
    world.start_host(owner)
    while world.owner() is None:
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("ran_before", [False, True], ids=["never ran", "ran before"])
@pytest.mark.parametrize("lose", [_kill, _end], ids=["killed", "ended"])
def test_the_reported_wait_goes_on_at_each_next_owner(
    lose: Callable[[HallWorld, str], Awaitable[None]], ran_before: bool
) -> None:
    """Guards against a wait that each owner counts from nothing.

    One of two tasks has no room, as there is one executor for it, or as its executor crashes.
    """

    async def play() -> tuple[float, float]:
        world = HallWorld(hosts_per_hall=2, executors_per_hall=2 if ran_before else 1)
        await world.begin()
        spec = world.new_job(step(2, standing=True, cpu=5_000))
        await world.submit("east-host-0", spec)
        since = world_time()
        if ran_before:
            await asyncio.sleep(TENURE_S)
            world.crash_executor("east-1:1", back=False)
            await asyncio.sleep(PROOF_S)
            since = world_time()
        for _ in range(OWNERS):
            await _lose_owner(world, lose)
            await asyncio.sleep(TENURE_S)
        at, fields = [(t, f) for t, name, f in world.log.lines if name == "STANDING_WAITS"][-1]
        assert world.problems == []
        return fields["waited_s"], at - since

    reported_s, waited_s = run_virtual(play())
    assert waited_s > (OWNERS - 1) * TENURE_S
    assert reported_s >= waited_s - TOLERANCE_S


def test_the_headroom_opens_in_time_although_owners_are_lost() -> None:
    """Guards against a task that waits for the headroom anew at each of a series of owners.

    The only executor has room for it beside nothing but the headroom for short work. No owner lives
    for as long as a task waits for that.
    """

    async def play() -> float:
        world = HallWorld(hosts_per_hall=2, executors_per_hall=1)
        await world.begin()
        spec = world.new_job(step(1, standing=True, cpu=7_900))
        await world.submit("east-host-0", spec)
        since = world_time()
        while not world.executors["east-0:1"].running and world_time() - since < 30.0:
            await asyncio.sleep(HEADROOM_WAIT_S - 1.0)
            if not world.executors["east-0:1"].running:
                await _lose_owner(world)
        assert world.problems == []
        return world_time() - since

    assert run_virtual(play()) <= MAX_AWAY_S
