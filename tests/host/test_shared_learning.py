"""Effects that one owner learnt reach the others, and its successor."""

from __future__ import annotations

import asyncio

from linkspan.shard.colocation.interference import PRIOR_EFFECT
from linkspan.shard.handover.summary import HallSummary, PairEffect
from tests.hall_world import HallWorld
from tests.virtual_time import run_virtual

LEARNT = PairEffect("front", "batch", 0.11, 1e-5)


def effect_at(world: HallWorld, shard: int) -> float:
    name = world.owner(shard)
    assert name
    tenure = world.hosts[name].host.candidates[shard].tenure
    assert tenure
    return tenure.core.interference.effect(LEARNT.standing, LEARNT.image)


def learn(world: HallWorld, shard: int) -> None:
    name = world.owner(shard)
    assert name
    tenure = world.hosts[name].host.candidates[shard].tenure
    assert tenure
    now = asyncio.get_running_loop().time()
    tenure.core.interference.adopt(HallSummary(effects=(LEARNT,)).effects, now)


def test_what_one_owner_learnt_reaches_the_owners_of_other_halls() -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        assert effect_at(world, 1) == PRIOR_EFFECT
        learn(world, 0)
        await asyncio.sleep(5.0)
        assert effect_at(world, 1) == LEARNT.mean
        return world

    assert run_virtual(play()).problems == []


def test_a_new_owner_goes_on_with_what_its_predecessor_told() -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east",))
        await world.begin()
        learn(world, 0)
        await asyncio.sleep(5.0)
        former = world.owner()
        assert former
        world.kill_host(former)
        await asyncio.sleep(5.0)
        assert world.owner() not in (None, former)
        assert effect_at(world, 0) == LEARNT.mean
        return world

    assert run_virtual(play()).problems == []
