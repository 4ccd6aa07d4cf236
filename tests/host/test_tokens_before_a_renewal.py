"""A next incarnation of an executor is told a higher token before its owner's first renewal.

Guards against a task that runs twice. Until an owner had read a renewal of its claim back, which
takes 0.6 s, or seconds if the store is out, an executor's next incarnation was told the token of
the one before, and accepted an order that was on its way to that one.
"""

from __future__ import annotations

import asyncio

from linkspan.shard.ownership.owner_record import OwnerAct, OwnerRecord
from tests.hall_world import HallWorld
from tests.host.owner_waits import OWNERS, until
from tests.virtual_time import run_virtual

WAIT_S = 5.0
"""Longest time until the next owner has polled the executor."""

RESTART_S = 0.01
"""Time for which the executor is down."""

FOUND_S = 1.0
"""Time within which the owner has found the next incarnation and told it a token."""


def test_a_next_incarnation_is_told_a_higher_token_before_the_first_renewal() -> None:
    async def play() -> None:
        world = HallWorld()
        await world.begin()
        first = world.owner()
        assert first
        address = next(a for a, e in world.executors.items() if e.record.hall == world.halls[0])
        token = world.executors[address].token
        world.kill_host(first)
        await until(lambda: world.executors[address].token > token, limit_s=WAIT_S)
        owner = world.owner()
        assert owner and owner != first
        world.store.refusing.add(owner)
        token = world.executors[address].token
        crashed = world.executors[address]
        world.restart_executor(address, down_s=RESTART_S, clock_s=0.0)
        await until(lambda: world.executors[address] is not crashed, limit_s=WAIT_S)
        await asyncio.sleep(FOUND_S)
        newest = OwnerRecord.decode(world.store.log(OWNERS).entries[-1].value)
        assert newest.act is OwnerAct.CLAIM, "not renewed yet"
        assert world.executors[address].token > token
        world.store.calm()
        await asyncio.sleep(WAIT_S)
        assert world.owner() == owner, "the tenure goes on"
        assert world.problems == []

    run_virtual(play())
