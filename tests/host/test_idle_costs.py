"""What a host that owns nothing asks of the store, by how many halls there are."""

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
"""Time over which calls are counted, after all hosts have settled."""

CALLS_A_SECOND = {3: 4.1, 5: 5.1, 12: 8.5}
"""Most calls a second of a host that owns nothing, by halls."""


class CountingLink(StoreLink):
    """Counts the calls to read of each host and the bytes that they bring, by topic."""

    calls: ClassVar[Counter[tuple[str, str]]] = Counter()
    brought: ClassVar[Counter[tuple[str, str]]] = Counter()

    def __init__(self, store: MemoryStore, host: str) -> None:
        super().__init__(store, host)
        self._name = host

    async def read(self, partition: Partition, start: int, *, wait_s: float = 0.0) -> Page:
        place = self._name, partition.topic
        self.calls[place] += 1
        page = await super().read(partition, start, wait_s=wait_s)
        self.brought[place] += sum(len(entry.key) + len(entry.value) for entry in page.entries)
        return page


@pytest.fixture(autouse=True)
def counted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(hall_world, "StoreLink", CountingLink)


async def count(halls: int) -> tuple[HallWorld, list[str]]:
    """Play halls with some work, and return who owned nothing while calls were counted."""
    world = HallWorld(halls=tuple(f"hall-{index:02}" for index in range(halls)))
    await world.begin()
    for name, _ in world.host_names():
        await world.submit(name, world.new_job(step(2, estimate_s=MEASURED_S)))
    await asyncio.sleep(10.0)
    CountingLink.calls.clear()
    CountingLink.brought.clear()
    owners = {world.owner(shard) for shard in range(halls)}
    await asyncio.sleep(MEASURED_S)
    assert owners == {world.owner(shard) for shard in range(halls)}
    return world, [name for name in world.hosts if name not in owners]


def per_second(counts: Counter[tuple[str, str]], names: list[str], topic: str) -> float:
    return sum(counts[name, topic] for name in names) / len(names) / MEASURED_S


@pytest.mark.parametrize("halls", CALLS_A_SECOND)
def test_a_host_that_owns_nothing_looks_at_each_other_hall_and_no_more(halls: int) -> None:
    world, idle = run_virtual(count(halls))
    assert world.problems == []
    assert len(idle) == halls
    calls = 0.0
    for topic in sorted({topic for _, topic in CountingLink.calls}):
        calls += per_second(CountingLink.calls, idle, topic)
        told = per_second(CountingLink.calls, idle, topic)
        brought = per_second(CountingLink.brought, idle, topic)
        print(f"{halls} halls, {topic}: {told:.2f} calls/s, {brought:.0f} bytes/s")
    assert calls <= CALLS_A_SECOND[halls], f"{calls:.2f} calls/s"
