"""An owner is reckoned with also where the first record read is a late renewal before a claim.

What was suspected: a task runs on two executors at once. Its owner is cut from the store and goes
on giving leases; a host that has just started anew counts no time at all for it.

How it comes about: a host that starts reads the last few records of ownership. The first of them
is a renewal of a tenure that ended long ago, done late; its number says that this tenure had ruled
for minutes, so that all others seem to have ended before. The next record is a claim by a later
life of the same host, which counts as no change of owner. The owner that ruled between the two is
in none of the records read. That life ended soon after its claim, and the host starts once more.

What proves it: the play; without the late renewal the host finds the owner between, and waits.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.host.candidate import MAX_PAST_RECORDS
from linkspan.shard.ownership.ownership import MAX_UNPROVED_S, OwnerAct, OwnerRecord, OwnerView
from linkspan.store.types import Entry
from tests.hall_world import HallWorld
from tests.host.owner_waits import BEGUN_S, LONG_S, OUTLIVED_S, OWNERS, until
from tests.job_builders import step
from tests.virtual_time import run_virtual

WAIT_S = 5.0
"""Longest time until a successor has claimed the shard, or has renewed a few times."""


@pytest.mark.parametrize("late", [True, False])
def test_an_owner_between_two_lives_of_a_host_is_reckoned_with(late: bool) -> None:
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
        # One side of a cut has the owner and its task's executor, the other one all else.
        for address, executor in world.executors.items():
            world.cuts.add((first if executor.running else second, address))
        world.store.silent.add(second)
        if late:
            record = OwnerRecord(OwnerAct.RENEW, first, life.incarnation, token, 99)
            world.store.put(OWNERS, b"", record.encode())
        end = world.store.log(OWNERS).end
        world.start_host(first)
        # The claim of its second life, and as many renewals as leave no older record to read.
        await until(
            lambda: world.store.log(OWNERS).end == end + MAX_PAST_RECORDS - 1, limit_s=WAIT_S
        )
        world.kill_host(first)
        world.start_host(first)
        await asyncio.sleep(OUTLIVED_S)
        return world

    assert run_virtual(play()).problems == []


def test_a_claim_by_a_later_life_tells_nothing_of_who_ruled_between() -> None:
    view = OwnerView("me", "third life", home=True)
    records = [
        OwnerRecord(OwnerAct.RENEW, "me", "first life", 1, 99),
        OwnerRecord(OwnerAct.CLAIM, "me", "second life"),
        OwnerRecord(OwnerAct.RENEW, "me", "second life", 120, 1),
    ]
    for offset, record in enumerate(records, 118):
        view.apply(Entry(offset, record.encode()), 10.0)
    assert view.former_owners_remaining_s(10.0) == MAX_UNPROVED_S
