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
from linkspan.shard.ownership.owner_record import OwnerAct, OwnerRecord
from tests.hall_world import HallWorld
from tests.host.owner_waits import (
    OUTLIVED_S,
    OWNERS,
    cut_off_owner,
    kill_first_owner,
    until,
)
from tests.virtual_time import run_virtual

WAIT_S = 5.0
"""Longest time until the next owner has claimed the shard, or has renewed a few times."""


@pytest.mark.parametrize("late", [True, False])
def test_a_late_renewal_hides_no_owner(late: bool) -> None:
    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False)
        await world.begin()
        succession = await kill_first_owner(world, limit_s=WAIT_S)
        first, earlier_owner = succession.first, succession.first_owner
        if late:
            record = OwnerRecord(
                OwnerAct.RENEW, first, earlier_owner.incarnation, earlier_owner.token, 99
            )
            world.store.put(OWNERS, b"", record.encode())
        end = world.store.log(OWNERS).end
        await until(
            lambda: world.store.log(OWNERS).end == end + MAX_PAST_RECORDS - 1, limit_s=WAIT_S
        )
        cut_off_owner(world, succession)
        world.start_host(first)
        await asyncio.sleep(OUTLIVED_S)
        return world

    assert run_virtual(play()).problems == []
