"""A renewal that the store does late names no owner that has been followed by another.

What was seen: a host that started anew claimed the shard of an owner that lived, at once and
as its own; a task of that owner then ran on two executors.

How it came about: a host that starts reads the last few records of ownership. The first of
them was a renewal of its own earlier life, done late, behind its successor's claim. It took
that for the owner's and passed over the renewals of the true one, whose token is higher. An
earlier life of this host can't act any more, so it waited for one lease only; the true owner,
cut from the store just then, went on giving leases for a while.

What proved it: the play; without the late renewal the same host knows the owner and waits.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.host.candidate import MAX_PAST_RECORDS
from linkspan.shard.ownership.ownership import OwnerAct, OwnerRecord
from tests.hall_world import HallWorld
from tests.host.owner_waits import BEGUN_S, LONG_S, OUTLIVED_S, OWNERS, until
from tests.job_builders import step
from tests.virtual_time import run_virtual

WAIT_S = 5.0
"""Longest time until a successor has claimed the shard, or has renewed a few times."""


@pytest.mark.parametrize("late", [True, False])
def test_a_late_renewal_hides_no_owner(late: bool) -> None:
    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False)
        await world.begin()
        first = world.owner()
        assert first
        token, life = 1, world.hosts[first].host.candidates[0].view.owner
        assert life and life.token == token
        second = next(name for name, _ in world.host_names() if name != first)
        world.kill_host(first)
        await until(lambda: world.owner() == second, limit_s=WAIT_S)
        assert await world.submit(second, world.new_job(step(1, estimate_s=LONG_S))) == 200
        await asyncio.sleep(BEGUN_S)
        if late:
            record = OwnerRecord(OwnerAct.RENEW, first, life.incarnation, token, 99)
            world.store.put(OWNERS, b"", record.encode())
        end = world.store.log(OWNERS).end
        await until(
            lambda: world.store.log(OWNERS).end == end + MAX_PAST_RECORDS - 1, limit_s=WAIT_S
        )
        # One side of a cut has the owner and its task's executor, the other one all else.
        for address, executor in world.executors.items():
            world.cuts.add((first if executor.running else second, address))
        world.store.silent.add(second)
        world.start_host(first)
        await asyncio.sleep(OUTLIVED_S)
        return world

    assert run_virtual(play()).problems == []
