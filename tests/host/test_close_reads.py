"""Rate at which owners read the ownership of other halls, whose summaries tell of room."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import ClassVar

import pytest

from linkspan.host.candidate import REMOTE_READ_PAUSE_S
from linkspan.shard.ownership.ownership import RENEWAL_INTERVAL_S
from linkspan.store.types import Page, Partition
from tests import hall_world
from tests.host.full_halls import EAST, HALLS, NORTH, Change, FullHalls
from tests.standins.memory_store import StoreLink
from tests.virtual_time import HOST, run_virtual

MEASURED_S = 12.0
OTHER_HALLS = len(HALLS) - 1

SLACK = 1.1
"""Factor for a read at either end of the measured time."""


class _CountingLink(StoreLink):
    """A store connection that counts the reads of ownership, by host and shard."""

    reads: ClassVar[Counter[tuple[str, int]]] = Counter()

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        if partition.topic == "owners":
            self.reads[HOST.get().partition(" ")[0], partition.number] += 1
        return await super().read(partition, start, wait_s=wait_s)


async def _reads_per_s(halls: FullHalls) -> list[float]:
    """Return how often the owner of each hall reads the ownership of another one."""
    _CountingLink.reads.clear()
    await asyncio.sleep(MEASURED_S)
    owners = [halls.world.owner(shard) for shard in range(len(HALLS))]
    return [
        sum(
            count
            for (host, other), count in _CountingLink.reads.items()
            if host == owner and other != shard
        )
        / MEASURED_S
        / OTHER_HALLS
        for shard, owner in enumerate(owners)
    ]


def test_only_owners_whose_standing_tasks_wait_read_other_halls_at_each_record(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls to the store that grow with the halls without any need."""
    monkeypatch.setattr(hall_world, "StoreLink", _CountingLink)

    async def play() -> tuple[list[float], list[float]]:
        halls = FullHalls()
        await halls.fill()
        job = halls.accept(EAST, 2)
        await asyncio.sleep(2.0)
        waiting = await _reads_per_s(halls)
        await halls.apply(Change(0.0, NORTH, 2))
        await asyncio.sleep(5.0)
        assert halls.at_work(job) == 2
        return waiting, await _reads_per_s(halls)

    waiting, later = run_virtual(play())
    assert 0.9 / RENEWAL_INTERVAL_S <= waiting[EAST] <= SLACK / RENEWAL_INTERVAL_S
    assert max(*waiting[1:], *later) <= SLACK / REMOTE_READ_PAUSE_S
