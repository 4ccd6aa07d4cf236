"""Interference effects that one owner learned reach other and next owners."""

from __future__ import annotations

import asyncio

from linkspan.shard.colocation.interference import PRIOR_EFFECT
from linkspan.shard.handover.summary import HallSummary, PairEffect
from tests.hall_world import HallWorld
from tests.virtual_time import run_virtual

LEARNED = PairEffect("front", "batch", 0.11, 1e-5)


def effect_in_hall(world: HallWorld, shard: int) -> float:
    name = world.owner(shard)
    assert name
    tenure = world.hosts[name].host.candidates[shard].tenure
    assert tenure
    return tenure.core.interference.effect(LEARNED.standing, LEARNED.image)


def adopt_effect(world: HallWorld, shard: int) -> None:
    name = world.owner(shard)
    assert name
    tenure = world.hosts[name].host.candidates[shard].tenure
    assert tenure
    now = asyncio.get_running_loop().time()
    tenure.core.interference.adopt(HallSummary(effects=(LEARNED,)).effects, now)


def test_effects_that_one_owner_learned_reach_the_owners_of_other_halls() -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        assert effect_in_hall(world, 1) == PRIOR_EFFECT
        adopt_effect(world, 0)
        await asyncio.sleep(5.0)
        assert effect_in_hall(world, 1) == LEARNED.mean
        return world

    assert run_virtual(play()).problems == []


def test_a_new_owner_adopts_effects_that_the_previous_owner_published() -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east",))
        await world.begin()
        adopt_effect(world, 0)
        await asyncio.sleep(5.0)
        former = world.owner()
        assert former
        world.kill_host(former)
        await asyncio.sleep(5.0)
        assert world.owner() not in (None, former)
        assert effect_in_hall(world, 0) == LEARNED.mean
        return world

    assert run_virtual(play()).problems == []
