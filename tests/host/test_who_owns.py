"""A hall's shard is owned by a host with enough capacity for it, as each host measures its own.

The hall has the size of a test at hundreds of hosts: 3 hosts of 2.15 cores beside 16 of 0.516,
all of which claim after the same silence; an owner of 108 executors takes about half a core.
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
"""Times that strong and weak hosts took to load the program in tests of that hall."""


def mixed_hall() -> HallWorld:
    """Return a world of one hall whose hosts are weak but for the last ones by name."""
    world = HallWorld(hosts_per_hall=HOSTS)
    names = [name for name, _ in world.host_names()]
    world.loaded_s = {n: SLOW_S for n in names[:-STRONG]} | {n: FAST_S for n in names[-STRONG:]}
    return world


def is_strong(world: HallWorld, name: str | None) -> bool:
    return name is not None and world.loaded_s[name] == FAST_S


def test_a_strong_host_owns_when_all_start() -> None:
    async def play() -> HallWorld:
        world = mixed_hall()
        await world.begin()
        assert is_strong(world, world.owner())
        return world

    assert run_virtual(play()).problems == []


def test_a_strong_host_replaces_a_killed_one_while_any_is_left() -> None:
    async def play() -> HallWorld:
        world = mixed_hall()
        await world.begin()
        for _ in range(STRONG - 1):
            owner = world.owner()
            assert owner
            world.kill_host(owner)
            await asyncio.sleep(OWNER_SILENCE_S + MAX_CLAIM_DELAY_S + 1.0)
            assert is_strong(world, world.owner())
        world.kill_host(str(world.owner()))
        await asyncio.sleep(OWNER_SILENCE_S + MAX_CLAIM_DELAY_S + 1.0)
        assert world.owner(), "no host owns the hall although a weak one is left"
        return world

    assert run_virtual(play()).problems == []


def test_a_strong_host_takes_a_shard_that_is_handed_off() -> None:
    async def play() -> HallWorld:
        world = mixed_hall()
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


def test_a_host_that_lags_claims_later_for_a_while() -> None:
    claim_delay = ClaimDelay(FAST_S)
    without_lag_s = DELAY_PER_LOAD_SECOND * FAST_S
    assert claim_delay.delay_s == pytest.approx(without_lag_s)
    claim_delay.record_lag(0.1)
    assert claim_delay.delay_s == pytest.approx(without_lag_s + 0.1)
    for _ in range(50):
        claim_delay.record_lag(0.0)
    assert claim_delay.delay_s == pytest.approx(without_lag_s, abs=0.001)
