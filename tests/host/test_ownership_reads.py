"""What a host reads of the halls' ownership when it starts.

All hosts of a deployment may start anew at the same moment. With 97 hosts and five halls,
each of which renews every 0.6 s and tells kilobytes of its state in every second renewal,
a minute of renewals was 5 MB for each host: 485 MB from a store that sends 80 MB/s to all of
them together, and 4 s of a host's link of 10 Mbit/s.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import ClassVar

import pytest

from linkspan.host.candidate import PAST_RECORDS
from linkspan.store.types import Page, Partition
from tests import hall_world
from tests.hall_world import HallWorld
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import run_virtual

RENEWING_S = 60.0
"""Time for which owners renew before hosts start anew: a hundred renewals a hall."""

STARTING_S = 1.5
"""Time within which a host that starts knows who owns what, with its watch behind it."""

RENEWALS_WHILE_STARTING = 4
"""Renewals of a hall's owner that a host reads in that time."""


class CountingLink(StoreLink):
    """Counts the records that each host reads, by topic."""

    records: ClassVar[Counter[tuple[str, str]]] = Counter()

    def __init__(self, store: MemoryStore, host: str) -> None:
        super().__init__(store, host)
        self._name = host

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        page = await super().read(partition, start, wait_s=wait_s)
        self.records[self._name, partition.topic] += len(page.entries)
        return page


@pytest.fixture
def counted(monkeypatch: pytest.MonkeyPatch) -> Counter[tuple[str, str]]:
    monkeypatch.setattr(hall_world, "StoreLink", CountingLink)
    CountingLink.records.clear()
    return CountingLink.records


def test_a_host_that_starts_reads_the_last_renewals_only(
    counted: Counter[tuple[str, str]],
) -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"), hosts_per_hall=3)
        await world.begin()
        await asyncio.sleep(RENEWING_S)
        owners = {world.owner(0), world.owner(1)}
        name = next(host for host in world.hosts if host not in owners)
        world.kill_host(name)
        counted.clear()
        started = world.start_host(name)
        await asyncio.sleep(STARTING_S)
        most = PAST_RECORDS + RENEWALS_WHILE_STARTING
        assert counted[name, "owners"] <= len(world.halls) * most
        for candidate in started.host.candidates:
            assert candidate.view.owner
            assert candidate.view.owner.host in owners
            assert candidate.view.summary
        return world

    assert run_virtual(play()).problems == []


def test_hosts_that_all_start_anew_have_owners_as_soon_as_the_first_time() -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"), hosts_per_hall=3)
        await world.begin()
        await asyncio.sleep(RENEWING_S)
        names = list(world.hosts)
        for name in names:
            world.kill_host(name)
        for name in names:
            world.start_host(name)
        await asyncio.sleep(STARTING_S)
        assert world.owner(0)
        assert world.owner(1)
        return world

    assert run_virtual(play()).problems == []
