"""An owner acts from when it claimed, not from when it read that its claim was done.

An owner may act for a while without having proved its ownership. Its successor reckons that time
from what it read itself, so an owner must not reckon it from an answer that came late.
"""

from __future__ import annotations

import asyncio
import time

from linkspan.shard.ownership.ownership import MAX_UNPROVED_S, OwnerAct, OwnerRecord
from linkspan.store.types import Partition
from tests.hall_world import HallWorld
from tests.virtual_time import run_virtual

OWNERS = Partition("owners", 0)

READ_TAKES_S = 4.0
"""Time that a read takes on its way: more than the silence after which others claim."""


def test_an_owner_that_read_its_claim_late_acts_no_longer_for_that() -> None:
    async def play() -> None:
        world = HallWorld(hosts_per_hall=2)
        await world.begin()
        first = str(world.owner())
        second = next(name for name in world.hosts if name != first)
        candidate = world.hosts[second].host.candidates[0]
        world.kill_host(first)
        while _last_act(world) is not OwnerAct.CLAIM:
            await asyncio.sleep(0.001)
        claimed_at = time.monotonic()
        world.store.reads_take[second, OWNERS.topic] = READ_TAKES_S
        while candidate.tenure is None:
            await asyncio.sleep(0.005)
        assert time.monotonic() - claimed_at >= READ_TAKES_S / 2
        world.store.silent.add(second)
        await asyncio.sleep(claimed_at + MAX_UNPROVED_S + 0.1 - time.monotonic())
        assert not candidate.tenure.may_act(time.monotonic())

    run_virtual(play())


def _last_act(world: HallWorld) -> OwnerAct:
    return OwnerRecord.decode(world.store.log(OWNERS).entries[-1].value).act
