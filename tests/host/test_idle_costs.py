"""Rate of store reads of a host that owns no shard, by number of halls."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import ClassVar

import pytest

from linkspan.store.types import Page, Partition
from tests import hall_world
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import run_virtual

MEASURED_S = 60.0
"""Time over which calls are count_calls, after ten seconds in which all hosts settle."""

MAX_CALLS_PER_S = {3: 4.1, 5: 5.1, 12: 8.5}
"""Maximum calls per second of a host that owns no shard, by number of halls."""


class CountingLink(StoreLink):
    """A store connection that counts the reads of each host and the bytes returned, by topic."""

    calls: ClassVar[Counter[tuple[str, str]]] = Counter()
    bytes_read: ClassVar[Counter[tuple[str, str]]] = Counter()

    def __init__(self, store: MemoryStore, host: str) -> None:
        super().__init__(store, host)
        self._name = host

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        key = self._name, partition.topic
        self.calls[key] += 1
        page = await super().read(partition, start, wait_s=wait_s)
        self.bytes_read[key] += sum(len(entry.key) + len(entry.value) for entry in page.entries)
        return page


@pytest.fixture(autouse=True)
def count_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(hall_world, "StoreLink", CountingLink)


async def run_halls(halls: int) -> tuple[HallWorld, list[str]]:
    """Run halls with some jobs, and return the hosts that owned no shard during the count."""
    world = HallWorld(halls=tuple(f"hall-{index:02}" for index in range(halls)))
    await world.begin()
    for name, _ in world.host_names():
        await world.submit(name, world.new_job(step(2, estimate_s=MEASURED_S)))
    await asyncio.sleep(10.0)
    CountingLink.calls.clear()
    CountingLink.bytes_read.clear()
    owners = {world.owner(shard) for shard in range(halls)}
    await asyncio.sleep(MEASURED_S)
    assert owners == {world.owner(shard) for shard in range(halls)}
    return world, [name for name in world.hosts if name not in owners]


def per_second(counts: Counter[tuple[str, str]], names: list[str], topic: str) -> float:
    return sum(counts[name, topic] for name in names) / len(names) / MEASURED_S


@pytest.mark.parametrize("halls", MAX_CALLS_PER_S)
def test_a_host_that_owns_nothing_reads_no_more_than_the_records_of_all_halls(halls: int) -> None:
    world, idle = run_virtual(run_halls(halls))
    assert world.problems == []
    assert len(idle) == halls
    calls = 0.0
    for topic in sorted({topic for _, topic in CountingLink.calls}):
        calls += per_second(CountingLink.calls, idle, topic)
        calls_per_s = per_second(CountingLink.calls, idle, topic)
        bytes_read = per_second(CountingLink.bytes_read, idle, topic)
        print(f"{halls} halls, {topic}: {calls_per_s:.2f} calls/s, {bytes_read:.0f} bytes/s")
    assert calls <= MAX_CALLS_PER_S[halls], f"{calls:.2f} calls/s"
