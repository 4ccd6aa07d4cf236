"""Limits what a host reads of the halls' ownership and of their executors when it starts.

All hosts of a deployment may restart at the same moment. With 97 hosts and five halls, each of
which renews every 0.6 s and publishes kilobytes of its state in every second renewal, a minute
of renewals was 5 MB for each host: 485 MB from a store that sends 80 MB/s to all of them
together, and 4 s of a host's link of 10 Mbit/s. 540 executors that write their entry every 1.5 s
were 63 KB/s for each host, though only the owners of the five halls give orders.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import ClassVar

import pytest

from linkspan.host.candidate import MAX_PAST_RECORDS
from linkspan.store.types import Page, Partition
from tests import hall_world
from tests.hall_executors import EXECUTORS
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import run_virtual

RENEWING_S = 60.0
"""How long owners renew before hosts restart: a hundred renewals per hall."""

STARTING_S = 1.5
"""Time within which a starting host knows all owners and has watched them for the first time."""

RENEWALS_WHILE_STARTING = 4
"""Number of renewals of a hall's owner that a host reads in that time."""


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
        max_records = MAX_PAST_RECORDS + RENEWALS_WHILE_STARTING
        assert counted[name, "owners"] <= len(world.halls) * max_records
        for candidate in started.host.candidates:
            assert candidate.view.owner
            assert candidate.view.owner.host in owners
            assert candidate.view.summary
        return world

    assert run_virtual(play()).problems == []


def test_hosts_that_all_restart_have_owners_as_soon_as_at_first() -> None:
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


def test_only_owners_read_the_registrations(counted: Counter[tuple[str, str]]) -> None:
    async def play() -> HallWorld:
        world = HallWorld(hosts_per_hall=3)
        await world.begin()
        for _ in range(20):
            for executor in world.executors.values():
                world.register(executor)
            await asyncio.sleep(1.5)
        owner = world.owner()
        assert owner
        others = [name for name in world.hosts if name != owner]
        assert counted[owner, EXECUTORS.topic] >= 20 * len(world.executors)
        assert [counted[name, EXECUTORS.topic] for name in others] == [0, 0]
        return world

    assert run_virtual(play()).problems == []


def test_a_new_owner_knows_the_executors_when_it_begins() -> None:
    """A host reads no entries of executors before it claims."""

    async def play() -> HallWorld:
        world = HallWorld(executors_per_hall=30)
        await world.begin()
        world.crash_executor("east-0:1", back=False)
        owner = world.owner()
        assert owner
        world.kill_host(owner)
        await asyncio.sleep(4.0)
        next_owner = world.owner()
        assert next_owner not in (None, owner)
        spec = world.new_job(step(29, estimate_s=0.5, cpu=8_000))
        assert await world.submit(str(next_owner), spec) == 200
        await world.wait_for(str(next_owner), spec.job_id, "succeeded", limit_s=2.0)
        return world

    assert run_virtual(play()).problems == []


def test_a_host_that_lost_its_shard_stops_following_executors(
    counted: Counter[tuple[str, str]],
) -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        former = world.owner()
        assert former
        world.store.silent.add(former)
        await asyncio.sleep(6.0)
        world.store.silent.clear()
        await asyncio.sleep(3.0)
        assert world.owner() not in (None, former)
        counted.clear()
        for executor in world.executors.values():
            world.register(executor)
        await asyncio.sleep(6.0)
        assert counted[former, EXECUTORS.topic] == 0
        assert world.hosts[former].host.executor_registry.executors() == []
        return world

    assert run_virtual(play()).problems == []


def test_a_host_that_owns_again_reads_only_the_newest_entries(
    counted: Counter[tuple[str, str]],
) -> None:
    """This also holds where a pending read ends after the host has lost its shard."""

    async def play() -> HallWorld:
        world = HallWorld(hosts_per_hall=1)
        await world.begin()
        (name,) = world.hosts
        executor_registry = world.hosts[name].host.executor_registry
        executor_registry.pause()
        await executor_registry.follower.sync()
        for _ in range(200):
            for executor in world.executors.values():
                world.register(executor)
        await asyncio.sleep(1.0)
        counted.clear()
        executor_registry.resume()
        await asyncio.sleep(1.0)
        assert len(executor_registry.executors()) == len(world.executors)
        assert counted[name, EXECUTORS.topic] <= len(world.executors)
        return world

    run_virtual(play())
