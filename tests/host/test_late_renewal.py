"""A renewal that the store applies late does not hide the current owner of a shard.

The failure: a restarted host claimed the shard of a live owner at once, as if it had owned the
shard itself; a task of that owner then ran on two executors.

A host that starts reads the last few ownership records. The first of them was a renewal by an
earlier incarnation of this host, applied late, behind the next owner's claim. The host took
that incarnation for the owner and ignored the renewals of the actual owner, whose token is
higher. An earlier incarnation of the same host can no longer act, so the host waited for one
lease only. The actual owner, cut off from the store at that moment, went on granting leases.

Without the late renewal, the same host recognizes the owner and waits.
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
"""Longest time until the next owner has claimed the shard, or has renewed a few times."""


@pytest.mark.parametrize("late", [True, False])
def test_a_late_renewal_hides_no_owner(late: bool) -> None:
    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False)
        await world.begin()
        first = world.owner()
        assert first
        token, earlier_owner = 1, world.hosts[first].host.candidates[0].view.owner
        assert earlier_owner and earlier_owner.token == token
        second = next(name for name, _ in world.host_names() if name != first)
        world.kill_host(first)
        await until(lambda: world.owner() == second, limit_s=WAIT_S)
        assert await world.submit(second, world.new_job(step(1, estimate_s=LONG_S))) == 200
        await asyncio.sleep(BEGUN_S)
        if late:
            record = OwnerRecord(OwnerAct.RENEW, first, earlier_owner.incarnation, token, 99)
            world.store.put(OWNERS, b"", record.encode())
        end = world.store.log(OWNERS).end
        await until(
            lambda: world.store.log(OWNERS).end == end + MAX_PAST_RECORDS - 1, limit_s=WAIT_S
        )
        # Partition the network: the owner and its task's executor on one side, the rest on
        # the other.
        for address, executor in world.executors.items():
            world.cuts.add((first if executor.running else second, address))
        world.store.silent.add(second)
        world.start_host(first)
        await asyncio.sleep(OUTLIVED_S)
        return world

    assert run_virtual(play()).problems == []
