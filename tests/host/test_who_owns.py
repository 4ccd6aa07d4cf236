"""Which host of a hall owns its shard: one that can carry it, by what each observes of itself.

Answers a hall as it was played at hundreds of hosts: 3 hosts of 2.15 cores beside 16 of 0.516,
all of which claim at the same silence; an owner of 108 executors takes about half a core.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.host._claim_delay import DELAY_PER_LOAD_SECOND, MAX_CLAIM_DELAY_S, ClaimDelay
from linkspan.shard.ownership.ownership import OWNER_SILENCE_S, RELEASED_CLAIM_DELAY_S
from tests.hall_world import HallWorld
from tests.virtual_time import run_virtual

STRONG = 3
HOSTS = 19

FAST_S = 0.25
SLOW_S = 0.65
"""Times that strong and weak hosts took to load the program in plays of that hall."""


def hall() -> HallWorld:
    """Return a hall whose first hosts by name are weak."""
    world = HallWorld(hosts_per_hall=HOSTS)
    names = [name for name, _ in world.host_names()]
    world.loaded_s = {n: SLOW_S for n in names[:-STRONG]} | {n: FAST_S for n in names[-STRONG:]}
    return world


def is_strong(world: HallWorld, name: str | None) -> bool:
    return name is not None and world.loaded_s[name] == FAST_S


def test_a_strong_host_owns_when_all_start() -> None:
    async def play() -> HallWorld:
        world = hall()
        await world.begin()
        assert is_strong(world, world.owner())
        return world

    assert run_virtual(play()).problems == []


def test_a_strong_host_follows_a_killed_one_while_there_is_one() -> None:
    async def play() -> HallWorld:
        world = hall()
        await world.begin()
        for _ in range(STRONG - 1):
            owner = world.owner()
            assert owner
            world.kill_host(owner)
            await asyncio.sleep(OWNER_SILENCE_S + MAX_CLAIM_DELAY_S + 1.0)
            assert is_strong(world, world.owner())
        world.kill_host(str(world.owner()))
        await asyncio.sleep(OWNER_SILENCE_S + MAX_CLAIM_DELAY_S + 1.0)
        assert world.owner(), "a weak host is better than none"
        return world

    assert run_virtual(play()).problems == []


def test_a_strong_host_takes_a_shard_that_is_handed_on() -> None:
    async def play() -> HallWorld:
        world = hall()
        await world.begin()
        for _ in range(STRONG - 1):
            owner = world.owner()
            assert owner
            await world.remove_host(owner)
            await asyncio.sleep(1.0)
            assert is_strong(world, world.owner())
        return world

    assert run_virtual(play()).problems == []


def test_a_weak_host_waits_less_than_another_hall() -> None:
    assert ClaimDelay(60.0).delay_s == MAX_CLAIM_DELAY_S
    assert MAX_CLAIM_DELAY_S < RELEASED_CLAIM_DELAY_S


def test_a_host_that_lags_lets_others_first_for_a_while() -> None:
    claim_delay = ClaimDelay(FAST_S)
    calm = DELAY_PER_LOAD_SECOND * FAST_S
    assert claim_delay.delay_s == pytest.approx(calm)
    claim_delay.record_lag(0.1)
    assert claim_delay.delay_s == pytest.approx(calm + 0.1)
    for _ in range(50):
        claim_delay.record_lag(0.0)
    assert claim_delay.delay_s == pytest.approx(calm, abs=0.001)
