"""An owner's right to act counts from its claim, not from when it reads the claim back.

An owner may act for a limited time without renewed proof of its ownership. The next owner counts
that time from its own reads of the record, so an owner that counted it from a delayed answer would
act for too long.
"""

from __future__ import annotations

import asyncio
import time

from linkspan.shard.ownership.owner_record import OwnerAct, OwnerRecord
from linkspan.shard.ownership.ownership import MAX_UNPROVED_S
from linkspan.store.types import Partition
from tests.hall_world import HallWorld
from tests.virtual_time import run_virtual

OWNERS = Partition("owners", 0)

READ_DELAY_S = 4.0
"""Delay of a read: longer than the silence after which other hosts claim the shard."""


def test_an_owner_that_reads_its_claim_late_does_not_act_longer() -> None:
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
        world.store.read_duration_s[second, OWNERS.topic] = READ_DELAY_S
        while candidate.tenure is None:
            await asyncio.sleep(0.005)
        assert time.monotonic() - claimed_at >= READ_DELAY_S / 2
        world.store.silent.add(second)
        await asyncio.sleep(claimed_at + MAX_UNPROVED_S + 0.1 - time.monotonic())
        assert not candidate.tenure.may_act(time.monotonic())

    run_virtual(play())


def _last_act(world: HallWorld) -> OwnerAct:
    return OwnerRecord.decode(world.store.log(OWNERS).entries[-1].value).act
