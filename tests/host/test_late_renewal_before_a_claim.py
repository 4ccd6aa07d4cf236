"""A restarted host waits for an owner that none of the records it reads names.

The failure guarded against: a task runs on two executors at once. Its owner is cut off from the
store and goes on granting leases, while a host that has just restarted does not wait for that
owner at all.

A host that starts reads the last few ownership records. The first of them is a renewal of a
tenure that ended long ago, applied late; its number says that this tenure had lasted for
minutes, so that all earlier owners seem to have stopped. The next record is a claim by a later
incarnation of the same host, which counts as no change of owner. The owner between the two is
in none of the records read. The claiming incarnation ended soon after, and the host restarts.

Without the late renewal, the host finds the owner in between and waits.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.shard.ownership.owner_record import OwnerAct, OwnerRecord
from linkspan.shard.ownership.ownership import MAX_UNPROVED_S, OwnerView
from linkspan.store.types import Entry
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
def test_an_owner_between_two_incarnations_of_a_host_is_waited_for(late: bool) -> None:
    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False)
        await world.begin()
        succession = await kill_first_owner(world)
        cut_off_owner(world, succession)
        if late:
            apply_late_renewal(world, succession)
        end = world.store.log(OWNERS).end
        world.start_host(succession.first)
        # The claim by its second incarnation, and enough renewals that no older record is read.
        await wait_for_past_records(world, end)
        world.kill_host(succession.first)
        world.start_host(succession.first)
        await asyncio.sleep(OUTLIVED_S)
        return world

    assert run_virtual(play()).problems == []


def test_a_claim_by_a_later_incarnation_proves_nothing_about_owners_between() -> None:
    view = OwnerView("me", "third incarnation", home=True)
    records = [
        OwnerRecord(OwnerAct.RENEW, "me", "first incarnation", 1, 99),
        OwnerRecord(OwnerAct.CLAIM, "me", "second incarnation"),
        OwnerRecord(OwnerAct.RENEW, "me", "second incarnation", 120, 1),
    ]
    for offset, record in enumerate(records, 118):
        view.apply(Entry(offset, record.encode()), 10.0)
    assert view.former_owners_remaining_s(10.0) == MAX_UNPROVED_S
