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

from tests.hall_world import HallWorld
from tests.host.owner_waits import (
    OUTLIVED_S,
    OWNERS,
    apply_late_renewal,
    cut_off_owner,
    kill_first_owner,
    wait_for_past_records,
)
from tests.virtual_time import run_virtual


@pytest.mark.parametrize("late", [True, False])
def test_a_late_renewal_hides_no_owner(late: bool) -> None:
    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False)
        await world.begin()
        succession = await kill_first_owner(world)
        if late:
            apply_late_renewal(world, succession)
        end = world.store.log(OWNERS).end
        await wait_for_past_records(world, end)
        cut_off_owner(world, succession)
        world.start_host(succession.first)
        await asyncio.sleep(OUTLIVED_S)
        return world

    assert run_virtual(play()).problems == []
