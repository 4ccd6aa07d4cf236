"""A hall that loses all of its hosts is owned by a host of another hall within a time limit."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.host.candidate import REMOTE_READ_PAUSE_S
from linkspan.shard.ownership.ownership import RELEASED_CLAIM_DELAY_S, REMOTE_OWNER_SILENCE_S
from tests.hall_world import HallWorld
from tests.virtual_time import run_virtual

HALLS = tuple(f"hall-{index}" for index in range(6))

CALLS_S = 0.5
"""Time for a claim and the calls around it."""

SETTLED_S = (7.0, 8.1, 9.2, 10.3, 11.4, 12.5)
"""Times of the loss: they cover all phases of the reads of other halls' ownership."""

LOST_TOGETHER = (0, 4, 5)
"""Half of the halls."""


async def begin_settled(settled_s: float) -> HallWorld:
    world = HallWorld(halls=HALLS, executors_per_hall=1)
    await world.begin()
    await asyncio.sleep(settled_s)
    assert all(world.owner(shard) for shard in range(len(HALLS)))
    return world


def hosts_of(world: HallWorld, shard: int) -> list[str]:
    return [name for name, hall in world.host_names() if hall == HALLS[shard]]


async def wait_for_owner(world: HallWorld, shard: int, limit_s: float) -> str:
    began = asyncio.get_running_loop().time()
    while not (owner := world.owner(shard)):
        assert asyncio.get_running_loop().time() - began < limit_s, "no host owns the shard"
        await asyncio.sleep(0.05)
    return owner


@pytest.mark.parametrize("settled_s", SETTLED_S)
def test_a_hall_whose_hosts_are_killed_is_owned_by_another_in_time(settled_s: float) -> None:
    async def play() -> HallWorld:
        world = await begin_settled(settled_s)
        for name in hosts_of(world, 0):
            world.kill_host(name)
        await wait_for_owner(world, 0, REMOTE_OWNER_SILENCE_S + REMOTE_READ_PAUSE_S + CALLS_S)
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("settled_s", SETTLED_S)
def test_halls_that_are_lost_together_are_owned_by_others_in_time(settled_s: float) -> None:
    async def play() -> HallWorld:
        world = await begin_settled(settled_s)
        for shard in LOST_TOGETHER:
            for name in hosts_of(world, shard):
                world.kill_host(name)
        for shard in LOST_TOGETHER:
            await wait_for_owner(
                world, shard, REMOTE_OWNER_SILENCE_S + REMOTE_READ_PAUSE_S + CALLS_S
            )
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("lost", [(0,), LOST_TOGETHER])
@pytest.mark.parametrize("settled_s", SETTLED_S)
def test_a_hall_that_is_stopped_as_planned_is_owned_at_once(
    settled_s: float, lost: tuple[int, ...]
) -> None:
    async def play() -> HallWorld:
        world = await begin_settled(settled_s)
        names = [name for shard in lost for name in hosts_of(world, shard)]
        await asyncio.gather(*(world.remove_host(name) for name in names))
        for shard in lost:
            await wait_for_owner(
                world, shard, RELEASED_CLAIM_DELAY_S + REMOTE_READ_PAUSE_S + CALLS_S
            )
        return world

    assert run_virtual(play()).problems == []
